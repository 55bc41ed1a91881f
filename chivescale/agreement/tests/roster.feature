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
      | c0 c1 c2 c3  | none       | c2          | 2       | do nothing |
      | c0 c1 c2 c3  | none       | c2          | 3       | retire c2  |
      | c0 c1 c2 c3  | none       | c2          | 30      | retire c2  |
      | c0 c1 c2 c3  | c4         | c2          | 2       | admit c4   |

    Examples: two silent voters of an odd number
      | voters         | applicants | unreachable | seconds | change     |
      | c0 c1 c2 c3 c4 | none       | c2 c3       | 9       | do nothing |
      | c0 c1 c2 c3 c4 | none       | c2 c3       | 10      | retire c2  |
      | c0 c1 c2 c3 c4 | c5         | c2 c3       | 10      | admit c5   |

  # Guards against a group that shrinks until it bears fewer losses than it
  # has to, and against one that keeps two lost voters of an odd number, so
  # that two further lost disks ended the quorum for good.
  Scenario Outline: Voters that are unreachable for minutes
    Given a group of voters <voters> led by c0 that bears <losses> losses
    When none apply, <unreachable> are unreachable, and 600 s pass
    Then the leader will <change>

    Examples: an even number
      | voters                  | losses | unreachable | change     |
      | c0 c1                   | 1      | c1          | do nothing |
      | c0 c1 c2 c3 c4 c5       | 2      | c3 c4       | retire c3  |
      | c0 c1 c2 c3 c4 c5 c6 c7 | 2      | c3 c4 c5    | retire c3  |

    Examples: an odd number
      | voters                     | losses | unreachable | change     |
      | c0 c1 c2                   | 0      | c2          | do nothing |
      | c0 c1 c2 c3 c4             | 1      | c2          | do nothing |
      | c0 c1 c2 c3 c4             | 1      | c2 c3       | retire c2  |
      | c0 c1 c2 c3 c4             | 2      | c2 c3       | do nothing |
      | c0 c1 c2 c3 c4 c5 c6       | 2      | c3          | do nothing |
      | c0 c1 c2 c3 c4 c5 c6       | 2      | c3 c4       | retire c3  |
      | c0 c1 c2 c3 c4 c5 c6       | 3      | c3 c4       | do nothing |
      | c0 c1 c2 c3 c4 c5 c6 c7 c8 | 2      | c6 c7 c8    | retire c6  |

  # Guards against the review's case 1: a voter that left after a planned
  # replacement counted for 20 s, and one lost disk ended the quorum for good.
  Scenario Outline: A voter that stops
    Given a group of voters <voters> led by c0
    When <stops> stops
    Then the leader will <change>
    And <stops> will wait: <waits>

    Examples:
      | voters                  | stops | change     | waits |
      | c0 c1 c2                | c2    | do nothing | no    |
      | c0 c1 c2 c3             | c2    | retire c2  | yes   |
      | c0 c1 c2 c3             | c1    | retire c1  | yes   |
      | c0 c1 c2 c3 c4          | c2    | do nothing | no    |
      | c0 c1 c2 c3 c4 c5       | c2    | retire c2  | yes   |
      | c0 c1 c2 c3 c4 c5 c6 c7 | c7    | retire c7  | yes   |

  Scenario: A voter that stops waits for a successor that is still a learner
    Given a group of voters c0 c1 c2 led by c0
    When c3 is a learner
    And c2 stops
    Then the leader will do nothing
    And c2 will wait: yes
    When the learner c3 has caught up
    Then the leader will retire c2

  Scenario: Two voters that stop leave one after the other
    Given a group of voters c0 c1 c2 c3 led by c0
    When c2 stops
    And c1 stops
    Then the leader will retire c1
    When c1 is removed
    Then the leader will do nothing
    And c2 will wait: no

  Scenario: A voter that stopped while the group needed it is retired later
    Given a group of voters c0 c1 c2 led by c0
    When c2 stops
    And none apply, c2 are unreachable, and 60 s pass
    Then the leader will do nothing
    When c3 becomes a voter
    Then the leader will retire c2

  Scenario: A voter that has started again is not retired
    Given a group of voters c0 c1 c2 led by c0
    When c2 stops
    And none apply, none are unreachable, and 1 s pass
    And c3 becomes a voter
    Then the leader will do nothing

  Scenario Outline: A voter that stopped and calls again
    Given a group of voters c0 c1 c3 led by c0
    When c2 stops
    And c2 apply, none are unreachable, and <seconds> s pass
    Then the leader will <change>

    Examples:
      | seconds | change     |
      | 0       | do nothing |
      | 1       | admit c2   |

  Scenario Outline: An unreachable learner
    Given a group of voters <voters> led by c0
    When c9 is a learner
    And none apply, <unreachable> are unreachable, and <seconds> s pass
    Then the leader will <change>

    Examples:
      | voters      | unreachable | seconds | change     |
      | c0 c1 c2    | c9          | 19      | do nothing |
      | c0 c1 c2    | c9          | 20      | retire c9  |
      | c0 c1 c2 c3 | c3          | 600     | do nothing |
      | c0 c1 c2 c3 | c3 c9       | 3       | retire c3  |

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
    When none apply, c3 are unreachable, and 1 s pass
    Then the leader will retire c3

  # Guards against a voter that left before the election of the leader and
  # stays for as long as one that may come back.
  Scenario Outline: A voter that has not answered since the election
    Given a group of voters <voters> whose leader c0 was just elected
    When none apply, <unreachable> are unreachable, and <seconds> s pass
    Then the leader will <change>

    Examples:
      | voters         | unreachable | seconds | change     |
      | c0 c1 c2 c3    | c2          | 0       | do nothing |
      | c0 c1 c2 c3    | c2          | 1       | retire c2  |
      | c0 c1 c2       | c2          | 600     | do nothing |
      | c0 c1 c2 c3 c4 | c2 c3       | 9       | do nothing |
      | c0 c1 c2 c3 c4 | c2 c3       | 10      | retire c2  |

  # Guards against a removal that leaves no quorum, as another voter stops.
  Scenario: Two silent voters, and another one that stops
    Given a group of voters c0 c1 c2 c3 c4 led by c0
    When none apply, c2 c3 are unreachable, and 10 s pass
    And c4 stops
    Then the leader will do nothing

  Scenario: A voter that answers late after the election
    Given a group of voters c0 c1 c2 c3 whose leader c0 was just elected
    When none apply, c2 are unreachable, and 0 s pass
    And all are reachable
    And none apply, c2 are unreachable, and 2 s pass
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
