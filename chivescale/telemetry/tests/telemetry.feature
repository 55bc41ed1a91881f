Feature: Logs and metrics
  Guards against log lines that break the one-line format and against
  metrics whose number of labels grows without a bound.

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
    And a line below the level is not written
    And a traceback stays in one line

  Scenario: Any value gives one line
    Then any logged text gives exactly one line

  Scenario: Workspaces beyond the limit are folded
    Given metrics that keep 2 workspaces apart
    When 5 workspaces run 3 statements each
    Then 2 workspaces have 3 statements and "other" has 9

  Scenario: Every measure is exported
    Given metrics that keep 2 workspaces apart
    Then every method shows up in the exported text

  Scenario: Without an address nothing is exported and counters still count
    Given metrics without an address
    Then every method works and the counters are kept

  Scenario: The metrics port answers
    Given metrics that keep 2 workspaces apart
    Then an HTTP request to the metrics port gives the exported text
