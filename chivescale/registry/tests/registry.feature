Feature: Endpoints known from their heartbeats
  Guards against a late heartbeat that revives an endpoint, a former
  incarnation that hides the present one, and an address that two endpoints
  seem to have.

  Scenario Outline: Order of statements
    Given these statements of endpoint a arrived: <first>
    When then this one arrives: <then>
    Then it is <verdict> and a is <state>

    Examples:
      | first                 | then                  | verdict | state              |
      | born 5 no 1           | born 5 no 2           | news    | up                 |
      | born 5 no 2           | born 5 no 1           | late    | up                 |
      | born 5 no 2           | born 5 no 2           | late    | up                 |
      | born 5 no 9           | born 6 no 1           | news    | up                 |
      | born 6 no 1           | born 5 no 9           | late    | up                 |
      | born 5 no 2 draining  | born 5 no 1           | late    | up and draining    |
      | born 5 no 2           | born 5 no 3 draining  | news    | up and draining    |
      | born 5 no 2, leaves   | born 5 no 3           | late    | gone               |
      | born 5 no 2, leaves   | born 6 no 1           | news    | up                 |
      | born 5 no 2 primary   | born 5 no 3           | news    | up and no primary  |

  Scenario: A farewell of a former incarnation ends nothing
    Given these statements of endpoint a arrived: born 6 no 1
    When the incarnation born 5 of a leaves
    Then a is up

  Scenario: A new endpoint at an address ends the former one
    Given these statements of endpoint a arrived: born 5 no 2
    When endpoint b, born 7, announces itself at the same address
    Then a is gone
    And b is up
    When then this one arrives: born 5 no 3
    Then a is gone

  Scenario: Only what matters to entry hosts is a change
    Given these statements of endpoint a arrived: born 5 no 1
    Then the next heartbeat changes no revision
    And a heartbeat with another role changes it

  Scenario: Silent endpoints are forgotten, and tombstones later
    Given these statements of endpoint a arrived: born 5 no 1
    When 31 s pass
    Then a is gone
    When 61 s pass
    Then a is not known

  Scenario: Unknown writers take a bounded amount of memory
    When 20100 endpoints announce themselves
    Then at most 20000 are known
