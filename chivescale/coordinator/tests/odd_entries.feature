Feature: Odd entries that other processes pass on
  Guards against one odd entry that drops the rest of its list, ends a task or
  makes it start over without end.

  Scenario Outline: One odd entry among others
    When <list> holds e1, <entry> and e2
    Then e1 and e2 are known, and one line names the entry that was passed over

    Examples:
      | list             | entry                              |
      | gossip           | a port out of range                |
      | gossip           | a number too large                 |
      | gossip           | a negative number                  |
      | gossip           | a field of another type            |
      | gossip           | a missing field                    |
      | gossip           | bytes that are no text             |
      | gossip           | an empty name                      |
      | gossip           | no object                          |
      | gossip           | lists nested 200 deep              |
      | the saved file   | a port out of range                |
      | the saved file   | a number too large                 |
      | the saved file   | bytes that are no text             |
      | the saved file   | no object                          |
      | an answer        | a port out of range                |
      | an answer        | a number too large                 |
      | an answer        | a missing field                    |
      | an answer        | bytes that are no text             |

  Scenario Outline: Odd contacts of entry hosts
    When gossip holds contacts of h1, <contact> and h2
    Then the hosts h1 and h2 are known

    Examples:
      | contact                   |
      | a negative age            |
      | an age of another type    |
      | a record without address  |

  Scenario: Two entries of one endpoint
    When gossip holds e1 twice, the older one last
    Then the newer one counts

  Scenario Outline: A message that cannot be read at all
    When gossip is <body>
    Then it is a failure and nothing is known

    Examples:
      | body                       |
      | a list instead of entries  |
      | no list in the field       |
      | nested 100000 deep         |

  Scenario Outline: Connections to an address that is none
    Then a link, a trial, a call and a gateway connection to <address> fail as unreachable

    Examples:
      | address            |
      | 127.0.0.1:99999    |
      | 127.0.0.1:-1       |
      | 127.0.0.1:port     |
      | nowhere            |
      | ..:80              |

  # Guards against a working primary that counts as gone for a minute because
  # another writer named its address or its identifier.
  Scenario Outline: Heartbeats of services that the configuration does not name
    Given 3 coordinators on loopback
    And a configuration with service <services>, and e1 of ledger at port 1
    When a later heartbeat of <endpoint> of <service> at port <port> <arrives>
    Then it is <verdict>, and e1 is <state>

    Examples:
      | services | endpoint | service | port | arrives        | verdict  | state |
      | ledger   | e9       | other   | 1    | arrives        | refused  | known |
      | ledger   | e1       | other   | 2    | arrives        | refused  | known |
      | ledger   | e9       | other   | 1    | is passed on   | ignored  | known |
      | ledger   | e1       | other   | 2    | is passed on   | ignored  | known |
      | ledger   | e9       | other   | 2    | arrives        | stored   | known |
      | ledger   | e9       | ledger  | 1    | arrives        | stored   | gone  |
      | ledger   | e9       | ledger  | 1    | is passed on   | stored   | gone  |
      | other    | e9       | other   | 1    | arrives        | stored   | gone  |
      | nothing  | e9       | other   | 1    | arrives        | stored   | gone  |
