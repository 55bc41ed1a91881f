Feature: Replacement of primaries
  Guards against promotions caused by a pause, a slow answer or the view of a
  single host, against dead primaries that are not replaced, and against the
  selection of a replica that lacks an acknowledged commit.

  Scenario Outline: Verdict on a primary
    Given a primary that answered every probe for 2 s
    When it <behaves> for <ms> ms and entry hosts say "<opinions>"
    Then the verdict is <verdict>

    Examples:
      | behaves                     | ms   | opinions     | verdict |
      | answers                     | 1000 |              | alive   |
      | is silent                   | 300  | ---          | suspect |
      | is silent                   | 600  | ---          | dead    |
      | is silent                   | 1200 | ---          | dead    |
      | is silent                   | 1200 |              | dead    |
      | is silent                   | 1200 | +++-         | suspect |
      | is silent                   | 1200 | ++--         | dead    |
      | refuses                     | 600  | --           | dead    |
      | refuses                     | 600  | ++           | suspect |
      | refuses once                | 1000 |              | alive   |
      | is checked by a paused host | 3000 |              | alive   |

  Scenario Outline: An endpoint whose promotion was ordered is chosen again
    Given replicas <replicas> and <sync> synchronous copies, after an order for <ordered>
    Then the successor is <successor>

    Examples:
      | replicas                  | sync | ordered | successor |
      | a 3.10, b 3.12            | 0    | a       | a         |
      | a 3.10, b 3.12            | 0    | b       | b         |
      | a silent, b 3.12          | 0    | a       | b         |
      | a 3.10 draining, b 3.12   | 0    | a       | b         |
      | a 3.10, b 3.12            | 1    | a       | b         |
      | a 3.10, b 3.12            | 0    | c       | b         |

  Scenario Outline: The last log entry of the primary is known
    Given replicas <replicas> and a primary at <position> to which nobody writes
    Then the successor is <successor>

    Examples: with one synchronous copy
      | replicas                         | position | successor           |
      | a 3.10, b 3.12                   | 3.12     | b                   |
      | a 3.12, b silent                 | 3.12     | a                   |
      | a 3.10, b 3.11                   | 3.12     | none: no replica    |
      | a silent, b silent               | 3.12     | none: no replica    |
      | a 3.12, b 3.13 draining          | 3.12     | a                   |
      | a 2.99, b 3.12 draining          | 3.12     | b                   |

  Scenario Outline: Callers were told of commits
    Guards against the promotion of a replica that lacks them, because the one
    that holds them has terminated or was never known.

    Given callers that were told of <position>, <sync> synchronous copies and replicas <replicas>
    Then the successor is <successor>

    Examples:
      | replicas                | position | sync | successor            |
      | a 3.10, b 3.12          | 3.12     | 1    | b                    |
      | a 3.10, b 3.11          | 3.12     | 1    | none: callers        |
      | a 3.10                  | 4.0      | 1    | none: callers        |
      | a 4.0, b 3.99           | 4.0      | 1    | a                    |
      | a 3.13, b 3.12 draining | 3.12     | 1    | a                    |
      | a 3.12 draining, b 3.10 | 3.12     | 1    | a                    |
      | a 3.12, b silent        | 3.12     | 1    | none: may hold       |
      | a silent, b silent      | 3.12     | 1    | none: may hold       |

  Scenario Outline: Selection of the successor
    Given replicas <replicas> and <sync> synchronous copies
    Then the successor is <successor>

    Examples:
      | replicas                          | sync | successor       |
      | a 3.10, b 3.12                    | 0    | b               |
      | a 3.10, b silent                  | 0    | a               |
      | a 4.1, b 3.99                     | 0    | a               |
      | a 3.10, b 3.12 draining           | 0    | a               |
      | b 3.12 draining                   | 0    | b               |
      | a silent, b silent                | 0    | none: no answer |
      | a 3.10, b 3.12                    | 1    | b               |
      | a 3.10, b silent                  | 1    | none: may hold  |
      | a 3.10, b 3.12 draining           | 1    | b               |
      | a 3.10, b 3.12, c silent          | 2    | b               |
