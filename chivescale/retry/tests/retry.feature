Feature: Retries
  Guards against running a write twice and against retry storms.

  Scenario Outline: Whether a failed attempt may be sent again
    When a <request> fails with <kind>, <sent> and <answered>
    Then it may be sent again: <again>

    Examples:
      | request        | kind                  | sent     | answered | again |
      | write          | unreachable           | unsent   | silent   | yes   |
      | write          | timeout               | unsent   | silent   | yes   |
      | write          | timeout               | sent     | silent   | no    |
      | write          | unreachable           | sent     | silent   | no    |
      | write          | read_interrupted      | sent     | silent   | no    |
      | write          | overloaded            | sent     | silent   | yes   |
      | write          | outcome_unknown       | sent     | silent   | no    |
      | write          | did_not_run           | sent     | silent   | no    |
      | write          | statement_failed      | sent     | silent   | no    |
      | write          | statement_failed:1290 | sent     | silent   | yes   |
      | write          | statement_failed:1053 | sent     | silent   | no    |
      | read           | timeout               | sent     | silent   | yes   |
      | read           | read_interrupted      | sent     | silent   | yes   |
      | read           | read_interrupted      | sent     | answered | no    |
      | read           | statement_failed      | sent     | silent   | no    |
      | read           | rate_limit            | unsent   | silent   | no    |
      | read           | timeout               | late     | silent   | no    |
      | in_transaction | unreachable           | unsent   | silent   | no    |
      | in_transaction | overloaded            | sent     | silent   | no    |

  Scenario: Retries stay a share of requests
    Given a retry budget of 0.1 with a burst of 5
    When 1000 requests each try to retry twice
    Then 95 to 105 retries were allowed

  Scenario: Backoff is random over a growing, bounded interval
    Then the pauses of attempts 0 to 99 stay within 0.01 to 0.5 s and vary
