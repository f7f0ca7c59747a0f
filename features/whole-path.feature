Feature: The whole path as separate processes

  Scenario: A prompt and a dispatch are served
    Given a running system
    When a caller sends a prompt of 20 tokens
    Then the caller receives the whole answer
    When the system stops gracefully
    Then every host exits with code 0
