Feature: Position up to which callers were told of commits
  Guards against a position beyond the last commit that a replica has
  received, with which no replica would be promoted any more, and against one
  that forgets a commit, with which a replica that lacks it would be.

  Scenario Outline: Commits of one host
    Given a guarded service and primary positions "<positions>"
    Then callers were told of <told>

    Examples: the position before each commit and the one with its answer
      | positions              | told    |
      | 3.10 3.11              | 3.11    |
      | 3.10 3.15              | 3.11    |
      | none 3.15              | 3.0     |
      | 3.15 none              | nothing |
      | 3.10 3.10              | nothing |
      | 3.20 3.21, 3.10 3.11   | 3.21    |
      | 3.20 3.21, 3.21 4.1    | 4.0     |
      | 3.20 3.21, 4.1 4.2     | 4.2     |

  Scenario: The service needs no synchronous replica any more
    Given a guarded service and primary positions "3.10 3.11"
    When its configuration asks for no synchronous replica
    Then callers were told of nothing
