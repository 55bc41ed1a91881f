Feature: Connections of an entry host to endpoints
  Guards against reads from an endpoint that lost its data and came back at
  the same address before its announcement was in force.

  Scenario Outline: A new connection leads to the known incarnation
    When a connection to incarnation "known" gets the answer "<answer>"
    Then the connection is <outcome>

    Examples:
      | answer | outcome |
      | known  | kept    |
      | other  | closed  |
      | error  | closed  |
      | none   | closed  |
