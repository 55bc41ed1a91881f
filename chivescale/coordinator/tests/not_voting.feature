Feature: Members of the group that are not voters
  Guards against a member that never becomes a voter without a sign of it, so
  that the group bears one loss less than its operators believe.

  Scenario Outline: Each member is told about once, after some seconds
    Given members without a vote: <first>
    When <later> are without a vote <seconds> s later
    Then it is told about <told>
    And 60 s later it is told about <again>

    Examples:
      | first | later | seconds | told | again |
      | a     | a     | 4.9     | none | a     |
      | a     | a     | 5       | a    | none  |
      | a     | a b   | 5       | a    | b     |
      | a     | b     | 5       | none | b     |
      | a     | none  | 5       | none | none  |
      | a b   | a b   | 6       | a b  | none  |

  Scenario: A learner in the status of each host
    Given 3 coordinators on loopback
    When a successor is admitted as a learner that has not caught up
    Then the leader gives "caught up" as the reason within 3 s
    And the successor gives "learner" as the reason within 3 s
    And within 8 s the log and the counter name "caught up" once
    When the successor is killed
    Then the leader gives "silent" as the reason within 3 s
    When the successor starts again and catches up
    Then no host gives a reason within 5 s

  Scenario Outline: What a leader knows about a learner
    Given a simulated group of five with a learner that has not caught up
    When the learner <state> and 5 entries are committed
    Then the reason is "<reason>"

    Examples:
      | state           | reason            |
      | keeps up        | caught up         |
      | pauses          | behind: 5 entries |
      | has crashed     | silent            |

  Scenario: A host that reaches nobody
    Given 3 coordinators on loopback
    When the others of a follower are killed
    Then it gives "no leader" as the reason within 3 s
