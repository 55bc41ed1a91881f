Feature: Coordinators that stop, are replaced and return
  Guards against the review's case 1: a host that was replaced as planned
  stayed a voter for 20 s, and one lost disk in that time ended the quorum for
  good. Also against a group that gives up a voter it needs, and a host that
  is no voter again after its return. Real files and connections.

  Scenario Outline: A disk is lost right after a planned replacement
    Given <members> coordinators on loopback
    When a successor joins as a voter
    And <stops> stops for good
    Then it stopped within 2 s
    And the group has <voters> voters
    When another voter loses its disk and starts again
    Then a configuration is accepted within 3 s
    And the group has <voters> voters within 3 s

    Examples:
      | members | stops      | voters |
      | 3       | the leader | 3      |
      | 3       | a follower | 3      |
      | 4       | the leader | 5      |
      | 4       | a follower | 5      |

  Scenario Outline: A host stops while its successor is still a learner
    Given 3 coordinators on loopback
    When a successor is admitted as a learner that has not caught up
    And <stops> begins to stop for good
    And the successor catches up after 0.5 s
    Then it stopped within 2 s
    And the group has 3 voters
    And the successor is a voter in its place

    Examples:
      | stops      |
      | the leader |
      | a follower |

  Scenario Outline: The successor never catches up
    Given 3 coordinators on loopback
    When a successor is admitted as a learner that has not caught up
    And <stops> begins to stop for good
    Then it stopped after 2 to 3 s
    When the successor catches up after 0 s
    Then the successor is a voter within 3 s
    And the group has 3 voters within 5 s
    And the successor is a voter in its place

    Examples:
      | stops      |
      | the leader |
      | a follower |

  Scenario Outline: Hosts stop and start in turn
    Given <members> coordinators on loopback
    When each stops and starts again <pause> s later, while configurations are stored
    Then there were never fewer than <least> voters
    And a configuration is accepted within 3 s
    And the group has <members> voters within 5 s

    Examples:
      | members | pause | least |
      | 3       | 0     | 3     |
      | 3       | 1.5   | 3     |
      | 4       | 0     | 3     |
      | 4       | 1.5   | 3     |
      | 6       | 0.5   | 5     |

  Scenario Outline: All processes are killed right after one has left
    Given 4 coordinators on loopback
    When <stops> stops for good
    And all others are killed and all start again
    Then a configuration is accepted within 5 s
    And the group has 4 voters within 5 s
    And every host holds the newest configuration within 3 s

    Examples:
      | stops      |
      | the leader |
      | a follower |

  Scenario: All hosts stop at the same time
    Given 4 coordinators on loopback
    When all stop at the same time
    Then all stopped within 4 s
    When all start again
    Then a configuration is accepted within 5 s
    And the group has 4 voters within 5 s

  Scenario: A learner that was removed while it was down
    Given 3 coordinators on loopback
    And learners are removed after 1 s of silence
    When a successor is admitted as a learner that has not caught up
    And the successor is killed
    Then the group has no learner within 5 s
    When the successor starts again and catches up
    Then the group has 4 voters within 5 s

  # Guards against a host that asks only the members that it knew for admission
  # and is never a voter again.
  Scenario: A host returns after all others were replaced
    Given 3 coordinators on loopback
    When a follower is killed
    And a successor takes its place
    And the others are replaced one after the other
    And the killed host starts again with the present seeds
    Then the group has 4 voters within 5 s
    And a configuration is accepted within 3 s
    And every host holds the newest configuration within 3 s

  # Guards against two lost voters that stay among an odd number of voters.
  Scenario: Two of five voters are lost for good
    Given 4 coordinators on loopback
    When a successor joins as a voter
    And a follower is killed
    And another follower is killed
    Then the group has 3 voters within 13 s
    When another voter loses its disk and starts again
    Then a configuration is accepted within 3 s
    And the group has 3 voters within 5 s

  Scenario: A silent voter that the group can do without
    Given 4 coordinators on loopback
    When a follower is killed
    Then the group has 3 voters within 5 s
    When another voter loses its disk and starts again
    Then a configuration is accepted within 3 s
    When the killed host starts again
    Then the group has 4 voters within 5 s
