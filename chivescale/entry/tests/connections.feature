Feature: Connections of an entry host to endpoints
  Guards against reads from an endpoint that lost its data and restarted at
  the same address, before its announcement was applied on the host.

  Scenario Outline: A new connection must reach the known incarnation
    When a connection to incarnation "known" gets the answer "<answer>"
    Then the connection is <outcome>

    Examples:
      | answer | outcome |
      | known  | kept    |
      | other  | closed  |
      | error  | closed  |
      | none   | closed  |
