Feature: Operator's command line
  Guards against an exit code or message that misleads an operator, and
  against a sheet that is applied twice or whose outcome stays unknown when
  its response is lost.

  Scenario Outline: Exit codes without a system
    Given a folder with the usual files
    When the operator runs "<command>"
    Then the exit code is <code> and "<text>" is printed

    Examples:
      | command                                   | code | text                  |
      | sheet check good.csv                      | 0    | workspaces  1         |
      | sheet check good.csv --json               | 0    | "workspace_count": 1  |
      | sheet check bad.csv                       | 1    | bad.csv: row 3 column secret_hash |
      | sheet check bad.csv --json                | 1    | "column": "secret_hash" |
      | sheet check odd.csv                       | 0    | contradiction: workspace mill-1: max_concurrent 9 is never reached with max_connections 4 |
      | sheet check odd.csv                       | 0    | unused: service creel: no workspace is bound to it |
      | sheet check odd.csv --json                | 0    | "kind": "unused"      |
      | sheet check odd.csv --strict              | 1    | unused: service creel |
      | sheet check good.csv --strict             | 0    | workspaces  1         |
      | sheet check good.csv --old other.csv      | 0    | max_rate: 7.0 -> 0.0  |
      | sheet check good.csv --old bad.csv        | 1    | bad.csv: row 3        |
      | sheet check good.csv --in-force           | 2    | give --settings       |
      | sheet check good.csv --in-force {access}  | 3    | unreachable           |
      | sheet check none.csv                      | 2    | none.csv: No such file |
      | sheet diff good.csv --old good.csv        | 0    | no changes            |
      | sheet diff good.csv --old other.csv       | 0    | max_rate: 7.0 -> 0.0  |
      | sheet diff good.csv --old bad.csv         | 1    | bad.csv: row 3        |
      | sheet diff good.csv                       | 2    | give --settings       |
      | sheet apply bad.csv --number 1 {access}   | 1    | bad.csv: row 3        |
      | sheet apply good.csv --number 0 {access}  | 2    |                       |
      | sheet apply good.csv --number 1.5 {access} | 2   |                       |
      | sheet apply good.csv {access}             | 2    |                       |
      | sheet apply good.csv --number 1 {access}  | 3    | unreachable           |
      | status {access}                           | 3    | unreachable           |
      | status --control localhost:1 --secret-file secret | 2 | is not an ip:port |
      | status --control 127.0.0.1:1 --secret-file short | 2 | 5 bytes, expected 16 |
      | status --settings none.toml               | 2    | none.toml: No such file |
      | status {access} --timeout nan             | 2    |                       |
      | drain entry-1 {access}                    | 3    | unreachable           |
      | control replace c1 {access}               | 3    | unreachable           |
      | check-settings good.toml                  | 0    | good.toml: ok         |
      | check-settings good.toml copy.toml        | 2    | host.name: also in    |
      | check-settings bad.toml                   | 2    | bad.toml: host: section is missing |
      | data check .                              | 1    | holds no control data |
      | data check none                           | 2    | no such folder        |
      | data snapshot .                           | 2    | holds no control data |
      | fleet none.txt                            | 2    | none.txt: No such file |
      | fleet words.txt                           | 2    | words.txt: line 2: hello is not ip:port/path |
      | fleet nobody.txt --timeout 0.3            | 3    | 127.0.0.1:1: Cannot connect |
      | no-such-command                           | 2    |                       |

  Scenario Outline: Hashing a secret
    When the secret <secret> is hashed
    Then the exit code is <code> and "<text>" is printed

    Examples:
      | secret       | code | text                                     |
      | secret       | 0    | 14e65567abdb5135d0cfd9a70b3032c179a49ee7 |
      | secret\n     | 0    | 14e65567abdb5135d0cfd9a70b3032c179a49ee7 |
      | secret\r\n   | 0    | 14e65567abdb5135d0cfd9a70b3032c179a49ee7 |
      | \n           | 2    | expected a secret                        |

  Scenario: The hash equals the one that the MySQL server computes
    Then the hash is that of the server's mysql_native_password

  Scenario Outline: A sheet is applied through any control host
    Given control hosts of which <leader> leads and the operator knows <known>
    And the leader <behaves>
    When the operator runs "sheet apply good.csv --number 4 {control}"
    Then the exit code is <code> and "<text>" is printed
    And the leader holds <sheets> sheets

    Examples:
      | leader | known | behaves                        | code | text               | sheets |
      | 1      | 1     | works                          | 0    | sheet 4 accepted   | 1      |
      | 2      | 1     | works                          | 0    | sheet 4 accepted   | 1      |
      | 2      | 1     | loses its first answer         | 0    | accepted (again)   | 1      |
      | 2      | 1     | is deposed during the upload   | 0    | accepted (again)   | 1      |
      | 1      | 1     | loses every answer             | 4    | --number 4 to learn | 1     |
      | 1      | 1     | has another sheet of number 4  | 1    | sheet_conflict     | 1      |
      | 1      | 1     | has a sheet of number 5        | 1    | stale_sheet        | 1      |
      | 1      | 1     | has another secret             | 1    | signature_invalid  | 0      |
      | 3      | 1     | works                          | 3    | not_leader         | 0      |

  Scenario: The next number follows the one in force
    Given control hosts of which 1 leads and the operator knows 1
    And the leader has a sheet of number 5
    When the operator runs "sheet apply good.csv --next {control}"
    Then the exit code is 0 and "sheet 6 accepted" is printed

  Scenario: The sheet can be restored from a data folder
    Given a data folder with a snapshot and later entries
    When the operator runs "data check folder"
    Then the exit code is 0 and "last_index      3" is printed
    When the operator runs "data snapshot folder"
    Then the exit code is 0 and "sheet_number  2" is printed
    When the operator runs "data snapshot folder --csv"
    Then the output is the sheet of the last entry

  Scenario: Damage inside a data folder is reported
    Given a data folder with a snapshot and later entries
    And a damaged byte in its first record
    When the operator runs "data check folder"
    Then the exit code is 1 and "storage_corrupt" is printed
    When the operator runs "data snapshot folder"
    Then the exit code is 1 and "storage_corrupt" is printed

  Scenario Outline: A fleet summed up
    Given processes that count <failed> failed statements
    When the operator sums up the fleet
    Then the exit code is <code> and "<text>" is printed

    Examples: a dash is a process that does not answer; bad is no metrics page
      | failed              | code | text                            |
      | 3 4 5               | 0    | statements_total  failed  12     4       5        127 |
      | 3 4 5               | 0    | 3 of 3 processes answered       |
      | 3 4 500 5           | 0    | outliers: chivescale_statements_total failed: 127 |
      | 30 40 100 50        | 0    | 4 of 4 processes answered       |
      | 3 4 -               | 1    | 2 of 3 processes answered       |
      | 3 bad 4             | 1    | unreadable page                 |
      | 0 0 0 30            | 0    | outliers: chivescale_statements_total failed: 127 |

  Scenario: A long metrics page is read to its end
    Given a process with 20000 series of which the last counts 4711
    When the operator sums up the fleet
    Then the exit code is 0 and "s020000  4711" is printed
