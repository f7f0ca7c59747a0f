Feature: The whole path as separate processes

  Scenario: A prompt is served and the hosts drain
    Given a running system
    Then these processes run:
      | role         | count |
      | host         | 6     |
      | engine       | 6     |
      | service      | 1     |
      | platform     | 1     |
      | weight-store | 1     |
    When a caller sends prompt A of 20 tokens to host-a-1
    And a caller streams prompt B of 50000 tokens with an answer of 30 from host-c-2
    Then prompt A has its whole answer
    And prompt B has its whole answer
    And the engines hold no memory in the end
    When the system stops gracefully
    Then every host that stopped exited with code 0
