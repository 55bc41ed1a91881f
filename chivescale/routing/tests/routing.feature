Feature: Routing
  Guards against writes and locking reads on replicas, against session state
  that leaks through shared connections, and against reads on endpoints that
  are leaving or whose data is too old.

  Scenario Outline: Classes of statements
    Then these statements are of class <class>: <statements>

    Examples:
      | class | statements |
      | read | SELECT 1 ~ select * from lots where a = 'for update' ~ (SELECT 1) UNION (SELECT 2) ~ SELECT count(*), max(a) FROM t; ~ -- note\nSELECT 1 ~ # note\nSELECT 1 ~ /* a; b */ SELECT 1 ~ /*!40001 SELECT */ 1 |
      | read | SELECT `into`, `for update` FROM t ~ SELECT a FROM t WHERE b = "x;y" ~ SELECT 'it''s', 'a\'b;' FROM t ~ SELECT @@sort_buffer_size ~ SELECT * FROM t WHERE (a, b) IN ((1, 2)) ~ SELECT a FROM information ~ TABLE t |
      | read | WITH a AS (SELECT 1) SELECT * FROM a ~ WITH RECURSIVE a (n) AS (SELECT 1) SELECT n FROM a ~ EXPLAIN UPDATE t SET a = 1 ~ DESC t ~ SHOW TABLES ~ EXPLAIN ANALYZE SELECT 1 ~ SELECT row_number() OVER (ORDER BY a) FROM t ~ SELECT replace(a, 'x', 'y') FROM t |
      | write | INSERT INTO t VALUES (1) ~ update t set a = 1 ~ DELETE FROM t ~ REPLACE INTO t VALUES (1) ~ CREATE TABLE t (a int) ~ ALTER TABLE t ADD b int ~ TRUNCATE t ~ anything else ~ DO 1 ~ 12 |
      | write | SELECT * FROM t FOR UPDATE ~ SELECT * FROM t FOR SHARE ~ SELECT * FROM t LOCK IN SHARE MODE ~ SELECT a INTO @x FROM t ~ SELECT a INTO OUTFILE 'x' FROM t ~ SELECT * FROM t /*! FOR UPDATE */ ~ SELECT * FROM t FOR/**/UPDATE |
      | write | SELECT GET_LOCK('a', 1) ~ SELECT release_lock ('a') ~ SELECT LAST_INSERT_ID() + 1 ~ SELECT @x ~ SELECT @x := 1 ~ SELECT shop.next_id() ~ SELECT `next_id`() ~ SELECT NEXTVAL(s) ~ SELECT 'a' + my_function(1) ~ SELECT last_insert_id(5) ~ SELECT é(1) ~ SELECT écount(1) |
      | write | WITH a AS (SELECT 1) DELETE FROM t ~ WITH a (n) AS (SELECT 1) UPDATE t SET b = 1 ~ EXPLAIN ANALYZE DELETE FROM t |
      | begin | BEGIN ~ begin work ~ START TRANSACTION ~ START TRANSACTION READ ONLY ~ start transaction with consistent snapshot, read only ~ BEGIN; |
      | commit | COMMIT ~ commit work ~ COMMIT AND CHAIN ~ COMMIT AND NO CHAIN NO RELEASE |
      | rollback | ROLLBACK ~ ROLLBACK WORK AND CHAIN |
      | savepoint | SAVEPOINT a ~ ROLLBACK TO a ~ rollback work to savepoint a ~ RELEASE SAVEPOINT a |
      | set_session | SET @chivescale_key = 'a' ~ set @chivescale_staleness_ms = 5, @CHIVESCALE_TOKEN = "x" ~ SET @chivescale_key := 'a, b' |
      | set_autocommit | SET autocommit = 0 ~ set @@session.autocommit=1 ~ SET SESSION autocommit=ON ~ SET NAMES utf8mb4, autocommit = 1 |
      | set_other | SET @x = 1 ~ SET sql_mode = 'ANSI' ~ SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED ~ SET NAMES latin1 ~ SET time_zone = '+00:00' ~ SET @x = (SELECT 1) |
      | local | SET NAMES utf8mb4 ~ /*!40101 SET NAMES utf8 */ ~ SET NAMES 'utf8' COLLATE 'utf8_bin' ~ SET character_set_results = NULL ~ SELECT @@version_comment LIMIT 1 ~ SELECT DATABASE() ~ select @@session.autocommit ~ SELECT @chivescale_token ~ SHOW WARNINGS ~ /* ping */ |
      | local | /* mysql-connector */SELECT @@session.auto_increment_increment AS a, @@character_set_client AS b, @@wait_timeout ~ SELECT LAST_INSERT_ID() ~ SELECT version(), user() |
      | unsupported | SELECT 1; DELETE FROM t ~ CALL f() ~ XA START 'a' ~ LOCK TABLES t WRITE ~ UNLOCK TABLES ~ CREATE TEMPORARY TABLE t (a int) ~ drop temporary table t ~ SET GLOBAL a = 1 ~ SET @@global.a = 1 ~ SET PERSIST a = 1 |
      | unsupported | PREPARE a FROM 'SELECT 1' ~ LOAD DATA INFILE 'a' INTO TABLE t ~ KILL 5 ~ COMMIT RELEASE ~ SET PASSWORD = 'x' ~ STOP REPLICA ~ SET autocommit = 0, @chivescale_key = 'a' ~ BEGIN NOT ATOMIC ~ /*!50000 CALL f() */ ~ HANDLER t OPEN ~ SET @@persist.a = 1 ~ SET sql_log_bin = 0 ~ /*!40101 SET GLOBAL a = 1 */ |

  Scenario: The cache of statement classes is bounded
    Then classifying 10000 different statements does not exceed the cache size

  Scenario Outline: Transaction modes
    Then <statement> has read_only <read_only> and chain <chain>

    Examples:
      | statement                     | read_only | chain |
      | START TRANSACTION READ ONLY   | yes       | no    |
      | START TRANSACTION             | no        | no    |
      | START TRANSACTION READ WRITE  | no        | no    |
      | COMMIT AND CHAIN              | no        | yes   |
      | ROLLBACK AND NO CHAIN         | no        | no    |

  Scenario Outline: Hints
    When hints are parsed from "<sql>" with attributes <attrs>
    Then the hints are <hints>

    Examples:
      | sql                                                 | attrs                         | hints                                |
      | SELECT 1                                            | {}                            | {}                                   |
      | /* chivescale staleness_ms=50 key='a b' */ SELECT 1 | {}                            | chivescale_key                       |
      | /* chivescale staleness_ms=50 key='ab' */ SELECT 1  | {"chivescale_deadline_ms": 7} | {"staleness_ms": 50, "key": "ab", "deadline_ms": 7} |
      | /* chivescale token='c1.x' */ SELECT 1              | {"other": 1}                  | {"token": "c1.x"}                    |
      | SELECT '/* chivescale key=1 */'                     | {"CHIVESCALE_KEY": "k"}       | {"key": "k"}                         |
      | /* chivescale staleness_ms=50 */ SELECT 1           | {"chivescale_staleness_ms": 60} | chivescale_staleness_ms is given twice |
      | SELECT 1                                            | {"chivescale_staleness_ms": -1} | chivescale_staleness_ms              |
      | SELECT 1                                            | {"chivescale_deadline_ms": "0"} | chivescale_deadline_ms must be 1     |
      | SELECT 1                                            | {"chivescale_deadline_ms": true} | chivescale_deadline_ms              |
      | SELECT 1                                            | {"chivescale_stale": 1}       | chivescale_stale is unknown          |
      | /* chivescale staleness_ms 5 */ SELECT 1            | {}                            | chivescale comment                   |

  Scenario Outline: Statements that the proxy answers
    Then the local answer to <sql> is <columns> with <row>

    Examples:
      | sql                                | columns          | row        |
      | SELECT @@autocommit                | @@autocommit     | 0          |
      | SELECT @@session.wait_timeout AS w | w                | 28800      |
      | select database(), connection_id() | database(), connection_id() | ledger, 9 |
      | SELECT @chivescale_token           | @chivescale_token | c1.x      |
      | SELECT LAST_INSERT_ID()            | LAST_INSERT_ID() | 77         |
      | SET NAMES utf8mb4                  | nothing          | nothing    |
      | /*!40101 SET NAMES utf8 */         | nothing          | nothing    |

  Scenario Outline: Endpoint selection
    When the endpoints are <endpoints>
    Then a <need> is routed to <choice>

    Examples:
      | endpoints                                  | need          | choice             |
      | p:primary r1 r2                            | write         | p                  |
      | p:primary,leaving r1                       | write         | no_primary         |
      | r1 r2                                      | write         | no_primary         |
      | p:primary r1 r2                            | read          | r1 r2              |
      | p:primary r1:far r2                        | read          | r2                 |
      | p:primary r1:far r2:full                   | read          | r1                 |
      | p:primary r1:full r2:full                  | read          | r1 r2              |
      | p:primary r1:over r2:over                  | read          | p                  |
      | p:primary,full r1:over r2:over             | read          | p r1 r2            |
      | p:primary r1:leaving r2:behind             | read          | p                  |
      | p:primary r1:suspect r2                    | read          | r2                 |
      | p:primary r1:suspect r2:suspect            | read          | p                  |
      | p:primary,suspect r1:suspect               | read          | p r1               |
      | p:primary,leaving r1:behind r2:promise     | read          | freshness_unproved |
      | p:primary,promise r1:behind                | read          | freshness_unproved |
      | p:primary,age=9 r1:age=0.2 r2:age=0.6      | stale read    | r1                 |
      | p:primary,age=0.1 r1:age=0.6 r2            | stale read    | p                  |
      | p:primary,age=9 r1:age=0.6 r2              | stale read    | freshness_unproved |
      | p:primary r1:age=0.2,behind r2:age=0.2     | stale read    | r2                 |

  Scenario: Reads are distributed by load
    Then of 1000 reads a less loaded replica gets more than a more loaded one
