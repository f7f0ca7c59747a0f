Feature: Network partitions

  Scenario: A failure domain is cut off, serves with its own engines and catches up
    Given a running system whose links can be cut
    When failure domain b is cut off
    And a caller sends prompt A of 2000 tokens to host-b-1
    And a caller sends prompt B of 2000 tokens to host-a-1
    And a caller sends dispatch C with key cut to host-b-1
    Then prompt A has its whole answer
    And prompt B has its whole answer
    And dispatch C is refused as not run
    When a ticket that changes engine-a-1 is sent to host-a-1
    Then the ticket is applied
    And revision 1 is in force on host-b-1
    When failure domain b is joined again
    Then revision 2 is in force on every host
    And the engines hold no memory in the end

  Scenario: A local stop works in a domain that is cut off from the platform
    Given a running system whose links can be cut
    When failure domain b is cut off
    And an operator stops engine-b-1 on host-b-1
    And 5 s have passed
    And the starts of prompts are noted
    And 4 prompts are sent to each of host-b-1 and host-b-2
    Then engine-b-1 has started no prompt since
    And engine-b-2 has started prompts since

  Scenario: A host is replaced during an outage of the platform
    Given a running system whose links can be cut
    When a ticket that changes engine-a-1 is sent to host-a-1
    Then revision 2 is in force on every host
    When platform shows the fault outage
    And host-b-2 is replaced
    Then revision 2 is in force on host-b-2

  Scenario: A host that is replaced during an outage of the platform serves as soon as it is ready
    Given a running system whose links can be cut
    When platform shows the fault outage
    And host-b-2 is replaced
    And a caller sends prompt A of 2000 tokens to host-b-2
    Then prompt A has its whole answer

  Scenario: The link between a host and the engine of its stream is cut
    Given a running system whose links can be cut
    When a caller streams prompt A of 2000 tokens with an answer of 40 from host-a-1
    And an engine has started a prompt
    And the link between host-a-1 and the engine that runs the prompt is cut
    Then prompt A has its whole answer
