Feature: Session machines against a group with faults
  Guards against reads that miss confirmed writes, confirmations of writes
  that a later term lacks, and proofs of absence of writes that are present.

  Scenario Outline: Random runs with loss, lag, partitions and failovers
    When <count> random runs of 600 steps start at seed <seed>
    Then all of these happened: <events>

    # Seed 302 meets a host that knows only the voters of an older term,
    # seed 68 a primary that lost its disk.
    Examples:
      | seed | count | events                                          |
      | 0    | 40    | confirmed absent unknown ready served aged      |
      | 60   | 20    | established no_quorum freshness_unproved        |
      | 295  | 20    | confirmed established served                    |

  Scenario: Random runs with seeds drawn by hypothesis
    Then no drawn seed violates consistency
