Feature: Places at an endpoint
  Guards against transactions that wait for places held by the writers that
  wait for their locks; the demonstration then confirmed 152 writes instead
  of 2019 and stopped for 3 s. Also guards against writes that hang one after
  the other on idle connections that went silent together.

  Scenario Outline: Statements while all places are taken
    Given an endpoint with 2 places, all held by statements that wait
    When a statement runs on a connection <state> a transaction
    Then it <outcome>
    And all places are free after the waiting statements have ended

    Examples:
      | state   | outcome               |
      | inside  | runs at once          |
      | outside | is refused unstarted  |

  Scenario Outline: A write without an answer
    Given an endpoint with idle connections
    When a write gets no answer while other statements are <others>
    Then the idle connections are dropped <times> times

    Examples:
      | others     | times |
      | unanswered | 1     |
      | answered   | 0     |
