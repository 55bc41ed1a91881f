Feature: Rate limits of a workspace over all hosts
  Guards against a workspace that runs more than its limit by using many hosts,
  coordinators that are restarted, cut off or removed, and against refusals
  below the limit. No network.

  # Any order of requests, loans, lost answers, restarts and clock reads.
  Scenario Outline: In any 5 s no more runs than the limit allows
    Then <count> random histories of <members> coordinators keep the limit

    Examples:
      | count | members |
      | 150   | 1       |
      | 150   | 3       |
      | 150   | 6       |

  Scenario Outline: What lies below the limit is served
    Given <members> coordinators with the limit <rate>/s, burst <burst>
    When <per_s> operations per second arrive at <hosts> of them for 10 s
    Then at least <share> percent are admitted

    Examples: spread evenly, at one coordinator, and moving every second
      | members | rate | burst | per_s | hosts | share |
      | 6       | 186  | 186   | 120   | 6     | 99    |
      | 6       | 186  | 186   | 120   | 1     | 99    |
      | 6       | 186  | 186   | 120   | turns | 99    |
      | 3       | 1    | 1     | 0.6   | 3     | 90    |
      | 6       | 1    | 1     | 0.6   | turns | 90    |
      | 8       | 40   | 40    | 39    | 1     | 95    |

  Scenario: One workspace at seven times its usual gets its limit and no more
    Given 6 coordinators with the limit 20/s, burst 20
    When 90 operations per second arrive at 6 of them for 10 s
    Then 180 to 230 are admitted

  Scenario Outline: The number of shares follows the group
    Given shares of a group of <before> at second 0
    When the group has <after> members from second 1 on
    Then limits are divided by <at_2> at second 2 and by <at_70> at second 70

    Examples: shares grow late, because a removed member may be cut off
      | before | after | at_2 | at_70 |
      | 6      | 7     | 7    | 7     |
      | 6      | 5     | 6    | 5     |
      | 0      | 3     | 3    | 3     |

  Scenario: A member that may have been removed adds no tokens
    Given 1 coordinators with the limit 10/s, burst 10
    When it may not add tokens for 5 s
    Then no operation is admitted

  Scenario: A lowered limit cuts what was saved
    Given 1 coordinators with the limit 100/s, burst 100
    When the limit is lowered to 10/s, burst 10 after 5 s
    Then 10 operations are admitted at once

  Scenario: Refused callers return one after the other
    Given 1 coordinators with the limit 10/s, burst 10
    When 12 operations arrive at once after 5 s and 3 are refused
    Then they are told to return after 100, 200 and 300 ms

  Scenario Outline: Tokens of a host
    Given a host that got 2 tokens
    When <ms> ms pass
    Then it runs <count> operations without asking

    Examples:
      | ms  | count |
      | 0   | 2     |
      | 200 | 2     |
      | 260 | 0     |

  # Guards against refusals of every workspace that a host serves rarely.
  Scenario: A host that ran one operation and whose coordinators are gone
    Given a host that ran 1 operations per second for 1 s
    When no coordinator answers for 100 ms
    Then it runs 1 operations without asking

  Scenario Outline: A host whose coordinators are gone
    Given a host that ran 10 operations per second for 4 s
    When no coordinator answers for <ms> ms
    Then it runs <least> to <most> operations without asking

    Examples:
      | ms   | least | most |
      | 100  | 20    | 30   |
      | 2900 | 20    | 30   |
      | 3100 | 0     | 0    |
