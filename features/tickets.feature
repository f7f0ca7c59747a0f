Feature: Configuration tickets

  Scenario: Two operators race on one endpoint
    Given a running system
    When tickets that change engine-a-1 are sent to host-a-1 and host-c-1 at the same time
    Then one ticket is applied and the other is refused with a conflict that names both
    And revision 2 is in force on every host

  Scenario: The same ticket is sent twice
    Given a running system
    When the same ticket that changes engine-a-1 is sent to host-a-1 and host-c-1
    Then the tickets are applied
    And revision 2 is in force on every host

  Scenario: The store's response to a ticket is lost
    Given a running system
    When platform shows the fault loseAnswers on 1 request to /v1/transactions
    And a ticket that changes engine-a-1 is sent to host-b-1
    Then the ticket is applied
    And revision 2 is in force on every host

  Scenario: A ticket during an outage of the platform is refused, and the configuration stays in force
    Given a running system
    When platform shows the fault outage
    And a ticket that changes engine-a-1 is sent to host-b-1
    Then the ticket is refused
    And revision 1 is in force on every host
    When a caller sends prompt A of 2000 tokens to host-b-1
    Then prompt A has its whole answer
