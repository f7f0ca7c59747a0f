Feature: Operators evacuate failure domains

  Scenario: An evacuated domain gets no prompts until it is returned, on every host
    Given a running system
    When an operator runs "domain evacuate a" on host-b-1
    Then the command reports accepted
    When an operator runs "domain evacuate a" on host-c-1
    Then the command reports accepted
    And revision 2 is in force on every host
    When 5 s have passed
    And the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then 40 prompts have started since, none of them in failure domain a
    When an operator runs "domain return a" on host-a-1
    Then the command reports accepted
    And revision 3 is in force on every host
    When the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then failure domain a has started prompts since

  Scenario: A prompt in flight in an evacuated domain finishes on its engine
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 60 from host-a-1
    And an engine has started a prompt
    And an operator evacuates the failure domain of the engine that runs the prompt
    Then the command reports accepted
    And prompt A has its whole answer
    And prompt A was run on 1 engine

  Scenario: An outage of the platform refuses an evacuation, and repeating it later is harmless
    Given a running system
    When platform shows the fault outage
    And an operator runs "domain evacuate a" on host-b-1
    Then the command reports refused
    And revision 1 is in force on every host
    When platform ends its fault
    And an operator runs "domain evacuate a" on host-b-1
    Then the command reports accepted
    And revision 2 is in force on every host
