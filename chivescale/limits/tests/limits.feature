Feature: Limits
  Guards against one workspace taking the share of others, against work that
  cannot start in time, and against more connections than an endpoint has.

  Scenario Outline: Random load keeps shares and budgets
    Then <count> random runs of the <part> from seed <seed> keep their bounds

    Examples:
      | part   | count | seed |
      | queue  | 60    | 0    |
      | leases | 100   | 0    |

  Scenario: Backlogged workspaces get equal shares
    Given a queue with 50 statements of greedy and 5 of modest
    When 10 statements are taken
    Then 5 of them are of modest

  Scenario Outline: Statements are shed before they run
    Given a queue with <waiting> statements of greedy and 0 of modest
    And one statement is taken every <interval> s
    When <workspace> offers a statement with <left> s left
    Then the offer is answered <answer>

    Examples:
      | waiting | interval | workspace | left | answer               |
      | 10      | 0.1      | greedy    | 2.0  | queued               |
      | 10      | 0.1      | greedy    | 0.4  | deadline_not_started |
      | 10      | 0.1      | modest    | 0.4  | queued               |
      | 10      | 0.1      | modest    | 0.0  | deadline_not_started |
      | 66      | 0.1      | greedy    | 99.0 | overloaded           |
      | 66      | 0.1      | modest    | 99.0 | queued               |

  Scenario: A stall does not shed statements after the queue emptied
    Given a queue with 3 statements of greedy and 0 of modest
    When the queue is emptied after a stall of 30.0 s
    Then two statements with 1 s left are queued

  Scenario: Statements past their deadline are returned and never taken
    Given a queue with 2 statements of greedy and 1 of modest
    Then after their deadline none is taken and 3 are returned

  Scenario Outline: Concurrency follows latency
    Given a concurrency limit from 1 to 20 at 8
    When 400 statements take <first> s and then 400 take <second> s
    Then the limit is <low> to <high>

    Examples:
      | first | second | low | high |
      | 0.01  | 0.01   | 18  | 20   |
      | 0.01  | 0.05   | 1   | 4    |
      | 0.01  | fail   | 1   | 2    |

  Scenario: The limit rises slowly after a failover
    Given a concurrency limit from 1 to 20 at 8
    When it ramps over 1.0 s
    Then the limits after 0, 0.5 and 1 s are 1, 4, 8

  Scenario Outline: Limits of a workspace
    Given a workspace with 2 connections, 2 statements and rate <rate>
    When it <does> three times
    Then the third is refused with <kind>

    Examples:
      | rate | does              | kind              |
      | 0    | opens connections | connection_limit  |
      | 0    | starts statements | concurrency_limit |
      | 2    | runs statements   | rate_limit        |

  Scenario: A crashed host's share returns after the lease time
    Given two hosts that want 20 of 20 connections
    When one of them stops sending heartbeats
    Then the other gets 20 after the lease time but not before

  Scenario: A new leader renews leases and grants floors only at first
    Then a new leader grants 7 to a host with 7 and 1 to a host with 0
    And after the lease time it divides by demand
