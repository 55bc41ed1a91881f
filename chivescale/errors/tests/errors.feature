Feature: Error kinds
  Guards against an answer that tells a caller "did not run" although the
  request may have taken effect.

  Scenario: Every kind has an answer
    Then every error kind has exactly one row in the table

  Scenario Outline: What a caller is told
    When a request fails with <kind>
    Then the caller is told may_have_run <ran> and may_repeat <repeat>

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

  Scenario: No kind is both in doubt and repeatable
    Then no kind that may have run may be repeated
