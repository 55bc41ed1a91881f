Feature: Control hosts
  Guards against leader replies from a host that is not the leader, sheets
  that revert or are applied twice, a change of the control leader that stops
  a failover, and state that is lost on a restart.

  Scenario Outline: Upload of a sheet
    Given 3 control hosts whose current sheet 5 has one service
    When an operator uploads sheet <number> <content>
    Then the upload answers <answer>

    Examples:
      | number | content                | answer                     |
      | 5      | with unchanged content | success, repeated          |
      | 5      | with two services      | sheet_conflict             |
      | 4      | with two services      | stale_sheet                |
      | 6      | with two services      | success                    |
      | 6      | with an invalid row    | sheet_invalid naming row 2 |

  Scenario: Requests for the leader are redirected to it
    Given 3 control hosts whose current sheet 5 has one service
    Then every other control host replies with the leader's address
    And every control host serves the watch with index and sheet 5

  Scenario Outline: Failover end to end
    Given a system of 3 control hosts, 3 entry hosts and <n> endpoints
    When <event>
    Then every entry host learns a new primary

    Examples:
      | n | event                                                    |
      | 3 | the primary is stopped                                   |
      | 3 | the primary is frozen                                    |
      | 4 | the primary leaves                                       |
      | 3 | the primary and the control leader stop                  |
      | 3 | the primary stops twice                                  |
      | 3 | the failover raises an exception and the primary stops |

  Scenario: A restart of all control hosts changes no term
    Given a system of 3 control hosts, 3 entry hosts and 3 endpoints
    When all control hosts restart
    Then the term and the sheet are unchanged

  Scenario: A control host without a quorum is not authoritative
    Given a system of 3 control hosts, 3 entry hosts and 3 endpoints
    When two control hosts stop
    Then the remaining one serves the state as not authoritative
    And it accepts no sheet

  Scenario: A control host that lost its disk is replaced
    Given 3 control hosts whose current sheet 5 has one service
    When c3 loses its disk and an operator replaces it
    Then c3 is a voter with the current state

  Scenario: Leases stay within the connection limit
    Given a system of 3 control hosts, 3 entry hosts and 3 endpoints
    Then the leases of all entry hosts together respect the limits

  Scenario: A drained host stays draining
    Given a system of 3 control hosts, 3 entry hosts and 3 endpoints
    When an operator drains h2
    Then h2 stays draining while it sends heartbeats

  Scenario: An entry host without heartbeats is removed
    Given a system of 3 control hosts, 3 entry hosts and 3 endpoints
    When h3 stops
    Then h3 is removed from the state
