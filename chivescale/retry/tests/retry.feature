Feature: Retries
  Guards against executing a write twice and against retry storms.

  Scenario Outline: Which failed attempts may be retried
    When a <request> fails with <kind>, <sent> and <answered>
    Then a retry is allowed: <retry>

    Examples:
      | request        | kind                  | sent     | answered   | retry |
      | write          | unreachable           | unsent   | unanswered | yes   |
      | write          | timeout               | unsent   | unanswered | yes   |
      | write          | timeout               | sent     | unanswered | no    |
      | write          | unreachable           | sent     | unanswered | no    |
      | write          | read_interrupted      | sent     | unanswered | no    |
      | write          | overloaded            | sent     | unanswered | yes   |
      | write          | outcome_unknown       | sent     | unanswered | no    |
      | write          | did_not_run           | sent     | unanswered | no    |
      | write          | statement_failed      | sent     | unanswered | no    |
      | write          | statement_failed:1290 | sent     | unanswered | yes   |
      | write          | statement_failed:1053 | sent     | unanswered | no    |
      | read           | timeout               | sent     | unanswered | yes   |
      | read           | read_interrupted      | sent     | unanswered | yes   |
      | read           | read_interrupted      | sent     | answered   | no    |
      | read           | statement_failed      | sent     | unanswered | no    |
      | read           | rate_limit            | unsent   | unanswered | no    |
      | read           | timeout               | late     | unanswered | no    |
      | in_transaction | unreachable           | unsent   | unanswered | no    |
      | in_transaction | overloaded            | sent     | unanswered | no    |

  Scenario: Retries are limited to a fraction of requests
    Given a retry budget of 0.1 with a burst of 5
    When 1000 requests each try to retry twice
    Then 95 to 105 retries were allowed

  Scenario: Backoff is exponential with full jitter and an upper bound
    Then the delays of attempts 0 to 99 stay within 0.01 to 0.5 s and vary
