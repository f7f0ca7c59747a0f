Feature: A planned stop interrupts no request

  Scenario: A host stops while it streams
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 60 from host-a-1
    And a caller sends dispatch B with key stop to host-a-1
    And an engine has started a prompt
    And host-a-1 is stopped gracefully
    Then prompt A has its whole answer
    And dispatch B is answered
    And every host that stopped exited with code 0
    And the engines hold no memory in the end
