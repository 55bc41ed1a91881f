Feature: Endpoints known from their heartbeats
  Guards against late heartbeats that revive an endpoint, earlier incarnations
  that replace the current one, and two endpoints at the same address.

  Scenario Outline: Order of heartbeats
    Given these heartbeats of endpoint a arrived: <first>
    When then this one arrives: <then>
    Then it is <verdict> and a is <state>

    Examples:
      | first                 | then                  | verdict | state              |
      | born 5 no 1           | born 5 no 2           | stored  | up                 |
      | born 5 no 2           | born 5 no 1           | ignored | up                 |
      | born 5 no 2           | born 5 no 2           | ignored | up                 |
      | born 5 no 9           | born 6 no 1           | stored  | up                 |
      | born 6 no 1           | born 5 no 9           | ignored | up                 |
      | born 5 no 2 draining  | born 5 no 1           | ignored | up and draining    |
      | born 5 no 2           | born 5 no 3 draining  | stored  | up and draining    |
      | born 5 no 2, leaves   | born 5 no 3           | ignored | gone               |
      | born 5 no 2, leaves   | born 6 no 1           | stored  | up                 |
      | born 5 no 2 primary   | born 5 no 3           | stored  | up and no primary  |

  Scenario: A deregistration of an earlier incarnation has no effect
    Given these heartbeats of endpoint a arrived: born 6 no 1
    When the incarnation born 5 of a leaves
    Then a is up

  Scenario: A new endpoint at an address replaces the earlier one
    Given these heartbeats of endpoint a arrived: born 5 no 2
    When endpoint b, born 7, announces itself at the same address
    Then a is gone
    And b is up
    When then this one arrives: born 5 no 3
    Then a is gone

  Scenario: Only changes that entry hosts need raise the revision
    Given these heartbeats of endpoint a arrived: born 5 no 1
    Then the next heartbeat changes no revision
    And a heartbeat with another role changes it

  Scenario: Silent endpoints expire, and their tombstones later
    Given these heartbeats of endpoint a arrived: born 5 no 1
    When 31 s pass
    Then a is gone
    When 61 s pass
    Then a is not known

  # Guards against working endpoints that are refused for a minute after one
  # coordinator was cut off for 30 s, and against its opinion that spreads.
  Scenario Outline: A silent endpoint whose heartbeats are heard again
    Given these heartbeats of endpoint a arrived: <first>
    When 31 s pass
    And then this one arrives: <then>
    Then it is <verdict> and a is <state>

    Examples:
      | first               | then                 | verdict | state          |
      | born 5 no 1         | born 5 no 31         | stored  | up             |
      | born 5 no 1 primary | born 5 no 31 primary | stored  | up and primary |
      | born 5 no 2         | born 5 no 2          | ignored | gone           |
      | born 5 no 2         | born 5 no 1          | ignored | gone           |
      | born 5 no 2, leaves | born 5 no 31         | ignored | gone           |

  Scenario Outline: Another coordinator tells that an endpoint is gone
    Given these heartbeats of endpoint a arrived: <first>
    When a coordinator with <other> tells after 31 s what it knows
    Then a is <state>

    Examples:
      | first        | other               | state |
      | born 5 no 31 | born 5 no 1         | up    |
      | born 5 no 1  | born 5 no 31        | gone  |
      | born 5 no 31 | born 5 no 1, leaves | gone  |

  Scenario: Unknown senders occupy a bounded amount of memory
    When 20100 endpoints announce themselves
    Then at most 20000 are known

  Scenario: Many services: each finds its endpoints without a search of all
    Given 1045 services with 3 endpoints each
    Then all services find their 3 endpoints in less than 0.05 s of processor time
    When the endpoints of service 7 are expired and dropped
    Then service 7 has 0 endpoints and service 8 has 3

  Scenario: An endpoint that starts again for another service
    Given these heartbeats of endpoint a arrived: born 5 no 2
    When a starts again for service atelier
    Then service ledger has 0 endpoints and service atelier has 1

  # Guards against an address that no process can connect to, passed on by
  # another host.
  Scenario Outline: Addresses of heartbeats that other hosts pass on
    When another host passes on a heartbeat at <address>
    Then it is <verdict>

    Examples:
      | address             | verdict  |
      | 10.0.0.1:1          | readable |
      | 10.0.0.1:65535      | readable |
      | 10.0.0.1:65536      | refused  |
      | 10.0.0.1:99999      | refused  |
      | 10.0.0.1:0          | refused  |
      | 10.0.0.256:80       | refused  |
      | e1:80               | refused  |
