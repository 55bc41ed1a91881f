Feature: Concurrency slots of an endpoint
  Guards against a deadlock in which a transaction waits for a slot while the
  slots are held by writers that wait for its locks; the demo then confirmed
  152 writes instead of 2019 and stalled for 3 s. Also guards against writes
  that hang in turn on idle connections that stopped responding together.

  Scenario Outline: Statements while all slots are in use
    Given an endpoint with 2 slots, all held by statements that wait
    When a statement runs on a connection <state> a transaction
    Then it <outcome>
    And all slots are free after the waiting statements have ended

    Examples:
      | state   | outcome                        |
      | inside  | runs immediately               |
      | outside | is rejected without being sent |

  Scenario Outline: A write without an answer
    Given an endpoint with idle connections
    When a write gets no answer while other statements are <others>
    Then the idle connections are closed <times> times

    Examples:
      | others     | times |
      | unanswered | 1     |
      | answered   | 0     |
