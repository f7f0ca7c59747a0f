Feature: Engines that fail during a stream

  Scenario: The engine is killed
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And 1 s have passed
    And the engine that runs the prompt is killed
    Then prompt A has its whole answer
    And the engines hold no memory in the end

  Scenario: The engine freezes
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And 1 s have passed
    And the engine that runs the prompt is frozen
    Then prompt A has its whole answer

  Scenario: The connection to the engine goes silent while new connections work
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And 1 s have passed
    And the engine that runs the prompt is silent
    Then prompt A has its whole answer

  Scenario: The host is killed
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And 1 s have passed
    And host-a-1 is killed
    Then the connection of prompt A breaks
    And the engines hold no memory in the end
