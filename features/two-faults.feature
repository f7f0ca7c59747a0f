Feature: Two faults at once

  Scenario: An engine is killed during an outage of the platform
    Given a running system with slow engines
    When platform shows the fault outage
    And a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And the engine that runs the prompt is killed
    Then prompt A has its whole answer
    And the engines hold no memory in the end

  Scenario: A host is killed and the store loses responses while a dispatch is repeated elsewhere
    Given a running system with slow engines
    When platform shows the fault loseAnswers on 2 requests to /v1/transactions
    And a caller sends dispatch A with key double to host-a-1
    And host-a-1 is killed
    And a caller sends dispatch B with key double to host-b-1 with a timeout of 30 s
    And a caller sends dispatch C with key double to host-c-1 with a timeout of 30 s
    Then the outcomes of double agree with its executions

  Scenario: A failure domain is cut off and an engine outside it is killed
    Given a running system whose links can be cut
    When failure domain c is cut off
    And a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And the engine that runs the prompt is killed
    Then prompt A has its whole answer
    When failure domain c is joined again
    Then the engines hold no memory in the end
