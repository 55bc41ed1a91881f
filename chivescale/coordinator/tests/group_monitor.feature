Feature: Logs of a coordinator without a quorum
  Guards against a lost quorum whose cause cannot be told from the logs.

  Scenario Outline: When a loss of contact is reported
    When the age of the last contact is <ages> s in turn
    Then the reports are <reports>

    Examples:
      | ages             | reports                   |
      | 0 1 2.9 0        | none                      |
      | 3                | missing                   |
      | 3 4 5 6 7 11 12  | missing missing missing   |
      | 3 0              | missing regained          |
      | 3 0 3            | missing regained missing  |
      | 200 201 259 260  | missing missing           |

  Scenario Outline: What is reported
    Given a coordinator that is <standing> of a group of c0, c1 and c2
    Then the report names it as <standing>, voters c0,c1,c2 and its log

    Examples:
      | standing  |
      | voter     |
      | learner   |
      | no member |
      | unformed  |
