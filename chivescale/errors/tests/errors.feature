Feature: Error kinds
  Guards against reporting "did not run" to a caller although the request may
  have taken effect.

  Scenario: Every error kind has a row in the table
    Then every error kind has exactly one row in the table

  Scenario Outline: Effect and retry semantics of a failure
    When a request fails with <kind>
    Then the failure reports may_have_run <ran> and retryable <repeat>

    Examples:
      | kind                 | ran | repeat |
      | outcome_unknown      | yes | no     |
      | timeout              | yes | no     |
      | storage_failed       | yes | no     |
      | did_not_run          | no  | yes    |
      | overloaded           | no  | yes    |
      | deadline_not_started | no  | yes    |
      | key_reused           | no  | no     |
      | sheet_conflict       | no  | no     |

  Scenario: A request that may have run is not retryable
    Then no kind that may have run may be repeated
