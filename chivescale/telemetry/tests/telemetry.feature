Feature: Logs and metrics
  Guards against log lines that break the one-line format and against
  metrics whose number of label values grows without a limit.

  Scenario Outline: Values in a log line
    When an event with the value <value> is logged
    Then the line ends with "<text>"

    Examples:
      | value      | text                  |
      | plain      | value=plain           |
      | two words  | value="two words"     |
      | a=b        | value="a=b"           |
      | a"b        | value="a\"b"          |
      | a\nb       | value="a\nb"          |
      | \x1b[2J    | value="\x1b[2J"       |
      | (nothing)  | value=""              |
      | 0.12345678 | value=0.123457        |

  Scenario: Lines of both logging modules
    Then lines of absl and of the logging module have time, level and process

  Scenario: A process with a stream of its own
    Guards against lines that are lost and against a slow start.
    Then its lines go to that stream and absl is not imported
    And a line below the level is not written
    And a traceback stays in one line

  Scenario: Any value gives one line
    Then any logged text gives exactly one line

  Scenario: Workspaces beyond the limit count as "other"
    Given metrics with a limit of 2 workspace labels
    When 5 workspaces run 3 statements each
    Then 2 workspaces have 3 statements and "other" has 9

  Scenario: Every metric is exported
    Given metrics with a limit of 2 workspace labels
    Then the exported text contains the metric of every method

  Scenario: Without an address nothing is exported and counters still count
    Given metrics without an address
    Then every method works and the counters are kept

  Scenario: The metrics port serves the exported text
    Given metrics with a limit of 2 workspace labels
    Then an HTTP request to the metrics port gives the exported text
