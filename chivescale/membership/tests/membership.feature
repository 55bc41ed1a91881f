Feature: Membership on the control leader
  Guards against a lost message that removes a host or an endpoint, a late
  announcement that brings back an old address, and a failing rack that
  floods the log.

  Scenario Outline: Hosts
    Given a host table with the applied host h1 of incarnation 1
    When there come <events>
    Then after <s> s it proposes <commands>

    Examples:
      | events                        | s   | commands            |
      | no messages                   | 2.9 | nothing             |
      | no messages                   | 3.5 | remove h1           |
      | h1 beats as 1                 | 0.5 | nothing             |
      | h1 beats as 2                 | 0.5 | register h1         |
      | h1 beats as 2, h1 beats as 1  | 0.5 | register h1         |
      | h2 beats as 1, h1 beats as 1  | 0.5 | register h2         |
      | h1 drains, h1 beats as 1      | 0.5 | nothing             |
      | h1 drains, h1 beats as 2      | 0.5 | register h1         |

  Scenario: A failing rack makes few log entries
    Given a host table with 200 applied hosts
    When there come no messages
    Then within 10 s it proposes at most 3 batches for 200 commands

  Scenario Outline: Endpoints
    Given an endpoint table with the applied endpoint e1
    When there come <events>
    Then after <s> s it proposes <commands>

    Examples:
      | events                                  | s    | commands    |
      | no messages                             | 9    | nothing     |
      | no messages                             | 10.5 | remove e1   |
      | e1 is a voter                           | 10.5 | nothing     |
      | e1 says 1 at a                          | 1    | nothing     |
      | e1 says 1 at b                          | 1    | register e1 |
      | e1 says 2 at b                          | 1    | register e1 |
      | e1 says 1 at a leaving                  | 1    | leave e1    |
      | e1 says 1 at a leaving, e1 says 1 at a  | 1    | leave e1    |
      | e1 says 1 at a, e2 says 1 at c          | 1    | register e2 |

  Scenario Outline: Late announcements
    Given an endpoint table with the applied endpoint e1
    When e1 says <new> after 0 s
    And e1 says <old> after <s> s
    Then the wanted record of e1 is <wanted>

    Examples:
      | new            | s  | old    | wanted         |
      | 1 at b         | 1  | 1 at a | 1 at b         |
      | 2 at b         | 1  | 1 at a | 2 at b         |
      | 1 at b         | 6  | 1 at a | 1 at a         |
      | 1 at a leaving | 1  | 1 at a | 1 at a leaving |
      | 1 at a leaving | 1  | 2 at a | 2 at a         |

  Scenario Outline: Watchers stand in different zones
    Given <hosts> entry hosts in <zones> zones
    Then 3 watchers of any service stand in <distinct> zones
    And the loss of one host changes at most one watcher of a service

    Examples:
      | hosts | zones | distinct |
      | 13    | 4     | 3        |
      | 17    | 3     | 3        |
      | 6     | 2     | 2        |
      | 2     | 1     | 1        |
