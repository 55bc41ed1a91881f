@stopping
Feature: Planned stop of an entry host
  Guards against work that a stopping host cuts or refuses although it could
  have ended, and against an answer that promises more than is known. Grace
  period of 6 s, statements limited to 9 s. Real processes and drivers.

  Background:
    Given all hosts of the system are ready
    And a table of bookings

  # Guards against new connections that were refused from the signal on, while
  # a load balancer still forwards them.
  Scenario: Callers come until the load balancer has noticed
    When entry-2 gets SIGTERM
    And 6 callers connect to entry-2 in 2 s and write
    Then all of them succeed
    And entry-2 stops within 6 s with exit code 0

  # Guards against a statement that is reset because its session was idle for
  # the moment between two of them.
  Scenario: Sessions that run transactions all the time
    Given 4 callers on entry-2 that run transactions without a pause
    When entry-2 gets SIGTERM
    Then each works on for 2.5 s and then gets only [shutting_down] or [transaction_aborted]
    And none of them lost a connection with a statement sent
    And their confirmed bookings are there once and no other
    And entry-2 stops within 6 s with exit code 0

  Scenario Outline: An open transaction
    Given a transaction with one booking on entry-2
    When entry-2 gets SIGTERM
    And <seconds> s pass
    Then its <statement> gets <answer>
    And the booking is there <kept> times
    And entry-2 stops within 6 s with exit code <code>

    Examples: it has the first half of the grace period to end
      | seconds | statement | answer                | kept | code |
      | 2.5     | COMMIT    | success               | 1    | 0    |
      | 3.3     | COMMIT    | [transaction_aborted] | 0    | 1    |
      | 3.3     | SELECT 1  | [transaction_aborted] | 0    | 1    |
      | 3.3     | ROLLBACK  | success               | 0    | 1    |

  # Guards against a write that may have run and is answered with an error that
  # tells the caller to send it again.
  Scenario Outline: A statement that outlasts the grace period
    Given endpoints that take 8 s for a statement
    And a caller on entry-2 that is running <statement>
    When entry-2 gets SIGTERM
    Then its statement is answered with <answer>
    And entry-2 stops within 6 s with exit code 1

    Examples:
      | statement | answer             |
      | a booking | [outcome_unknown]  |
      | a read    | [read_interrupted] |

  # Guards against a process that the signal to reload ends at once.
  Scenario Outline: A signal to reload around a stop
    Given a transaction with one booking on entry-2
    When entry-2 gets <first>
    And entry-2 gets <second> 0.2 s later
    Then its COMMIT gets success
    And the booking is there 1 times
    And entry-2 stops within 6 s with exit code 0

    Examples:
      | first   | second  |
      | SIGHUP  | SIGTERM |
      | SIGTERM | SIGHUP  |

  Scenario: Two signals
    Given a transaction with one booking on entry-2
    When entry-2 gets SIGTERM
    And 0.5 s pass
    And entry-2 gets SIGTERM again
    Then entry-2 stops within 1 s with exit code 1
    And the booking is there 0 times
