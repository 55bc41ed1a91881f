Feature: A primary that is replaced while a statement is pending
  Guards against reporting "did not run" for a write whose COMMIT was already
  sent, because the new primary may hold it. Found by run_random(6, 30) of the
  entry tests with the barrier of reads removed.

  Scenario Outline: A keyed write whose <statement> gets no answer
    Given a primary that answers every statement except <statement>
    When a keyed write of "<sql>" runs and the primary is replaced
    Then the caller gets the error <kind>

    Examples:
      | statement | sql                       | kind            |
      | INSERT    | INSERT INTO t VALUES (1)  | did_not_run     |
      | COMMIT    | INSERT INTO t VALUES (1)  | outcome_unknown |
      | CREATE    | CREATE TABLE t (id INT)   | outcome_unknown |

  Scenario: A keyed write whose BEGIN gets no answer
    Given a primary that answers every statement except BEGIN
    When a keyed write of "INSERT INTO t VALUES (1)" runs and the primary is replaced
    Then the write is retried

  Scenario Outline: A statement of a transaction that gets no answer
    Given a primary that answers every statement except <statement>
    When "<sql>" runs in a transaction and the primary is replaced
    Then the caller gets the error <kind>

    Examples:
      | statement | sql                       | kind                |
      | INSERT    | INSERT INTO t VALUES (1)  | transaction_aborted |
      | CREATE    | CREATE TABLE t (id INT)   | outcome_unknown     |
