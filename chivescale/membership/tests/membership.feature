Feature: Membership on the control leader
  Guards against removing a host or an endpoint after a lost message,
  restoring an old address from a delayed announcement, and filling the log
  with single entries when a rack fails.

  Scenario Outline: Hosts
    Given a host table with the applied host h1 of incarnation 1
    When the table receives <events>
    Then after <s> s it proposes <commands>

    Examples:
      | events                                          | s   | commands            |
      | no messages                                     | 2.9 | nothing             |
      | no messages                                     | 3.5 | remove h1           |
      | h1 sends incarnation 1                          | 0.5 | nothing             |
      | h1 sends incarnation 2                          | 0.5 | register h1         |
      | h1 sends incarnation 2, h1 sends incarnation 1  | 0.5 | register h1         |
      | h2 sends incarnation 1, h1 sends incarnation 1  | 0.5 | register h2         |
      | h1 drains, h1 sends incarnation 1               | 0.5 | nothing             |
      | h1 drains, h1 sends incarnation 2               | 0.5 | register h1         |

  Scenario: A rack failure appends few log entries
    Given a host table with 200 applied hosts
    When the table receives no messages
    Then within 10 s it proposes at most 3 batches for 200 commands

  Scenario Outline: Endpoints
    Given an endpoint table with the applied endpoint e1
    When the table receives <events>
    Then after <s> s it proposes <commands>

    Examples:
      | events                                            | s    | commands    |
      | no messages                                       | 9    | nothing     |
      | no messages                                       | 10.5 | remove e1   |
      | e1 is a voter                                     | 10.5 | nothing     |
      | e1 announces 1 at a                               | 1    | nothing     |
      | e1 announces 1 at b                               | 1    | register e1 |
      | e1 announces 2 at b                               | 1    | register e1 |
      | e1 announces 1 at a leaving                       | 1    | leave e1    |
      | e1 announces 1 at a leaving, e1 announces 1 at a  | 1    | leave e1    |
      | e1 announces 1 at a, e2 announces 1 at c          | 1    | register e2 |

  Scenario Outline: Delayed announcements
    Given an endpoint table with the applied endpoint e1
    When e1 announces <new> after 0 s
    And e1 announces <old> after <s> s
    Then the desired record of e1 is <desired>

    Examples:
      | new            | s  | old    | desired        |
      | 1 at b         | 1  | 1 at a | 1 at b         |
      | 2 at b         | 1  | 1 at a | 2 at b         |
      | 1 at b         | 6  | 1 at a | 1 at a         |
      | 1 at a leaving | 1  | 1 at a | 1 at a leaving |
      | 1 at a leaving | 1  | 2 at a | 2 at a         |

  Scenario Outline: Watchers are in different zones
    Given <hosts> entry hosts in <zones> zones
    Then the 3 watchers of any service are in <distinct> zones
    And the loss of one host changes at most one watcher of a service

    Examples:
      | hosts | zones | distinct |
      | 13    | 4     | 3        |
      | 17    | 3     | 3        |
      | 6     | 2     | 2        |
      | 2     | 1     | 1        |
