Feature: Connection pool
  Guards against two requests that share a connection, requests that are
  never answered, and reuse of connections in an unknown state.

  Scenario: Random event sequences preserve the invariants
    Then no sequence of pool events violates an invariant

  Scenario Outline: A failed attempt to connect
    Given a pool state with limit 2 and <busy> busy connections
    When a request is queued and its connection attempt fails with <kind>
    Then the queued request is <outcome>
    And a new request is <next>

    Examples:
      | busy | kind                  | outcome  | next     |
      | 0    | unreachable           | rejected | rejected |
      | 0    | authentication_failed | rejected | rejected |
      | 0    | overloaded            | queued   | queued   |
      | 1    | unreachable           | rejected | queued   |
      | 1    | overloaded            | queued   | queued   |

  Scenario: All open connections are retired when the endpoint is suspected
    Given a pool state with limit 3 and 1 busy connections
    And 2 idle connections
    When the open connections are suspected
    Then both idle connections are closed
    And the busy connection is closed although it is released clean

  Scenario: Queued workspaces are served round-robin
    Given a pool state with limit 1 and 1 busy connections
    When requests of workspaces a, a, a, b, c are queued
    Then they are served in the order a, b, c, a, a

  Scenario: A smaller lease closes idle connections at once
    Given a pool state with limit 3 and 1 busy connections
    And 2 idle connections
    When the limit becomes 0
    Then both idle connections are closed
    And the pool holds 1 connection

  Scenario: Idle connections are closed after the idle timeout
    Given a pool state with limit 3 and 0 busy connections
    And 2 idle connections
    When 30 idle seconds pass
    Then both idle connections are closed

  Scenario Outline: Which released connections are reused
    Given a pool with a connection that is usable <usable>, in a transaction <open> and changed <changed>
    When the connection is released
    Then the pool reuses it: <reused>

    Examples:
      | usable | open | changed | reused |
      | yes    | no   | no      | yes    |
      | no     | no   | no      | no     |
      | yes    | yes  | no      | no     |
      | yes    | no   | yes     | no     |

  Scenario: Cancelled requests do not leak connections
    Then no connection stays busy when requests are cancelled at random times

  Scenario: A queued request fails at its deadline
    Given a pool whose only connection is busy
    When a request with a deadline in 30 ms is queued
    Then the request fails with deadline_not_started

  Scenario: An idle connection that the endpoint closed is not reused
    Given a pool with an idle connection that the endpoint closed
    When a connection is requested
    Then a new connection is returned

  Scenario: Closing the pool rejects queued requests
    Given a pool whose only connection is busy
    When the pool is closed while a request is queued
    Then the request fails with unreachable
    And the busy connection is closed when released

  Scenario: A pool at its limit schedules no connection attempt
    Guards against a busy loop: the time of the next attempt was in the past
    while the limit did not allow one.
    Given a pool state with limit 2 and 1 busy connections
    When the endpoint rejects an attempt as overloaded while a request is queued
    And the limit falls to 1 and 5 s pass
    Then the next tick is in the future
