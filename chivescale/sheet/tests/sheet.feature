Feature: Sheet
  Guards against a sheet that is applied in part, rejected without a usable
  reason, or reported as changed although its content is the same.

  Scenario: A complete sheet
    Given the example sheet
    When it is parsed
    Then it has 2 services, 2 workspaces and 3 bindings

  Scenario: Byte order mark and line endings do not affect the digest
    Given the example sheet
    Then its digest stays the same with a byte order mark
    And its digest stays the same with Windows line endings
    And its digest stays the same with empty lines

  Scenario: Row order, column order and notation do not affect the digest
    Given the example sheet
    Then its digest stays the same with rows reversed
    And its digest stays the same with columns reversed
    And its digest stays the same with all cells quoted
    And its digest stays the same with rate 10.50 written as 10.5

  Scenario Outline: A single defect rejects the whole sheet
    Given the example sheet
    When "<old>" is replaced by "<new>"
    Then it is rejected in row <row> column "<column>" because "<reason>"

    Examples: header
      | old          | new               | row | column       | reason              |
      | group_size   | group             | 1   |              | unknown column      |
      | ,group_size  |                   | 1   | group_size   | missing             |
      | max_rate     | max_concurrent    | 1   | max_concurrent | appears twice     |
      | kind,name    | kind,name,name    | 1   | name         | appears twice       |

    Examples: cells
      | old           | new              | row | column       | reason              |
      | service,lots  | servant,lots     | 3   | kind         | not service, workspace or binding |
      | service,lots  | Service,lots     | 3   | kind         | not service, workspace or binding |
      | service,lots  | service,lots;x   | 3   | name         | letters, digits     |
      | service,lots  | service, lots    | 3   | name         | letters, digits     |
      | service,lots  | service,-lots    | 3   | name         | letters, digits     |
      | service,lots  | service,lóts     | 3   | name         | letters, digits     |
      | service,lots  | service,         | 3   | name         | missing             |
      | service,lots  | service,ledger   | 3   | name         | same service as in row 2 |
      | 500,connection | -1,connection   | 7   | staleness_ms | not an integer     |
      | 500,connection | 1.5,connection  | 7   | staleness_ms | not an integer     |
      | 500,connection | 1_000,connection | 7  | staleness_ms | not an integer     |
      | 500,connection | ٣,connection    | 7   | staleness_ms | not an integer     |
      | 500,connection | 86400001,connection | 7 | staleness_ms | is not in 0 to   |
      | 500,connection | 9999999999,connection | 7 | staleness_ms | not an integer |
      | 500,connection | 500,host        | 7   | session_scope | neither workspace nor connection |
      | 10.50         | nan              | 4   | max_rate     | not a decimal number   |
      | 10.50         | inf              | 4   | max_rate     | not a decimal number   |
      | 10.50         | -1               | 4   | max_rate     | not a decimal number   |
      | 10.50         | 1e3              | 4   | max_rate     | not a decimal number   |
      | 10.50         | 0x10             | 4   | max_rate     | not a decimal number   |
      | ,aaaa         | ,zaaa            | 4   | secret_hash  | 40 hexadecimal      |
      | ,aaaa         | ,aaa             | 4   | secret_hash  | 40 hexadecimal      |
      | ,aaaa         | ,aaaaa           | 4   | secret_hash  | 40 hexadecimal      |

    Examples: rows and references
      | old             | new               | row | column  | reason            |
      | mill-1,lots     | mill-1,slots      | 7   | service | unknown service   |
      | mill-1,lots     | mill-9,lots       | 7   | name    | unknown workspace |
      | mill-1,lots     | mill-1,ledger     | 7   | name    | same binding as in row 6 |
      | mill-1,lots,    | mill-1,lots       | 7   |         | 9 cells, the header has 10 |
      | mill-1,lots,    | mill-1,lots,,     | 7   |         | 11 cells          |
      | mill-1,lots,    | mill-1,lots,5     | 7   | secret_hash | must be empty in a binding row |
      | service,lots,,  | service,lots,ledger, | 3 | service | must be empty in a service row |
      | service,lots    | "service,lots     | 3   |         | bad quoting       |
      | service,lots    | "service"x,lots   | 3   |         | bad quoting       |

  Scenario Outline: Text that is not a sheet
    When the sheet <text> is parsed
    Then it is rejected in row <row> column "" because "<reason>"

    Examples:
      | text                   | row | reason          |
      | of no bytes            | 1   | empty sheet     |
      | of a header only       | 1   | empty sheet     |
      | with a NUL in row 2    | 2   | NUL character   |
      | in Latin-1             | 3   | not UTF-8       |
      | of more bytes than allowed | 1 | at most       |
      | of more rows than allowed | 50002 | more than   |

  Scenario: The number of listed defects is limited
    When a sheet with 70 defective rows is parsed
    Then the reason names 50 defects and that there are more

  Scenario: Secret hashes do not appear in error messages
    Given the example sheet
    When ",aaaa" is replaced by ",xaaaa"
    Then the reason does not contain "xaaaa"

  Scenario: The longest names pass and one more character does not
    Then a workspace name may have 32 characters and a service name 64

  Scenario: Formatting and parsing keep every sheet
    Then any generated sheet survives formatting and parsing

  Scenario: Arbitrary bytes give a sheet or a failure
    Then any bytes give a sheet or a failure of kind sheet_invalid
    And any damage to the example sheet gives a sheet or a failure

  Scenario Outline: Changes between two sheets
    Given the example sheet
    When "<old>" is replaced by "<new>"
    Then the changes are "<changes>"

    Examples:
      | old            | new            | changes                                  |
      | 10.50          | 10.500         |                                          |
      | 10.50          | 11             | changed workspace mill-1 max_rate 10.5 11.0 |
      | 500,connection | 0,connection   | changed binding mill-1/lots staleness_ms 500 0 |
      | mill-1,lots    | mill-2,lots    | removed binding mill-1/lots; added binding mill-2/lots |
      | ,aaaa          | ,bbbb          | changed workspace mill-1 secret_hash (old) (new) |
