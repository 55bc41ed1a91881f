Feature: Connection pool
  Guards against two requests on one connection, against requests that are
  forgotten, and against connections kept after their state is in doubt.

  Scenario: Random histories keep the invariants
    Then no history of pool events breaks an invariant

  Scenario Outline: A failed attempt to connect
    Given a pool state with limit 2 and <busy> busy connections
    When a request waits and its connection attempt fails with <kind>
    Then the waiting request is <outcome>
    And a new request is <next>

    Examples:
      | busy | kind                  | outcome | next    |
      | 0    | unreachable           | refused | refused |
      | 0    | authentication_failed | refused | refused |
      | 0    | overloaded            | queued  | queued  |
      | 1    | unreachable           | refused | queued  |
      | 1    | overloaded            | queued  | queued  |

  Scenario: A suspected silence ends all connections of that time
    Given a pool state with limit 3 and 1 busy connections
    And 2 idle connections
    When silence is suspected
    Then both idle connections are discarded
    And the busy connection is discarded when it is released clean

  Scenario: Waiting workspaces take turns
    Given a pool state with limit 1 and 1 busy connections
    When requests of workspaces a, a, a, b, c wait
    Then they are served in the order a, b, c, a, a

  Scenario: A smaller lease closes idle connections at once
    Given a pool state with limit 3 and 1 busy connections
    And 2 idle connections
    When the limit becomes 0
    Then both idle connections are discarded
    And the pool holds 1 connection

  Scenario: Unused connections are closed after the idle deadline
    Given a pool state with limit 3 and 0 busy connections
    And 2 idle connections
    When 30 idle seconds pass
    Then both idle connections are discarded

  Scenario Outline: What becomes of a released connection
    Given a pool with a connection that is usable <usable>, in a transaction <open> and changed <changed>
    When the connection is released
    Then the pool keeps it: <kept>

    Examples:
      | usable | open | changed | kept |
      | yes    | no   | no      | yes  |
      | no     | no   | no      | no   |
      | yes    | yes  | no      | no   |
      | yes    | no   | yes     | no   |

  Scenario: Cancelled requests leak no connection
    Then requests cancelled at any moment leave every connection free

  Scenario: A request leaves at its deadline
    Given a pool whose only connection is busy
    When a request with a deadline in 30 ms waits
    Then the request ends with deadline_not_started

  Scenario: An idle connection that the endpoint closed is not handed out
    Given a pool with an idle connection that the endpoint closed
    When a request asks for a connection
    Then it gets another connection

  Scenario: A pool that closes refuses waiting requests
    Given a pool whose only connection is busy
    When the pool closes while a request waits
    Then the request ends with unreachable
    And the busy connection closes when released

  Scenario: A pool at its limit does not ask to be woken for an open attempt
    Guards against a loop that spins: the time of the next attempt lay in the
    past while the limit allowed none.
    Given a pool state with limit 2 and 1 busy connections
    When an attempt is refused by the full endpoint while a request waits
    And the limit falls to 1 and 5 s pass
    Then the next wake-up lies in the future
