Feature: Confirmation of writes
  Guards against acknowledging a write that a replaced primary accepted.

  Scenario Outline: What positions prove
    Given term 2 with primary a and voters a, b, c
    When write 2.10 waits and the positions <positions> arrive
    Then the write is <outcome>

    Examples:
      | positions          | outcome   |
      | b:2:2.9            | open      |
      | b:2:2.10           | confirmed |
      | b:2:2.12           | confirmed |
      | b:3:2.10           | confirmed |
      | b:1:1.99           | open      |
      | b:3:3.99           | open      |
      | a:2:2.10           | open      |
      | d:2:2.10           | open      |
      | b:2:2.10:lost      | open      |

  Scenario Outline: What the history of a later term proves
    Given term 2 with primary a and voters a, b, c
    When write 2.10 waits and the positions b:2:2.9 arrive
    And term 4 is established with primary b and voters b, c, d
    Then b is asked for its history
    When <endpoint> at <place> reports the terms <starts>
    Then the write is <outcome>

    Examples:
      | endpoint | place | starts       | outcome   |
      | b        | 4.11  | 1:1 2:4 4:11 | confirmed |
      | b        | 4.10  | 1:1 2:4 4:10 | absent    |
      | b        | 4.8   | 1:1 2:4 4:8  | absent    |
      | b        | 4.20  | 1:1 3:9 4:15 | absent    |
      | c        | 4.11  | 1:1 2:4 4:11 | confirmed |
      | b        | 2.11  | 1:1 2:4      | open      |
      | e        | 4.8   | 1:1 2:4 4:8  | open      |
      | b        | 4.20  | 4:15         | open      |

  Scenario: The deadline passes without proof
    Given term 2 with primary a and voters a, b, c
    When write 2.10 waits and the positions b:2:2.9 arrive
    And the deadline of the write passes
    Then the write is unknown

  Scenario: One question to a replica at a time, for the smallest position
    Given term 2 with primary a and voters a, b, c
    When write 2.10 waits and the positions - arrive
    And write 2.12 waits and the positions - arrive
    Then b and c were asked once for 2.10
    When the positions b:2:2.11 arrive
    Then b is asked for 2.12
