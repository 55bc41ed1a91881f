Feature: Start of the daemon
  Guards against a daemon that starts with unusable settings or explains a
  refused start with a traceback.

  Scenario Outline: Settings that cannot work
    Given settings of an entry host
    When <change>
    Then the daemon ends with exit code 2 and the line "<line>"

    Examples:
      | change                     | line                                    |
      | a key is misspelled        | entry.toml: entry.dead_line_ms: unknown key |
      | the secret file is missing | entry.toml: cluster.secret_file:        |
      | the API address is in use  | address already in use                  |
      | the certificate is unusable | entry.toml: tls.caller_certificate:    |
      | the data folder is a file  | data                                    |

  Scenario: Checking settings starts nothing
    Given settings of an entry host
    Then the daemon with --check ends with exit code 0
