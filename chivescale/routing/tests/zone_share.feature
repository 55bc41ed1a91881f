Feature: Share of the reads that leave their zone
  Guards against reads that cross zones although endpoints at home are free,
  against a zone that keeps reads its endpoints cannot serve, and against flows
  that swing between zones. No network.

  Scenario Outline: When leaving pays
    Given answers take <home> ms at home and <away> ms in other zones
    When 10 s pass
    Then the share that leaves becomes <share>

    Examples: the gain has to exceed 15% and 4 ms
      | home | away | share   |
      | 20   | 22   | none    |
      | 20   | 17   | none    |
      | 40   | 35   | none    |
      | 60   | 30   | all     |
      | 200  | 60   | all     |

  Scenario Outline: Waves out of phase: flows settle
    Given <zones> zones, each with 6 slots and reads of 40 ms
    And the zones are asked for <loads> reads per second
    When 30 s pass
    Then the mean time to an answer is at most <ms> ms
    And <least> to <most> percent of the reads of zone 0 leave
    And no zone changes its share by more than <swing> percent in the last 10 s

    Examples: one zone short of endpoints, all short alike, none short
      | zones | loads         | ms  | least | most | swing |
      | 3     | 250, 40, 40   | 100 | 40    | 100  | 50    |
      | 3     | 60, 60, 60    | 60  | 0     | 2    | 2     |
      | 2     | 140, 140      | 400 | 0     | 40   | 40    |

  Scenario: A demand that moves to another zone is followed, and returns
    Given 3 zones, each with 6 slots and reads of 40 ms
    And the zones are asked for 250, 40, 40 reads per second
    When 15 s pass
    And the zones are asked for 40, 250, 40 reads per second
    And 15 s pass
    Then 0 to 5 percent of the reads of zone 0 leave
    And 40 to 100 percent of the reads of zone 1 leave

  Scenario: Reports that are old count for nothing
    Given answers take 200 ms at home and 60 ms in other zones
    When 10 s pass
    And nothing is heard from other zones for 6 s
    Then the share that leaves is below a tenth

  Scenario: A step is bounded
    Given answers take 200 ms at home and 60 ms in other zones
    When 1 s pass
    Then at most 30 percent leave
