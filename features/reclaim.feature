Feature: Owners reclaim endpoints

  Scenario: By a ticket
    Given a running system
    When a ticket reclaims engine-a-1
    And 5 s have passed
    And the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then engine-a-1 has started no prompt since
    And engine-a-2 has started prompts since

  Scenario: By a local stop
    Given a running system
    When an operator stops engine-a-1 on host-c-1
    And 5 s have passed
    And the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then engine-a-1 has started no prompt since
    And engine-a-2 has started prompts since

  Scenario: By the owner's wish
    Given a running system
    When the owner withdraws engine-a-1
    And 5 s have passed
    And the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then engine-a-1 has started no prompt since
    And engine-a-2 has started prompts since

  Scenario: By silence: hosts without news of the configuration stop at the owner's limit
    Given a running system
    And a ticket sets the silence limit of engine-a-1 to 3 s
    When platform shows the fault outage
    And 5 s have passed
    And the starts of prompts are noted
    And 20 prompts are sent to each of host-a-1 and host-b-1
    Then engine-a-1 has started no prompt since
    And engine-a-2 has started prompts since

  Scenario: A prompt in flight on a reclaimed engine gets its whole answer
    Given a running system with slow engines
    When a caller streams prompt A of 2000 tokens with an answer of 60 from host-a-1
    And an engine has started a prompt
    And a ticket reclaims the engine that runs the prompt
    Then prompt A has its whole answer
