Feature: Replicated cluster state
  Guards against a sheet that is replaced by an older one or by different
  content under the same number, against a term that is used twice, and
  against copies that differ from the state.

  Scenario Outline: A sheet is accepted by number and digest
    Given sheet 5 with digest abc is current
    When sheet <number> with digest <digest> is applied
    Then the result is <result>
    And sheet <current> is current

    Examples:
      | number | digest | result         | current  |
      | 5      | abc    | repeated       | 5 abc    |
      | 5      | xyz    | sheet_conflict | 5 abc    |
      | 4      | abc    | stale_sheet    | 5 abc    |
      | 4      | xyz    | stale_sheet    | 5 abc    |
      | 6      | abc    | accepted       | 6 abc    |
      | 9      | xyz    | accepted       | 9 xyz    |

  Scenario Outline: A term is used once
    Given a service with reserved term 4 and established term <before>
    When <command> of term <term> is applied
    Then the result is <result>
    And the service has reserved term <reserved> and established term <after>

    Examples:
      | before | command   | term | result     | reserved | after |
      | 3      | begin     | 5    | accepted   | 5        | 3     |
      | 3      | begin     | 4    | stale_term | 4        | 3     |
      | 3      | begin     | 3    | stale_term | 4        | 3     |
      | 3      | establish | 4    | accepted   | 4        | 4     |
      | 3      | establish | 3    | stale_term | 4        | 3     |
      | 3      | establish | 5    | stale_term | 4        | 3     |
      | 4      | establish | 4    | stale_term | 4        | 4     |

  Scenario: A service that is removed and added again continues its terms
    Given a service with reserved term 4 and established term 3
    When sheet 6 without the service is applied
    Then the service is removed
    When sheet 7 with the service is applied
    And begin of term 4 is applied
    Then the result is stale_term
    And the service has reserved term 4 and established term 3

  Scenario Outline: Commands for an earlier incarnation or a voter
    Given an endpoint e1 of incarnation new that is a voter
    When <command> for <name> of incarnation <incarnation> is applied
    Then the result is <result>

    Examples:
      | command | name | incarnation | result         |
      | leave   | e1   | new         | accepted       |
      | leave   | e1   | old         | unknown_member |
      | leave   | e9   | new         | unknown_member |
      | remove  | e1   | old         | unknown_member |
      | remove  | e1   | new         | bad_request    |
      | remove  | e9   | new         | accepted       |

  Scenario: Copies match the state after missed updates
    Then random commands leave every copy equal to the state

  Scenario: A copy that is too far behind receives the full state
    Given a state that has discarded removals
    Then a copy from before them is replaced in full and becomes equal
    And a copy from after them receives only the changes

  Scenario: A copy does not revert to an older state
    Given a copy at index 9
    When it merges a full reply of index 8
    Then it has not changed

  Scenario: A delta contains the changed records, also after a restart
    Records are kept in the order of their changes, so that the cost of a
    delta depends on the number of changes and not on the size of the state.
    A snapshot must preserve this order.

    Given a cluster state after 400 random changes
    When the state is restored from its snapshot and 100 more changes apply
    Then every delta equals the records changed after its index
