Feature: Session machines against a group with faults
  Guards against reads that miss confirmed writes, confirmations of writes
  that a later term lacks, and proofs of absence of writes that are present.

  Scenario Outline: Random runs with loss, lag, partitions and failovers
    When <count> random runs of 1200 steps start at seed <seed>
    Then all of these happened: <events>

    # Seed 166 reaches a host that knows only the voters of an older term:
    # without the term check of barriers it fails.
    Examples:
      | seed | count | events                                     |
      | 0    | 40    | confirmed absent unknown ready served aged |
      | 160  | 20    | established no_quorum freshness_unproved   |

  Scenario: Random runs with seeds drawn by hypothesis
    Then no drawn seed violates consistency
