Feature: Tokens, session positions, proven ages and idempotency keys
  Guards against reads below the position of the session, wrong proven ages
  and requests that are executed twice.

  Scenario Outline: Parsing a token
    When the token text <text> is parsed for service ledger
    Then the result is <result>

    Examples:
      | text                     | result              |
      | c1.ledger.3.17.f3719d4d  | 3.17                |
      | c1.ledger.3.18.f3719d4d  | wrong checksum      |
      | c1.ledger.3.17           | malformed           |
      | c1.ledger.-3.17.f3719d4d | malformed           |
      | LONG                     | too long            |
      | OTHER                    | belongs to service  |

  Scenario: Any token can be formatted and parsed back
    Then tokens with random names and positions are parsed back unchanged

  Scenario Outline: Which reads require a barrier
    Given a connection with scope <scope>
    When these events are recorded: <events>
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
    Given a freshness object with term 2 and primary a
    When these answers and samples are recorded: <records>
    Then at 10 s the proven age of <endpoint> is <age>

    Examples:
      | records                                      | endpoint | age  |
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

  Scenario Outline: Which positions an endpoint holds
    Given a freshness object with term 2 and primary a
    When these answers and samples are recorded: <records>
    Then <endpoint> holds <position>: <holds>

    Examples:
      | records               | endpoint | position | holds |
      | b@1=2:2.5             | b        | 2.5      | yes   |
      | b@1=2:2.5             | b        | 2.6      | no    |
      | b@1=2:2.5             | b        | 1.99     | yes   |
      | b@1=2:1.99            | b        | 2.5      | no    |
      | b@1=2:2.5 b@0=2:2.4   | b        | 2.5      | yes   |
      | b@1=2:2.5             | c        | 1.1      | no    |
      | b@1=2:2.5             | a        | 2.99     | yes   |
      | b@1=2:2.5             | a        | 3.1      | no    |
      | b@1=3:2.5             | a        | 2.1      | no    |

  Scenario: The number of samples is bounded and old ones remain usable
    Given a freshness object with term 2 and primary a
    When 10000 samples are recorded in 10 s
    Then at most 512 samples are kept
    And a replica 4 s behind has a proven age under 4.5 s

  Scenario Outline: Interpretation of a stored key
    Given a table of requests with a stored request <stored>
    When the request <request> is looked up
    Then the result of the key is <result>

    Examples:
      | stored           | request        | result          |
      | -                | w k1 A         | none            |
      | w k1 A 3 7       | w k1 A         | 3 rows, id 7    |
      | w k1 A 3 7       | w k1 B         | key_reused      |
      | w k1 A           | w k1 A         | key_in_progress |
      | w k1 A 3 7       | w K1 B         | none            |
      | w k1 A 3 7       | v k1 B         | none            |
      | w 01 A 3 7       | w 1 B          | none            |
      | w it's A 3 7     | w it's A       | 3 rows, id 7    |
      | w a\ A 3 7       | w a\ A         | 3 rows, id 7    |
