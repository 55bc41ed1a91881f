Feature: Membership changes in a group without an operator
  Guards against forming a second group, against a vote from a member that
  lost its disk, and against removing a member that the group still needs.

  Scenario Outline: The next membership change
    Given a group of voters <voters> led by c0
    When <applicants> apply, <unreachable> are unreachable, and <seconds> s pass
    Then the leader will <change>

    Examples:
      | voters       | applicants | unreachable | seconds | change     |
      | c0 c1 c2     | none       | none        | 1       | do nothing |
      | c0 c1 c2     | c3         | none        | 0       | admit c3   |
      | c0 c1 c2     | c2         | c2          | 0       | admit c2   |
      | c0 c1 c2     | none       | c2          | 30      | do nothing |
      | c0 c1 c2 c3  | none       | c2          | 5       | do nothing |
      | c0 c1 c2 c3  | none       | c2          | 30      | retire c2  |

  Scenario: An unreachable voter with a replacement is retired
    Given a group of voters c0 c1 c2 led by c0
    When none apply, c2 are unreachable, and 2 s pass
    And c3 becomes a voter
    Then the leader will retire c2

  Scenario: A member that joins a complete group is not a replacement
    Given a group of voters c0 c1 c2 led by c0
    When c3 becomes a voter
    And none apply, c3 are unreachable, and 2 s pass
    Then the leader will do nothing

  Scenario Outline: A host that must not form a group does not form one
    Given three members of which <barred> must not form a group
    When 5 s pass for all three
    Then <leads> leads

    Examples:
      | barred | leads  |
      | none   | one    |
      | c0     | nobody |

  Scenario: An unknown host can be admitted as a learner
    Given a formed group
    When a host that is in no settings runs for 2 s
    Then the leader knows its address
