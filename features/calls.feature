Feature: Calls that must not be repeated

  Scenario: A dispatch is sent twice with one key to two hosts
    Given a running system
    When a caller sends dispatch A with key twice to host-a-1
    And a caller sends dispatch B with key twice to host-c-2
    Then dispatch A is answered
    And dispatches A and B have the same answer
    And the service executed key twice 1 time

  Scenario: The store's responses are lost after the writes took effect
    Given a running system
    When platform shows the fault loseAnswers on 3 requests to /v1/transactions
    And a caller sends dispatch A with key lost to host-a-1
    And dispatch A has ended
    And platform ends its fault
    And a caller sends dispatch B with key lost to host-b-1
    Then the outcomes of lost agree with its executions

  Scenario: The platform has an outage
    Given a running system
    When platform shows the fault outage
    And a caller sends dispatch A with key outage to host-a-1
    Then dispatch A is refused as not run
    And the service executed key outage 0 times
    When platform ends its fault
    And a caller sends dispatch B with key outage to host-b-1
    Then dispatch B is answered
    And the service executed key outage 1 time

  Scenario: The service's open connections go silent
    Given a running system
    When a caller sends dispatch A with key before to host-a-1
    Then dispatch A is answered
    When orders-1 shows the fault silent
    And a caller sends dispatch B with key silent to host-a-1
    And dispatch B has ended
    And a caller sends dispatch C with key silent to host-b-1
    Then the outcomes of silent agree with its executions

  Scenario: The service executes the call and closes the connection without an answer
    Given a running system
    When orders-1 shows the fault loseAnswers on 1 request to /dispatch
    And a caller sends dispatch A with key unanswered to host-a-1
    Then dispatch A has an unknown outcome
    When a caller sends dispatch B with key unanswered to host-b-1 with a timeout of 3 s
    Then dispatch B has an unknown outcome
    And the service executed key unanswered 1 time

  Scenario: The host is killed while the service works on the call
    Given a running system with a slow service
    When a caller sends dispatch A with key killed to host-a-1
    And the service has executed key killed
    And host-a-1 is killed
    And a caller sends dispatch B with key killed to host-b-1 with a timeout of 5 s
    Then dispatch B has an unknown outcome
    And the service executed key killed 1 time

  Scenario: A host is paused until its reservation has expired, and goes on
    Given a running system with a slow service
    When platform delays each request to /v1/transactions by 700 ms
    And a caller sends dispatch A with key paused to host-b-1 with a timeout of 30 s
    And 1 s have passed
    And host-b-1 is frozen
    And a caller sends dispatch B with key paused to host-c-1 with a timeout of 30 s
    And dispatch B has ended
    And host-b-1 goes on
    Then the outcomes of paused agree with its executions
