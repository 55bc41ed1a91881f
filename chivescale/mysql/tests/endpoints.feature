Feature: Connections to endpoints
  Guards against a statement that is reported as not sent although it left,
  and against a connection that is used again with an answer outstanding.

  Scenario Outline: A connection that cannot be opened
    Given a scripted server
    When a connection is opened to <endpoint>
    Then opening it fails with <kind>

    Examples:
      | endpoint                         | kind                  |
      | a port without a listener        | unreachable           |
      | a server that never greets       | unreachable           |
      | a server that greets with noise  | unreachable           |
      | a server without connections     | overloaded            |
      | a server with another secret     | authentication_failed |
      | a server that refuses the schema | service_not_allowed   |

  Scenario: Values pass as the endpoint's bytes
    Given an open endpoint connection
    When it runs SELECT 1
    Then the rows are bytes and the column types those of the endpoint

  Scenario: Fields of a write
    Given an open endpoint connection
    When it runs UPDATE t
    Then its result has the counts and the commit of the endpoint

  Scenario: A failed statement keeps the connection
    Given an open endpoint connection
    When it runs FAIL key_reused
    Then the outcome is statement_failed with 1062, 23000 and no kind prefix
    And the connection is usable

  Scenario Outline: A lost answer ends the connection
    Given an open endpoint connection
    When <event> while a statement runs
    Then the outcome is <kind>
    And the connection is not usable
    And the next statement is unreachable and never arrives

    Examples:
      | event                  | kind    |
      | the deadline passes    | timeout |
      | the endpoint closes    | timeout |
      | the answer is cut      | timeout |
      | the answer is noise    | timeout |
      | another answer follows | timeout |
      | the request is given up | nothing |

  Scenario Outline: A connection that changed while idle is not used
    Given an open endpoint connection
    When <event> while the connection is idle
    Then the connection is not usable
    And the next statement is unreachable and never arrives

    Examples:
      | event                         |
      | the endpoint closes           |
      | the endpoint sends stray data |

  Scenario Outline: Statements that change the session
    Given an open endpoint connection
    When it runs <statement>
    Then the session counts as changed: <changed>

    Examples:
      | statement                         | changed |
      | SELECT 1                          | no      |
      | UPDATE settings                   | no      |
      | SET sql_mode = ''                 | yes     |
      | USE other                         | yes     |
      | CREATE TEMPORARY TABLE t (a INT)  | yes     |
      | SELECT GET_LOCK('a', 1)           | yes     |
      | SELECT @a := 1                    | yes     |

  Scenario: The transaction state follows the endpoint
    Given an open endpoint connection
    Then it is in a transaction after BEGIN and not after COMMIT

  Scenario: TLS to an endpoint
    Given a scripted server with TLS
    Then a connection with TLS runs statements

  Scenario: A text cannot run as several statements
    Given an open endpoint connection
    Then its login does not offer multiple statements
