Feature: Schedule of a planned stop
  Guards against a host that stops before its work has ended, that is killed
  in the middle of it, or that sends clients away while the load balancer
  still sends them. No network; times in ms after the request to stop.

  # Guards against a host that ended 2.5 s after the request, although
  # sessions had come since.
  Scenario Outline: The end of the process
    Given a host with a grace period of <grace> ms that was asked to stop
    Then after <ms> ms with <work> it <does>

    Examples: two probes of the load balancer take up to 2 s
      | grace | ms    | work    | does  |
      | 6000  | 2400  | no work | waits |
      | 6000  | 2600  | no work | ends  |
      | 6000  | 2600  | work    | waits |
      | 6000  | 5400  | work    | waits |
      | 6000  | 5500  | work    | ends  |
      | 30000 | 2600  | no work | ends  |
      | 30000 | 29400 | work    | waits |
      | 30000 | 29500 | work    | ends  |
      | 1000  | 800   | no work | waits |
      | 1000  | 900   | work    | ends  |

  Scenario Outline: The end of an idle session
    Given a host with a grace period of 6000 ms that was asked to stop
    Then a session opened after <opened> ms and idle after <ms> ms is <state>

    Examples: one that was just opened is about to send a statement
      | opened | ms   | state  |
      | -9000  | 100  | open   |
      | -9000  | 2400 | open   |
      | -9000  | 2500 | closed |
      | 2400   | 2600 | open   |
      | 2400   | 2900 | closed |
      | 3000   | 3400 | open   |
      | 3000   | 3500 | closed |

  Scenario Outline: A session that was just answered
    Given a host with a grace period of 6000 ms that was asked to stop
    Then a session that is answered after <ms> ms is <state> then

    Examples:
      | ms   | state  |
      | 2400 | open   |
      | 2500 | closed |

  Scenario: A second request to stop neither ends the host nor prolongs it
    Given a host with a grace period of 6000 ms that was asked to stop
    And asked again after 1000 ms
    Then after 1100 ms with work it waits
    And after 5500 ms with work it ends

  Scenario: A host that was not asked to stop
    Given a host that runs
    Then after 99000 ms with no work it waits
    And a session that is answered after 99000 ms is open then

  # Guards against statements of transactions that go on until they are cut.
  Scenario Outline: Transactions have the first half of the grace period
    Given a host with a grace period of <grace> ms that was asked to stop
    Then after <ms> ms a begin is <begin> and an open transaction <open>

    Examples: shutting_down and transaction_aborted are promises
      | grace | ms    | begin         | open                |
      | 6000  | 0     | taken         | goes on             |
      | 6000  | 2900  | taken         | goes on             |
      | 6000  | 3000  | shutting_down | transaction_aborted |
      | 6000  | 5900  | shutting_down | transaction_aborted |
      | 30000 | 14900 | taken         | goes on             |
      | 30000 | 15000 | shutting_down | transaction_aborted |

  # Guards against statements that are accepted although the process may be
  # killed before they end, and against refusals of those that can end.
  Scenario Outline: Single statements
    Given a host with a grace period of <grace> ms that was asked to stop
    Then after <ms> ms a statement limited to <limit> ms is <verdict>

    Examples: in the first half all are taken
      | grace | ms    | limit | verdict       |
      | 6000  | 0     | 60000 | taken         |
      | 6000  | 2900  | 60000 | taken         |
      | 6000  | 3000  | 60000 | shutting_down |
      | 6000  | 3000  | 2000  | taken         |
      | 6000  | 3500  | 2000  | taken         |
      | 6000  | 3600  | 2000  | shutting_down |
      | 6000  | 4600  | 800   | taken         |
      | 6000  | 4800  | 800   | shutting_down |
      | 6000  | 5600  | 10    | shutting_down |
      | 30000 | 27500 | 2000  | taken         |
      | 30000 | 27600 | 2000  | shutting_down |
