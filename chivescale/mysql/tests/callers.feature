Feature: Callers with stock drivers
  Guards against answers that drop counts or positions, that look complete
  but are not, or that reach the wrong request, and against one caller who
  disturbs the others.

  Scenario: Counts, position and row order
    Given a scripted server
    Then text and prepared writes report counts, warnings and the commit
    And 20000 rows arrive in order and a row of 17000000 bytes arrives whole

  Scenario Outline: Error packets
    Given a scripted server
    When a driver runs <statement>
    Then it sees error <errno> with state <state> and kind <kind>

    Examples:
      | statement                 | errno | state | kind                 |
      | FAIL overloaded           | 1040  | 08004 | overloaded           |
      | FAIL did_not_run          | 1213  | 40001 | did_not_run          |
      | FAIL outcome_unknown      | 1105  | 08007 | outcome_unknown      |
      | FAIL deadline_not_started | 1205  | HY000 | deadline_not_started |
      | FAIL no_primary           | 1290  | HY000 | no_primary           |
      | RAISE now                 | 1105  | HY000 | internal             |

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
    Then it sees error <errno>, the end of the connection and no statement ran

    Examples:
      | flaw                | errno |
      | a wrong secret      | 1045  |
      | an unknown user     | 1045  |
      | no secret           | 1045  |
      | a refused workspace | 1203  |

  Scenario: A client with another default plugin is asked to switch
    Given a scripted server
    Then a client for caching_sha2_password can log in after the switch

  Scenario: TLS
    Given a scripted server with TLS
    Then a driver runs statements over TLS

  Scenario: A TLS request without TLS ends the connection
    Given a scripted server
    Then a client that asks for TLS gets no answer

  Scenario: A caller that vanishes is noticed while its statement runs
    Given a scripted server
    When a client vanishes while its statement runs
    Then the statement is cancelled and the session closed once

  Scenario Outline: Rows that fail halfway never look complete
    Given a scripted server
    When a driver runs ROWS <count> BROKEN
    Then it sees the loss of the connection

    Examples:
      | count |
      | 0     |
      | 5000  |

  Scenario Outline: Commands that end only their connection
    Given a scripted server that accepts 10000 bytes
    And a second connection
    When a client sends <command>
    Then it sees error <errno>, the end of the connection and no statement ran
    And the second connection still answers

    Examples:
      | command                | errno |
      | a 60000 byte statement | 1153  |
      | a packet out of order  | 1047  |
      | an empty packet        | 1047  |
      | COM_CHANGE_USER        | 1235  |

  Scenario: Random bytes end only their connection
    Given a scripted server
    And a second connection
    Then no random login or command stops the second connection

  Scenario: A statement over 16 MiB arrives whole
    Given a scripted server that accepts 40000000 bytes
    Then a statement of 17000000 bytes arrives whole

  Scenario: A caller that does not read ends only its connection
    Given a scripted server that waits 300 ms for a caller to read
    And a second connection
    When a client asks for 40000000 bytes and does not read
    Then its session is closed once
    And the second connection still answers

  Scenario: Pipelined statements are answered in order
    Given a scripted server
    Then 50 statements sent in one write get 50 answers in order

  Scenario: Prepared statements
    Given a scripted server
    Then every prepared value arrives as the literal that stands for it
    And a 65th prepared statement is refused with error 1461

  Scenario: The service can change only outside a transaction
    Given a scripted server
    Then USE and COM_INIT_DB switch the service, but not in a transaction

  Scenario: COM_RESET_CONNECTION rolls back and forgets
    Given a scripted server
    Then a reset connection has no transaction and no prepared statements

  # Guards against a command that reaches a session at the moment of its end and
  # gets no answer.
  Scenario: A session is killed while a command arrives
    Given a scripted server
    When a session is killed after a part of a command has arrived
    Then the command is answered with error 1053 and its session is closed

  Scenario Outline: A killed session
    Given a scripted server
    When a session is killed while <state>
    Then its driver sees error <errno> and its session is closed

    Examples:
      | state                            | errno |
      | idle                             | 2013  |
      | running                          | 1053  |
      | ending itself                    | 1045  |
      | running, with an answer all same | 1105  |

  Scenario: A client that leaves during its login is closed once
    Given a scripted server
    When a client disappears while its login is accepted
    Then its session is closed once

  Scenario: A server that closes ends its connections
    Given a scripted server
    And a second connection
    Then closing the server ends the second connection and its session
