Feature: Confirmation of writes
  Guards against acknowledging a write that only a replaced primary holds.

  Scenario Outline: Outcome of a write by the reported positions
    Given term 2 with primary a and voters a, b, c
    When write 2.10 is pending and the positions <positions> arrive
    Then the write is <outcome>

    Examples:
      | positions          | outcome   |
      | b:2:2.9            | pending   |
      | b:2:2.10           | confirmed |
      | b:2:2.12           | confirmed |
      | b:3:2.10           | confirmed |
      | b:1:1.99           | pending   |
      | b:3:3.99           | pending   |
      | a:2:2.10           | pending   |
      | d:2:2.10           | pending   |
      | b:2:2.10:lost      | pending   |

  Scenario Outline: Outcome of a write by the log history of a later term
    Given term 2 with primary a and voters a, b, c
    When write 2.10 is pending and the positions b:2:2.9 arrive
    And term 4 is established with primary b and voters b, c, d
    Then the history of b is requested
    When <endpoint> at <position> reports the terms <starts>
    Then the write is <outcome>

    Examples:
      | endpoint | position | starts       | outcome   |
      | b        | 4.11     | 1:1 2:4 4:11 | confirmed |
      | b        | 4.10     | 1:1 2:4 4:10 | absent    |
      | b        | 4.8      | 1:1 2:4 4:8  | absent    |
      | b        | 4.20     | 1:1 3:9 4:15 | absent    |
      | c        | 4.11     | 1:1 2:4 4:11 | confirmed |
      | b        | 2.11     | 1:1 2:4      | pending   |
      | e        | 4.8      | 1:1 2:4 4:8  | pending   |
      | b        | 4.20     | 4:15         | pending   |

  Scenario: The outcome is unknown if the deadline passes without proof
    Given term 2 with primary a and voters a, b, c
    When write 2.10 is pending and the positions b:2:2.9 arrive
    And the deadline of the write passes
    Then the write is unknown

  Scenario: A replica is polled once at a time, for the smallest position
    Given term 2 with primary a and voters a, b, c
    When write 2.10 is pending and the positions - arrive
    And write 2.12 is pending and the positions - arrive
    Then b and c were polled once for 2.10
    When the positions b:2:2.11 arrive
    Then b is polled for 2.12
