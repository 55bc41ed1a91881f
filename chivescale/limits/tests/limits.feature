Feature: Limits
  Guards against a workspace that takes the share of others, statements that
  are queued although they cannot start in time, and leases for more
  connections than an endpoint accepts.

  Scenario Outline: Shares and budgets hold under random load
    Then <count> random runs of the <part> from seed <seed> violate no bound

    Examples:
      | part   | count | seed |
      | queue  | 60    | 0    |
      | leases | 100   | 0    |

  Scenario: Backlogged workspaces get equal shares
    Given a queue with 50 statements of greedy and 5 of light
    When 10 statements are taken
    Then 5 of them are of light

  Scenario Outline: Statements that cannot start in time are rejected early
    Given a queue with <waiting> statements of greedy and 0 of light
    And one statement is taken every <interval> s
    When <workspace> queues a statement that expires in <left> s
    Then the result is <result>

    Examples:
      | waiting | interval | workspace | left | result               |
      | 10      | 0.1      | greedy    | 2.0  | queued               |
      | 10      | 0.1      | greedy    | 0.4  | deadline_not_started |
      | 10      | 0.1      | light     | 0.4  | queued               |
      | 10      | 0.1      | light     | 0.0  | deadline_not_started |
      | 66      | 0.1      | greedy    | 99.0 | overloaded           |
      | 66      | 0.1      | light     | 99.0 | queued               |

  Scenario: A past stall does not reject statements once the queue is empty
    Given a queue with 3 statements of greedy and 0 of light
    When the queue is emptied after a stall of 30.0 s
    Then two statements that expire in 1 s are queued

  Scenario: Statements past their deadline are expired and never taken
    Given a queue with 2 statements of greedy and 1 of light
    Then after their deadline none is taken and 3 are expired

  Scenario Outline: The concurrency limit adapts to latency
    Given a concurrency limit from 1 to 20 at 8
    When 400 statements take <first> s and then 400 take <second> s
    Then the limit is <low> to <high>

    Examples:
      | first | second | low | high |
      | 0.01  | 0.01   | 18  | 20   |
      | 0.01  | 0.05   | 1   | 4    |
      | 0.01  | fail   | 1   | 2    |

  Scenario: The concurrency limit is raised gradually after a failover
    Given a concurrency limit from 1 to 20 at 8
    When it ramps over 1.0 s
    Then the limits after 0, 0.5 and 1 s are 1, 4, 8

  Scenario Outline: Limits of a workspace
    Given a workspace with 2 connections, 2 statements and rate <rate>
    When it <action> three times
    Then the third is rejected with <kind>

    Examples:
      | rate | action            | kind              |
      | 0    | opens connections | connection_limit  |
      | 0    | starts statements | concurrency_limit |
      | 2    | runs statements   | rate_limit        |

  Scenario: The connections of a crashed host are freed after the lease time
    Given two hosts that want 20 of 20 connections
    When one of them stops sending heartbeats
    Then the other is granted 20 after the lease time but not before

  Scenario: A new leader first grants only renewals and the minimum
    Then a new leader grants 7 to a host with 7 and 1 to a host with 0
    And after the lease time it divides the connections by demand
