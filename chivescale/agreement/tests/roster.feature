Feature: Members of a group without an operator
  Guards against a second group that forms beside the first, against an
  emptied disk that votes as its former self, and against a member that is
  retired while its group still needs it.

  Scenario Outline: The next change of members
    Given a group of voters <voters> led by c0
    When <callers> call, <silent> are silent, and <seconds> s pass
    Then the leader will <change>

    Examples:
      | voters       | callers | silent | seconds | change     |
      | c0 c1 c2     | none    | none   | 1       | do nothing |
      | c0 c1 c2     | c3      | none   | 0       | admit c3   |
      | c0 c1 c2     | c2      | c2     | 0       | admit c2   |
      | c0 c1 c2     | none    | c2     | 30      | do nothing |
      | c0 c1 c2 c3  | none    | c2     | 5       | do nothing |
      | c0 c1 c2 c3  | none    | c2     | 30      | retire c2  |

  Scenario: A successor lets the silent voter be retired
    Given a group of voters c0 c1 c2 led by c0
    When none call, c2 are silent, and 2 s pass
    And c3 becomes a voter meanwhile
    Then the leader will retire c2

  Scenario: A member that joins a complete group is no successor
    Given a group of voters c0 c1 c2 led by c0
    When c3 becomes a voter meanwhile
    And none call, c3 are silent, and 2 s pass
    Then the leader will do nothing

  Scenario Outline: A host that must not form a group never does
    Given three members of which <empty> start without having had a group
    When 5 s pass for all three
    Then <leads> leads

    Examples:
      | empty | leads  |
      | none  | one    |
      | c0    | nobody |

  Scenario: A host that the first members do not name joins as a learner
    Given a formed group
    When a host that no settings name calls for 2 s
    Then the leader has seen its address
