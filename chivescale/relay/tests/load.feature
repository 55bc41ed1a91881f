Feature: Where work goes under load and faults
  Guards against reads that pile up on one endpoint, an important statement
  that waits behind others, statements that wait for an endpoint that is
  gone, and callers that stay on a host that can serve nothing. No network.

  Scenario Outline: The endpoint for a read
    Given endpoints <endpoints>
    Then a read that needs position <need> goes to <choice>

    Examples: latency in ms, statements under way, zone, role or state
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

  Scenario: An old latency is forgotten
    Given endpoints a 400 0 near, b 40 0 near
    When 10 s pass without an answer
    Then the expected latencies differ by less than 5 ms

  Scenario: Burst, more statements than links: the most important first
    Given a pool with 1 link that is lent
    When statements of priority 2, 1, 2 and 0 wait for it
    And the link is returned 4 times
    Then they got it in the order 0, 1, 2, 2

  Scenario: Burst, more statements than links: nobody waits for ever
    Given a pool with 1 link that is lent
    When a statement waits for at most 50 ms
    Then it is refused as overloaded and the link is not lost

  Scenario: An endpoint whose connections are used up
    Given a pool that may open 4 links of which the endpoint accepts 2
    When 4 statements ask for a link at once
    Then 2 get one and 2 wait without being refused
    And no further connection is tried for 400 ms

  Scenario: Many hosts before a full endpoint: attempts become rare
    Given a pool that may open 4 links of which the endpoint accepts 2
    When 4 statements ask for a link at once
    And a statement asks each 20 ms for 5 s
    Then at most 8 further connections were tried

  Scenario Outline: Connections that one host may hold
    Given <hosts> hosts connected to an endpoint that accepts <accepted>
    Then each keeps <standing> and may hold <most>

    Examples: some are left for connections that the endpoint believes alive
      | hosts | accepted | standing | most |
      | 17    | 34       | 1        | 4    |
      | 13    | 82       | 3        | 19   |
      | 26    | 67       | 1        | 8    |
      | 114   | 304      | 1        | 8    |
      | 1     | 34       | 15       | 30   |

  Scenario: An endpoint that cannot be reached refuses at once
    Given a pool whose endpoint cannot be reached
    When a statement asks for a link twice
    Then the second answer comes without another attempt

  Scenario Outline: Silence of an endpoint
    Given an endpoint with a read, a write and a statement of a transaction under way
    And new connections <connect>
    When it answers nothing for <ms> ms and <other>
    Then it is <state>, and <ended> are ended

    Examples: a slow endpoint accepts connections, an unreachable one does not
      | connect | ms  | other                       | state     | ended             |
      | fail    | 300 | answers nothing             | trusted   | none              |
      | fail    | 700 | answers nothing             | suspected | read, transaction |
      | succeed | 370 | answers nothing             | trusted   | none              |
      | succeed | 700 | answers nothing             | trusted   | read, transaction |
      | fail    | 350 | answered another 200 ms ago | trusted   | none              |
      | fail    | 700 | answered another 200 ms ago | trusted   | read, transaction |

  Scenario Outline: Readiness of a host
    Given a host whose coordinators are <coordinators> and primaries <primaries>
    Then it is <ready>

    Examples:
      | coordinators | primaries       | ready     |
      | in touch     | reachable       | ready     |
      | in touch     | partly out      | ready     |
      | out of reach | reachable       | ready     |
      | out of reach | partly out      | not ready |

  Scenario: Zone cut: resting sessions move once the balancer has noticed
    Given a host that is cut off with 3 resting sessions and 1 in a transaction
    When 2 s have passed since then
    Then 4 sessions are open
    When 3 s have passed since then
    Then 1 session is open

  Scenario Outline: Age of a proven position
    Given a position that was proven <age> ms ago
    Then a read that accepts <staleness> ms <verdict> rely on it

    Examples:
      | age  | staleness | verdict |
      | 1000 | 1500      | may     |
      | 1500 | 1500      | may     |
      | 1501 | 1500      | may not |
      | 10   | 0         | may not |

  Scenario Outline: A session's own commit counts beside the primary's proof
    Given a proof of position <proved> and an own commit at <own>
    Then a read of a <consistency> route needs <need>

    Examples:
      | proved | own  | consistency | need |
      | 3.8    | 3.10 | session     | 3.10 |
      | 3.12   | 3.10 | session     | 3.12 |
      | 4.2    | 3.10 | session     | 4.2  |
      | 3.8    | 3.10 | bounded     | 3.8  |

  Scenario: An older answer does not replace a newer proof
    Given a position 3.10 that was proven 100 ms ago
    When an answer arrives with position 3.8 of a statement sent 200 ms ago
    Then the proven position is 3.10

  Scenario Outline: The likeliest primary
    Given endpoints where <facts>
    Then writes go to <order>

    Examples:
      | facts                                     | order   |
      | a claims                                  | a       |
      | a claims, b claims later                  | b, a    |
      | a claims, a refused                       | nothing |
      | a claims, a refused, b claims later       | b       |
      | a claims, b proved                        | b, a    |
      | a claims, a refused long ago              | a, b    |
      | a claims, a suspected                     | nothing |
      | a claims, a suspected, b refused long ago | b       |

  Scenario Outline: Burst: a standing queue refuses the surplus of new work
    Given an endpoint whose statements of the last second took <latencies> ms
    Then it admits <share> of new work

    Examples: the fastest one shows the queue; a slow endpoint has none
      | latencies            | share        |
      | 20 30 25 40          | all          |
      | 100 140 160 120      | a half       |
      | 150 150 150 150      | a third      |
      | 400 20 90 200        | all          |
      | 150 150              | all          |
      |                      | all          |

  Scenario: A queue that ended is forgotten
    Given an endpoint whose statements of the last second took 150 150 150 ms
    When 2 s pass without an answer
    Then it admits all of new work
