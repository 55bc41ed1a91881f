Feature: Callers with stock drivers
  Guards against answers that drop counts or positions, that look complete
  but are not, or that reach the wrong request, and against one caller who
  disturbs the others.

  Scenario: Counts and position of a statement
    Given a scripted server
    When a driver runs UPDATE t
    Then it sees 3 affected rows, a 41-bit insert id, 4 warnings and the commit

  Scenario: Counts and position of a prepared statement
    Given a scripted server
    When a driver prepares and runs UPDATE t WHERE a = ?
    Then the prepared statement reports the same counts and commit

  Scenario Outline: Error packets
    Given a scripted server
    When a driver runs FAIL <kind>
    Then it sees error <errno> with state <state> and a message that starts with [<kind>]

    Examples:
      | kind                 | errno | state |
      | overloaded           | 1040  | 08004 |
      | did_not_run          | 1213  | 40001 |
      | outcome_unknown      | 1105  | 08007 |
      | deadline_not_started | 1205  | HY000 |
      | no_primary           | 1290  | HY000 |

  Scenario: A fault of the handler ends neither process nor connection
    Given a scripted server
    When a driver runs RAISE now
    Then it sees error 1105 with state HY000 and a message that starts with [internal]
    And the same connection still answers

  Scenario Outline: Status flags
    Given a scripted server
    When a driver runs <statement>
    Then its status shows in transaction <open> and autocommit <auto>

    Examples:
      | statement | open | auto |
      | UPDATE t  | no   | yes  |
      | BEGIN     | yes  | yes  |
      | MANUAL    | no   | no   |

  Scenario Outline: Refused logins end the connection
    Given a scripted server
    When a client logs in with <flaw> and sends a statement at once
    Then it sees error <errno> and the end of the connection
    And no statement ran

    Examples:
      | flaw                | errno |
      | a wrong secret      | 1045  |
      | an unknown user     | 1045  |
      | no secret           | 1045  |
      | a refused workspace | 1203  |

  Scenario: A client with another default plugin is asked to switch
    Given a scripted server
    When a client answers the greeting for caching_sha2_password
    Then it can log in with the secret after the switch request

  Scenario: TLS with a stock driver
    Given a scripted server with TLS
    When a driver connects with TLS
    Then it can run statements over TLS

  Scenario: A TLS request without TLS ends the connection
    Given a scripted server
    When a client asks for TLS
    Then its connection ends without an answer

  Scenario: A caller that vanishes is noticed while its statement runs
    Given a scripted server
    When a driver vanishes while its statement runs
    Then the statement is cancelled and the session closed once

  Scenario Outline: Rows that fail halfway never look complete
    Given a scripted server
    When a driver reads <count> rows of which the last is broken
    Then it sees the loss of the connection instead of a result

    Examples:
      | count |
      | 0     |
      | 5000  |

  Scenario: Large results arrive whole
    Given a scripted server
    When a driver reads 20000 rows
    Then it sees all 20000 rows in order

  Scenario: A statement over the limit ends only its connection
    Given a scripted server that accepts 10000 bytes
    And a second connection
    When a driver sends a statement of 60000 bytes
    Then it sees error 1153 and the end of the connection
    And no statement ran
    And the second connection still answers

  Scenario: Random bytes end only their connection
    Given a scripted server
    And a second connection
    Then no random login or command stops the second connection

  Scenario: Pipelined statements are answered in order
    Given a scripted server
    When a client sends 50 statements in one write
    Then it gets 50 answers in order

  Scenario: A packet out of sequence ends the connection
    Given a scripted server
    When a client sends a statement with sequence number 3
    Then it sees error 1047 and the end of the connection
    And no statement ran

  Scenario: The number of prepared statements is bounded
    Given a scripted server
    When a driver prepares 65 statements
    Then the last one is refused with error 1461

  Scenario: Prepared values are quoted and keep their type
    Given a scripted server
    Then every prepared value arrives as the literal that stands for it

  Scenario: The service can change only outside a transaction
    Given a scripted server
    Then USE and COM_INIT_DB switch the service, but not in a transaction

  Scenario: COM_RESET_CONNECTION rolls back and forgets
    Given a scripted server
    Then a reset connection has no transaction and no prepared statements

  Scenario: COM_CHANGE_USER is refused and ends the connection
    Given a scripted server
    When a client sends COM_CHANGE_USER
    Then it sees error 1235 and the end of the connection

  Scenario Outline: A killed session
    Given a scripted server
    When a session is killed while <state>
    Then its driver sees <end>

    Examples:
      | state   | end           |
      | idle    | a closed port |
      | running | error 1053    |
      | ending itself | error 1045  |
      | running a statement that answers all the same | error 1105 |

  Scenario: A client that leaves during its login is closed once
    Given a scripted server
    When a client disappears while its login is accepted
    Then its session is closed once

  Scenario: A statement over 16 MiB arrives whole
    Given a scripted server that accepts 40000000 bytes
    When a driver sends 17000000 bytes of text and reads their length
    Then the length is 17000000

  Scenario: A row over 16 MiB arrives whole
    Given a scripted server
    When a driver reads a row of 17000000 bytes
    Then the row has 17000000 bytes

  Scenario: A caller that does not read ends only its connection
    Given a scripted server that waits 300 ms for a caller to read
    And a second connection
    When a client asks for 40000000 bytes and does not read
    Then its session is closed once
    And the second connection still answers

  Scenario: A session that ends closes its connections
    Given a scripted server
    And a second connection
    When the server closes
    Then the second connection has ended
