Feature: Endpoint selection, connection pools and admission control
  Guards against reads that concentrate on one endpoint, high-priority
  statements delayed by others, statements that wait for an unreachable
  endpoint, and clients that stay on an isolated host. No network.

  # Replicas that lag: guards against reads that all need the primary although
  # their route accepts an older position, and against one that is too old.
  Scenario Outline: The position that an accepted staleness allows
    Given positions 3.10, 3.20, 3.30 and 4.5 confirmed 3000, 1300, 700 and 20 ms ago
    Then a position for <staleness> ms of staleness is <need>

    Examples:
      | staleness | need |
      | 0         | 4.5  |
      | 20        | 4.5  |
      | 500       | 4.5  |
      | 770       | 4.5  |
      | 800       | 3.30 |
      | 1500      | 3.20 |
      | 3200      | 3.20 |
      | 3400      | 3.10 |
      | 9000      | 3.10 |

  Scenario Outline: The endpoint for a read
    Given endpoints <endpoints>
    Then a read that needs position <need> goes to <choice>

    Examples: latency in ms, statements in flight, zone, role or state
      | endpoints                               | need | choice  |
      | a 20 0 near, b 20 0 far                 | 10   | a       |
      | a 20 6 near, b 20 0 far                 | 10   | b       |
      | a 90 0 near, b 20 0 far                 | 10   | b       |
      | a 20 0 near primary, b 20 0 near        | 10   | b       |
      | a 20 0 near primary, b 20 6 near        | 10   | a       |
      | a 20 0 near draining, b 20 6 far        | 10   | b       |
      | a 20 0 near behind, b 20 0 far          | 10   | b       |
      | a 20 0 near suspected, b 20 6 far       | 10   | b       |
      | a 20 0 near draining                    | 10   | nothing |

  Scenario: Old latency measurements decay
    Given endpoints a 400 0 near, b 40 0 near
    When 10 s pass without a response
    Then the expected latencies differ by less than 5 ms

  Scenario: Burst, more statements than connections: highest priority first
    Given a pool with 1 connection that is in use
    When statements of priority 2, 1, 2 and 0 wait for it
    And the connection is returned 4 times
    Then they got it in the order 0, 1, 2, 2

  Scenario: Burst, more statements than connections: waiting is bounded
    Given a pool with 1 connection that is in use
    When a statement waits for at most 50 ms
    Then it fails as overloaded and the connection is not lost

  # Guards against a statement that runs on a connection which the endpoint
  # counts for another workspace, and against workspaces that wait for good.
  Scenario Outline: Connections of workspaces
    Given a pool of <limit> connections that holds <held>
    When statements of <waiting> wait
    And connections are returned after <ms> ms each
    Then they run on connections of their own in the order <order>
    And <opened> connections were opened

    Examples: idle ones of others make room; after 30 ms one in use does too
      | limit | held                | waiting             | ms | order               | opened |
      | 2     | nothing             | mill, loom          | 1  | mill, loom          | 2      |
      | 2     | idle mill           | mill, loom          | 1  | mill, loom          | 1      |
      | 2     | idle mill, idle oak | loom                | 1  | loom                | 1      |
      | 1     | idle mill           | loom, mill          | 1  | loom, mill          | 2      |
      | 1     | lent mill           | mill, mill, mill    | 5  | mill, mill, mill    | 0      |
      | 1     | lent mill           | loom, mill, mill    | 1  | mill, mill, loom    | 1      |
      | 1     | lent mill           | loom, mill, mill    | 40 | loom, mill, mill    | 2      |

  Scenario: An endpoint at its connection limit
    Given a pool that may open 4 connections of which the endpoint accepts 2
    When 4 statements request a connection at once
    Then 2 get one and 2 wait without being refused
    And no further connection is tried for 400 ms

  Scenario: Many hosts and a full endpoint: attempts back off
    Given a pool that may open 4 connections of which the endpoint accepts 2
    When 4 statements request a connection at once
    And a statement requests a connection every 20 ms for 5 s
    Then at most 8 further connections were tried

  Scenario Outline: Connections that one host may hold
    Given <hosts> hosts connected to an endpoint that accepts <accepted>
    Then each keeps <standing> and may hold <most>

    Examples: the rest allows for dead connections that the endpoint counts
      | hosts | accepted | standing | most |
      | 17    | 34       | 1        | 4    |
      | 13    | 82       | 3        | 19   |
      | 26    | 67       | 1        | 8    |
      | 114   | 304      | 1        | 8    |
      | 1     | 34       | 15       | 30   |

  Scenario: Requests for an unreachable endpoint fail immediately
    Given a pool whose endpoint is unreachable
    When a statement requests a connection twice
    Then the second request fails without another attempt

  Scenario Outline: Silence of an endpoint
    Given an endpoint with a read, a write and a statement of a transaction in flight
    And new connections <connect>
    When they get no reply for <ms> ms and <other>
    Then it is <state>, and <aborted> are aborted

    Examples: a slow endpoint accepts connections, an unreachable one does not
      | connect | ms  | other                                 | state     | aborted           |
      | fail    | 300 | no other reply arrived                | trusted   | none              |
      | fail    | 700 | no other reply arrived                | suspected | read, transaction |
      | succeed | 370 | no other reply arrived                | trusted   | none              |
      | succeed | 700 | no other reply arrived                | trusted   | read, transaction |
      | fail    | 350 | another reply arrived 200 ms ago      | trusted   | none              |
      | fail    | 700 | another reply arrived 200 ms ago      | trusted   | read, transaction |

  Scenario Outline: Readiness of a host
    Given a host whose coordinators are <coordinators> and primaries <primaries>
    Then it is <ready>

    Examples:
      | coordinators | primaries          | ready     |
      | reachable    | reachable          | ready     |
      | reachable    | partly unreachable | ready     |
      | unreachable  | reachable          | ready     |
      | unreachable  | partly unreachable | not ready |

  Scenario: Zone partition: idle sessions move after the balancer reacted
    Given an isolated host with 3 idle sessions and 1 in a transaction
    When 2 s have passed since then
    Then 4 sessions are open
    When 3 s have passed since then
    Then 1 session is open

  Scenario Outline: Age of a confirmed position
    Given a position that was confirmed <age> ms ago
    Then a read with accepted staleness <staleness> ms <verdict> use it

    Examples:
      | age  | staleness | verdict |
      | 1000 | 1500      | may     |
      | 1500 | 1500      | may     |
      | 1501 | 1500      | may not |
      | 10   | 0         | may not |

  Scenario Outline: A session's own commit counts beside the primary's proof
    Given a confirmed position <known> and a session commit at <commit>
    Then a read of a <consistency> route needs <need>

    Examples:
      | known     | commit | consistency | need |
      | 3.8       | 3.10   | session     | 3.10 |
      | 3.12      | 3.10   | session     | 3.12 |
      | 4.2       | 3.10   | session     | 4.2  |
      | 3.8       | 3.10   | bounded     | 3.8  |

  Scenario: An older reply does not replace a newer confirmation
    Given a position 3.10 that was confirmed 100 ms ago
    When a reply arrives with position 3.8 of a statement sent 200 ms ago
    Then the confirmed position is 3.10

  Scenario Outline: The likeliest primary
    Given endpoints where <facts>
    Then writes go to <order>

    Examples:
      | facts                                     | order   |
      | a claims                                  | a       |
      | a claims, b claims later                  | b, a    |
      | a claims, a refused                       | nothing |
      | a claims, a refused, b claims later       | b       |
      | a claims, b confirmed                     | b, a    |
      | a claims, a refused long ago              | a, b    |
      | a claims, a suspected                     | nothing |
      | a claims, a suspected, b refused long ago | b       |

  Scenario Outline: Burst: a standing queue limits the admission of new work
    Given an endpoint whose statements of the last second took <latencies> ms
    Then it admits <share> of new work

    Examples: the minimum shows the queueing delay; a slow endpoint has none
      | latencies            | share        |
      | 20 30 25 40          | all          |
      | 100 140 160 120      | a half       |
      | 150 150 150 150      | a third      |
      | 400 20 90 200        | all          |
      | 150 150              | all          |
      |                      | all          |

  Scenario: A queue that has drained does not limit new work
    Given an endpoint whose statements of the last second took 150 150 150 ms
    When 2 s pass without a response
    Then it admits all of new work
