Feature: Settings
  Guards against a process that starts with invalid settings, or that rejects
  them without naming the file, the key and the reason.

  Scenario: Valid settings of both roles
    Given the example settings
    Then they are accepted

  Scenario Outline: An invalid key is rejected by name
    Given the example settings
    When the line "<old>" becomes "<new>"
    Then the only error is "settings: <error>"

    Examples: structure
      | old                | new                    | error                               |
      | zone = 'a'         |                        | host.zone: key is missing           |
      | zone = 'a'         | zone = 'a'; x = 1      | not TOML                            |
      | zone = 'a'         | zone = 'a'\ncolor = 1  | host.color: unknown key             |
      | [pool]             | [pools]                | pools: unknown section              |
      | [pool]             | [entry.pool]           | entry.pool: unknown key             |
      | zone = 'a'         | zone = 5               | host.zone: expected str, got int    |
      | name = 'c1'        | name = 'c 1'           | host.name: expected 1 to 64         |
      | 'entry', 'control' | 'entry', 'admin'       | host.roles[1]: 'admin' is not a role   |
      | 'entry', 'control' | 'control', 'control'   | host.roles[1]: control appears twice |
      | 'entry', 'control' |                        | host.roles: expected entry, control |
      | data_dir = 'data'  |                        | host.data_dir: the control role     |
      | zone = 'a'         | zone = 'a'\nlog_level = 'all' | host.log_level: expected one |

    Examples: types and units
      | old                | new                    | error                               |
      | heartbeat_ms = 50  | heartbeat_ms = '50ms'  | agreement.heartbeat_ms: expected int, got str |
      | heartbeat_ms = 50  | heartbeat_ms = 50.5    | agreement.heartbeat_ms: expected int, got float |
      | heartbeat_ms = 50  | heartbeat_ms = true    | agreement.heartbeat_ms: expected int, got bool |
      | heartbeat_ms = 50  | heartbeat_s = 0.05     | agreement.heartbeat_s: unknown key  |
      | idle_s = 30.0      | idle_s = nan           | pool.idle_s: nan is not in          |
      | idle_s = 30.0      | idle_s = inf           | pool.idle_s: inf is not in          |
      | idle_s = 30.0      | idle_s = -1            | pool.idle_s: -1 is not in           |

    Examples: ranges and relations
      | old                | new                    | error                               |
      | heartbeat_ms = 50  | heartbeat_ms = 84      | agreement.election_timeout_ms: expected at least 252 |
      | silence_floor_ms = 350 | silence_floor_ms = 300 | failover.silence_floor_ms: 300 is not in 301 |
      | silence_floor_ms = 350 | attempt_timeout_ms = 200 | failover.attempt_timeout_ms: expected at least 300 |

    Examples: addresses
      | old                | new                    | error                               |
      | api = '127.0.0.1:7001' | api = 'localhost:7001' | listen.api: 'localhost:7001' is not an ip:port |
      | api = '127.0.0.1:7001' | api = '127.0.0.1'  | listen.api: '127.0.0.1' is not an ip:port |
      | api = '127.0.0.1:7001' | api = '127.0.0.1:0' | listen.api: '127.0.0.1:0' is not an ip:port |
      | api = '127.0.0.1:7001' | api = '127.0.0.1:65536' | listen.api: '127.0.0.1:65536' is not an ip:port |
      | api = '127.0.0.1:7001' | api = '127.0.0.01:7001' | listen.api: '127.0.0.01:7001' is not an ip:port |
      | api = '127.0.0.1:7001' | api = '0.0.0.0:7001' | listen.api: other hosts cannot connect |
      | api = '127.0.0.1:7001' |                    | listen.api: the entry role needs an address |
      | control_api = '127.0.0.1:7003' |            | listen.control_api: the control role needs an address |
      | api = '127.0.0.1:7001' | api = '127.0.0.1:7002' | listen.mysql: 127.0.0.1:7002 is already used by listen.api |
      | api = '127.0.0.1:7001' | api = '127.0.0.2:7003' | listen.api: 127.0.0.2:7003 is already used by cluster.control of c2 |
      | metrics = '127.0.0.1:7004' | metrics = '0.0.0.0:7001' | listen.metrics: 0.0.0.0:7001 is already used by listen.api |

    Examples: members and certificates
      | old                | new                    | error                               |
      | name = 'c1'        | name = 'c9'            | cluster.control: c9 has the control role but is not listed |
      | control_api = '127.0.0.1:7003' | control_api = '127.0.0.1:7005' | cluster.control: c1 is listed with 127.0.0.1:7003 and listens on 127.0.0.1:7005 |
      | name='c2'          | name='c1'              | cluster.control[1].name: c1 appears twice |
      | address='127.0.0.2:7003' | address='127.0.0.1:7003' | cluster.control[1].address: 127.0.0.1:7003 appears twice |
      | address='127.0.0.2:7003' | address='c2:7003' | cluster.control[1].address: 'c2:7003' is not an ip:port |
      | address='127.0.0.2:7003' | address=7003     | cluster.control[1].address: expected str, got int |
      | api_key = ''       | api_key = 'k'          | tls.api_certificate: certificate and key go together |

  Scenario: Each invalid key is reported on its own line
    Given the example settings
    When the line "heartbeat_ms = 50" becomes "heartbeat_ms = 'x'\nfoo = 1"
    And the line "zone = 'a'" becomes "zone = 1"
    Then there are 3 errors

  Scenario: Every number has a range
    Then each numeric setting and no other key is in the table of ranges

  Scenario: The operations page states every setting
    Then the page has a row with default and range for each setting

  Scenario Outline: Unusable files are reported
    Given the example settings in a file
    When its file <file> <content>
    Then loading gives the error "<error>"

    Examples:
      | file     | content             | error                                        |
      | secret   | is missing          | cluster.secret_file: {folder}/secret: No such file |
      | secret   | has 15 bytes        | cluster.secret_file: {folder}/secret: 15 bytes, expected 16 |
      | secret   | is a folder         | cluster.secret_file: {folder}/secret: Is a directory |
      | endpoint | has 7 bytes         | cluster.endpoint_secret_file: {folder}/endpoint: 7 bytes, expected 8 |
      | cert     | is missing          | tls.caller_certificate: {folder}/cert: No such file |
      | cert     | is no certificate   | tls.caller_certificate: {folder}/cert: [      |
      | key      | is of another one   | tls.caller_certificate: {folder}/cert: [      |
      | ca       | is no certificate   | tls.api_ca: {folder}/ca: [                    |
      | settings | is missing          | No such file                                 |
      | settings | is not UTF-8        | codec can't decode                           |

  Scenario: Relative file names are resolved against the settings folder
    Given the example settings in a file
    Then loading gives absolute names below that folder

  Scenario: Arbitrary text gives settings or a failure
    Then any text gives settings or a failure of kind settings_invalid
