Feature: A primary that is replaced while a statement waits
  Guards against the answer "did not run" for a write whose COMMIT had left:
  the new primary may hold it. Found by run_random(6, 30) of the whole system
  with the barrier of reads removed.

  Scenario Outline: A keyed write whose <statement> has no answer
    Given a primary that answers everything but <statement>
    When a keyed write of "<sql>" runs and the primary is replaced
    Then the caller is told <kind>

    Examples:
      | statement | sql                       | kind            |
      | INSERT    | INSERT INTO t VALUES (1)  | did_not_run     |
      | COMMIT    | INSERT INTO t VALUES (1)  | outcome_unknown |
      | CREATE    | CREATE TABLE t (id INT)   | outcome_unknown |

  Scenario: A keyed write whose BEGIN has no answer
    Given a primary that answers everything but BEGIN
    When a keyed write of "INSERT INTO t VALUES (1)" runs and the primary is replaced
    Then the write is attempted again

  Scenario Outline: A statement of a transaction without an answer
    Given a primary that answers everything but <statement>
    When "<sql>" runs in a transaction and the primary is replaced
    Then the caller is told <kind>

    Examples:
      | statement | sql                       | kind                |
      | INSERT    | INSERT INTO t VALUES (1)  | transaction_aborted |
      | CREATE    | CREATE TABLE t (id INT)   | outcome_unknown     |
