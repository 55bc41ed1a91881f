Feature: SQL of the stand-in
  Guards against results that differ from those of a MySQL server in ways
  that would hide or invent faults of the proxy.

  Scenario Outline: Dialect
    Given a primary with table items
    When it runs the statements <statements>
    Then the query <query> returns <rows>

    Examples:
      | statements                                                                      | query                             | rows            |
      | INSERT INTO items (name) VALUES ('it\'s'), ("say ""hi""")                      | SELECT id, name FROM items        | 1:it's,2:say "hi" |
      | INSERT IGNORE INTO items (id, name) VALUES (1, 'a'), (1, 'b')                   | SELECT id, name FROM items        | 1:a             |
      | INSERT INTO items (id, name) VALUES (1, 'a'); INSERT INTO items (id, name) VALUES (1, 'b') ON DUPLICATE KEY UPDATE name = VALUES(name) | SELECT id, name FROM items | 1:b |
      | REPLACE INTO items (id, name) VALUES (1, 'a'); REPLACE INTO items (id, name) VALUES (1, 'c') | SELECT id, name FROM items | 1:c |
      | INSERT INTO `items` (`name`) VALUES (0x6162), (X'6364'), (_binary'ef')          | SELECT id, name FROM items        | 1:ab,2:cd,3:ef  |
      | INSERT INTO items (name) VALUES ('a'); TRUNCATE TABLE items                     | SELECT COUNT(*) FROM items        | 0               |
      | INSERT INTO items (name) VALUES ('x') /* c */ -- tail                           | SELECT name FROM items FOR UPDATE | x               |
      | INSERT INTO items (name) VALUES (CONCAT('a', 'b'))                              | SELECT name FROM items LOCK IN SHARE MODE | ab      |
      | SELECT 1                                                                        | SELECT @@autocommit, DATABASE()   | 1:ledger        |
      | SELECT 1                                                                        | SHOW TABLES                       | items           |

  Scenario Outline: Errors
    Given a primary with table items
    When it runs the statement <statement>
    Then the error is <errno> with state <state>

    Examples:
      | statement                                  | errno | state |
      | SELEC 1                                    | 1064  | 42000 |
      | SELECT * FROM absent                       | 1146  | 42S02 |
      | SELECT absent FROM items                   | 1054  | 42S22 |
      | INSERT INTO items (id, name) VALUES (1, 'a'), (1, 'b') | 1062 | 23000 |
      | INSERT INTO items (name) VALUES (NULL)     | 1048  | 23000 |
      | CREATE TABLE items (id INT)                | 1050  | 42S01 |
      | SELECT 1; SELECT 2                         | 1064  | 42000 |

  Scenario: Insert ids
    Given a primary with table items
    Then inserts report the first of their automatic keys

  Scenario: Each transaction is one log entry
    Given a primary with table items
    Then a transaction of three writes adds one position and reports it
    And a rolled back transaction adds none

  Scenario: Savepoints undo a part
    Given a primary with table items
    Then a rollback to a savepoint keeps only what came before it

  Scenario: Other connections see only committed rows
    Given a primary with table items
    Then an open transaction shows its rows to nobody else

  Scenario: Autocommit can be turned off
    Given a primary with table items
    Then without autocommit rows appear at COMMIT

  # Guards against a connection without autocommit that keeps the write lock
  # after a change of the schema, so that no other one can write.
  Scenario Outline: A change of the schema commits before and after it
    Given a primary with table items
    When a connection without autocommit runs "<statements>" and rests
    Then another connection can write, and sees the rows <rows>

    Examples:
      | statements                                             | rows |
      | CREATE TABLE a (id INT)                                | nothing |
      | INSERT INTO items (name) VALUES ('x'); CREATE TABLE b (id INT) | x |
      | INSERT INTO items (name) VALUES ('x'); DROP TABLE none | x    |

  Scenario: A second writer waits, then gives up
    Given a primary with table items
    Then a second writer gets error 1205 while the first transaction is open

  Scenario: A connection that closes releases its locks
    Given a primary with table items
    When a connection closes inside a transaction
    Then its rows are gone and others can write

  Scenario: Statements beyond the slots wait
    Given a primary with table items
    Then three statements of 200 ms take two rounds on two slots

  Scenario: The connection limit
    Given a primary with 3 connections
    Then a fourth connection is refused with error 1040
    And a connection can be opened after another closed

  Scenario: Silent connections
    Given a primary with table items
    Then after the fault silence open connections time out and new ones work

  Scenario: Refused connections
    Given a primary with table items
    Then after the fault refuse connections are refused until it is cleared

  Scenario: Slow statements and delays
    Given a primary with table items
    Then slow statements and a network delay take their time

  Scenario: An endpoint that leaves says so after a restart
    Given a primary with table items
    Then after leave the status says leaving, also after a restart

  Scenario: Announcements
    Given an entry host that receives announcements
    Then an endpoint announces itself there, except for dropped announcements

  Scenario Outline: Values keep type and value through a proxy
    Given a primary with values of every type
    Then <driver> reads the same values and types through a proxy

    Examples:
      | driver               |
      | PyMySQL              |
      | asyncmy              |
      | asyncmy prepared     |

  Scenario Outline: Values keep type and value into the database
    Given a primary with values of every type
    Then <driver> writes every value through a proxy as on a direct connection

    Examples:
      | driver               |
      | PyMySQL              |
      | asyncmy              |
      | asyncmy prepared     |
