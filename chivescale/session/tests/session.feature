Feature: Tokens, session positions, proven ages and idempotency keys
  Guards against reads below the session's position, ages that are not
  proven, and requests that run twice.

  Scenario Outline: Reading a token
    When the token text <text> is read for service ledger
    Then the result is <result>

    Examples:
      | text                     | result              |
      | c1.ledger.3.17.f3719d4d  | 3.17                |
      | c1.ledger.3.18.f3719d4d  | wrong checksum      |
      | c1.ledger.3.17           | malformed           |
      | c1.ledger.-3.17.f3719d4d | malformed           |
      | LONG                     | too long            |
      | OTHER                    | belongs to service  |

  Scenario: Tokens of any name survive the text form
    Then tokens of drawn names and positions are read back

  Scenario Outline: Whether a read needs a barrier
    Given a connection with scope <scope>
    When these happen: <events>
    Then a barrier is needed: <needed>, and reads must include <position>

    Examples:
      | scope      | events               | needed | position |
      | workspace  | -                    | yes    | none     |
      | workspace  | write:1.5            | yes    | 1.5      |
      | workspace  | barrier:1.5          | yes    | 1.5      |
      | workspace  | token:1.5            | no     | 1.5      |
      | workspace  | token:1.9 write:1.5  | no     | 1.9      |
      | connection | -                    | yes    | none     |
      | connection | barrier:1.5          | no     | 1.5      |
      | connection | barrier:1.9 write:2.3 | no    | 2.3      |
      | connection | write:1.5            | no     | 1.5      |

  Scenario Outline: Proven age
    Given term 2 with primary a is published to a freshness record
    When these answers and samples are noted: <facts>
    Then at 10 s the age of <endpoint> is <age>

    Examples:
      | facts                                        | endpoint | age  |
      | b@1=2:2.5                                    | b        | none |
      | b@1=2:2.5 sample@2=2.5                       | b        | 8    |
      | b@1=2:2.5 sample@2=2.5 sample@4=2.5          | b        | 6    |
      | b@1=2:2.5 sample@2=2.5 sample@4=2.6          | b        | 8    |
      | b@1=2:2.5 sample@2=2.9 sample@4=2.4          | b        | 6    |
      | b@1=2:2.5 sample@4=2.5 sample@2=2.9          | b        | 6    |
      | b@1=2:1.99 sample@2=2.5                      | b        | none |
      | b@1=1:2.5 sample@2=2.5                       | b        | none |
      | b@1=2:2.5 sample@2=2.5 c@3=3:2.5             | b        | none |
      | sample@2=2.5                                 | a        | 8    |
      | sample@2=2.5 a@3=0:0.0:lost                  | a        | none |
      | b@5=2:0.0:lost late:b@1=2:2.5 sample@2=2.5   | b        | none |

  Scenario Outline: Whether an endpoint holds a position
    Given term 2 with primary a is published to a freshness record
    When these answers and samples are noted: <facts>
    Then <endpoint> holds <position>: <holds>

    Examples:
      | facts                 | endpoint | position | holds |
      | b@1=2:2.5             | b        | 2.5      | yes   |
      | b@1=2:2.5             | b        | 2.6      | no    |
      | b@1=2:2.5             | b        | 1.99     | yes   |
      | b@1=2:1.99            | b        | 2.5      | no    |
      | b@1=2:2.5 b@0=2:2.4   | b        | 2.5      | yes   |
      | b@1=2:2.5             | c        | 1.1      | no    |
      | b@1=2:2.5             | a        | 2.99     | yes   |
      | b@1=2:2.5             | a        | 3.1      | no    |
      | b@1=3:2.5             | a        | 2.1      | no    |

  Scenario: Samples stay bounded and old ones remain usable
    Given term 2 with primary a is published to a freshness record
    When 10000 samples are noted in 10 s
    Then at most 512 samples are kept
    And a replica 4 s behind has a proven age under 4.5 s

  Scenario Outline: What a stored key means
    Given a table of requests with a stored request <stored>
    When the request <request> is looked up
    Then the key says <meaning>

    Examples:
      | stored           | request        | meaning         |
      | -                | w k1 A         | none            |
      | w k1 A 3 7       | w k1 A         | 3 rows, id 7    |
      | w k1 A 3 7       | w k1 B         | key_reused      |
      | w k1 A           | w k1 A         | key_in_progress |
      | w k1 A 3 7       | w K1 B         | none            |
      | w k1 A 3 7       | v k1 B         | none            |
      | w 01 A 3 7       | w 1 B          | none            |
      | w it's A 3 7     | w it's A       | 3 rows, id 7    |
      | w a\ A 3 7       | w a\ A         | 3 rows, id 7    |
