Feature: Failover
  Guards against the loss of confirmed writes, two primaries in one term,
  unnecessary promotions, and failovers that never complete.

  Scenario Outline: Selection of the endpoint to promote
    Given voters a, b and c with primary a
    When <promised> promise and <avoided> is to be avoided
    Then the choice is <choice>

    Examples:
      | promised             | avoided | choice |
      | a 3/9, b 3/7, c 3/5  | -       | a      |
      | a 3/9, b 3/7, c 3/5  | a       | b      |
      | b 3/5, c 3/7         | a       | c      |
      | b 3/5, c 3/7         | c       | c      |
      | b 2/99, c 3/1        | a       | c      |
      | a 3/5, b 3/5, c 3/5  | -       | a      |
      | a 3/5, b 3/5, c 3/5  | a       | c      |
      | c 3/5                | a       | none   |

  Scenario Outline: Change of voters
    Given voters a, b and c with primary a and the learner d at <lag> entries
    When <event>
    Then the planned voters are <voters>

    Examples:
      | lag | event                     | voters  |
      | 0   | nothing happens           | none    |
      | 0   | c is silent               | a, b, d |
      | 0   | c is leaving              | a, b, d |
      | 500 | c is leaving              | none    |
      | 0   | a is silent               | none    |
      | 0   | a is leaving              | b, c, d |
      | 0   | c lost its data           | a, b, c |
      | 0   | d is leaving              | none    |
      | 0   | the group grows to 4      | a, b, c, d |
      | 0   | the group shrinks to 2    | a, b    |

  Scenario Outline: Planned and unplanned changes of the primary
    Given a running group with a spare endpoint
    When the primary <event>
    Then a new primary is established within <ms> ms
    And callers can write within <ms> ms

    Examples:
      | event                     | ms   |
      | is killed                 | 1000 |
      | is frozen                 | 2000 |
      | is cut from its replicas  | 2000 |
      | leaves                    | 3000 |
      | leaves and dies           | 3000 |
      | loses its disk            | 3000 |
      | is killed twice           | 2000 |
      | is restarted at once      | 3000 |

  Scenario: A frozen primary that resumes is no longer primary
    Given a running group with a spare endpoint
    When the primary is frozen
    Then a new primary is established within 2000 ms
    And the earlier primary follows the new one once it resumes

  Scenario: A voter that lost its disk becomes a voter again
    Given a running group without spare
    When a replica loses its disk
    Then its new incarnation is a voter within 5000 ms

  Scenario: A single watcher needs the leader's own probe
    Given a running group with a spare endpoint
    When the only watcher alive is cut from the primary
    Then no other term is established in 5000 ms

  Scenario: A new leader that has received no announcements begins no term
    Given a running group with a spare endpoint
    When the control leader changes five times
    Then no other term is begun in 15000 ms

  Scenario: A group without a quorum reserves no terms
    Given a running group without spare
    When two of three voters are killed
    Then no other term is begun in 10000 ms

  Scenario: Normal disturbances for an hour cause no promotion
    Then an hour of pauses, lag and lost announcements keeps the first term

  Scenario: Any sequence of faults preserves the confirmed writes
    Then hypothesis finds no fault sequence that violates an invariant

  Scenario Outline: Random faults preserve the confirmed writes
    Then the random runs with seeds <from> to <to> violate no invariant

    Examples:
      | from | to  |
      | 0    | 9   |
      | 100  | 109 |
