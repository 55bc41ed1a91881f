Feature: Cost of a message on the control leader
  Guards against work per message that grows with the number of hosts or
  endpoints. A scan on each heartbeat took 8 ms with 3,200 hosts, which
  overloads the leader.

  Scenario Outline: A message is processed without scanning all records
    Given a leader that knows <count> <kind>
    When each of them sends <messages> unchanged messages
    Then at most 2 records are checked per message

    Examples:
      | kind      | count | messages |
      | hosts     | 10    | 5        |
      | hosts     | 300   | 5        |
      | endpoints | 10    | 5        |
      | endpoints | 300   | 5        |

  Scenario Outline: A new or changed record is proposed at once
    Given a leader that knows 20 <kind>
    When one of them sends a changed record between two scans
    Then the leader proposes this record in the same step

    Examples:
      | kind      |
      | hosts     |
      | endpoints |

  Scenario Outline: Silent members are removed in several batches
    Given a leader that knows 1200 <kind>
    When all but the first stop sending
    Then each of them is removed once within <seconds> s
    And no batch holds more than 500 commands
    And the first is not removed

    Examples:
      | kind      | seconds |
      | hosts     | 5       |
      | endpoints | 13      |

  Scenario: A proposal that is not committed is repeated
    Given a leader that knows 5 endpoints
    When one of them sends a changed record between two scans
    And nothing is committed for 1.5 s
    Then the leader has proposed the record twice

  Scenario: Leaving is proposed once and later announcements do not revoke it
    Given a leader that knows 5 endpoints
    When an endpoint announces that it leaves
    And the leaving is committed
    And the same endpoint announces without leaving
    Then nothing is pending

  Scenario Outline: Records with an outstanding proposal are not checked on each message
    Given a leader that knows 300 <kind>
    When each of them sends a changed record and nothing is committed
    Then at most 2 records are checked per message

    Examples:
      | kind      |
      | hosts     |
      | endpoints |

  Scenario Outline: Silent members that were never applied are discarded
    Given a leader that knows 5 <kind>
    When an unknown member sends one message that is never committed
    Then the leader holds no record of it after <seconds> s

    Examples:
      | kind      | seconds |
      | hosts     | 5       |
      | endpoints | 13      |
