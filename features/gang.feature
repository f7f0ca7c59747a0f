Feature: Prompts larger than one engine

  Scenario: A prompt larger than two engines
    Given a running system with slow prefill
    When a caller sends prompt A of 900000 tokens to host-a-1
    Then prompt A has its whole answer
    And the engines hold no memory in the end

  Scenario: A member is killed during the prefill
    Given a running system with slow prefill
    When a caller sends prompt A of 900000 tokens to host-a-1
    And an engine has started a prompt
    And an engine that holds memory without running the prompt is killed
    Then prompt A has its whole answer
    And the engines hold no memory in the end

  Scenario: Hosts that compete for gangs do not block one another
    Given a running system with slow prefill
    When a caller sends prompt A of 900000 tokens to host-a-1
    And a caller sends prompt B of 900000 tokens to host-b-1
    And a caller sends prompt C of 900000 tokens to host-c-1
    Then prompt A has its whole answer
    And prompt B has its whole answer
    And prompt C has its whole answer
    And the engines hold no memory in the end

  Scenario: The host is killed while it holds a gang
    Given a running system with slow prefill
    When a caller sends prompt A of 900000 tokens to host-a-1
    And an engine has started a prompt
    And host-a-1 is killed
    Then the connection of prompt A breaks
    And the engines hold no memory in the end
