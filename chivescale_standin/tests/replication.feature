Feature: Roles and replication of the stand-in
  Guards against an endpoint that acknowledges writes after it was replaced,
  and against replicas that show what the primary never committed.

  Scenario: An endpoint is not primary by itself
    Given a group of 1 endpoint
    Then e0 is fenced and refuses writes with error 1290

  Scenario Outline: Promises
    Given a group of 1 endpoint
    And e0 promised term 5
    When e0 is asked to promise term <term>
    Then the promise is granted: <granted>
    And e0 has promised term <promised>

    Examples:
      | term | granted | promised |
      | 4    | no      | 5        |
      | 5    | yes     | 5        |
      | 6    | yes     | 6        |

  Scenario Outline: Promotion needs the promised term
    Given a group of 1 endpoint
    And e0 promised term 5
    When e0 is promoted for term <term>
    Then the promotion is accepted: <accepted>

    Examples:
      | term | accepted |
      | 4    | no       |
      | 5    | yes      |
      | 6    | no       |

  Scenario: Replicas hold what the primary committed
    Given a group of 3 endpoints with primary e0 in term 1
    When 20 rows are written to e0
    Then e1 and e2 serve the same rows as e0
    And e1 refuses writes with error 1290

  Scenario: Replicas agree on values that depend on time and chance
    Given a group of 2 endpoints with primary e0 in term 1
    And e1 lags by 1200 ms
    When rows with NOW, UUID, RAND and default times are written to e0
    Then e1 serves the same rows as e0

  Scenario: A position request waits until the position is held
    Given a group of 2 endpoints with primary e0 in term 1
    And e1 lags by 200 ms
    When 1 row is written to e0
    Then a waiting position request to e1 returns with the row's position

  Scenario: A replica that lags stays in contact
    Given a group of 2 endpoints with primary e0 in term 1
    And e1 lags by 60000 ms
    When 5 rows are written to e0
    And 600 ms pass
    Then e1 holds no row but had contact within 350 ms

  Scenario: A promise fences the primary inside a transaction
    Given a group of 1 endpoint
    And e0 is primary in term 1 with a table
    When a transaction writes to e0 and e0 then promises term 2
    Then its COMMIT fails with error 1290 and its rows are gone

  Scenario: A lost transaction stays lost until its caller ends it
    Given a group of 1 endpoint
    And e0 is primary in term 1 with a table
    When a transaction writes to e0 and e0 is replaced and promoted again
    Then every statement and the COMMIT fail with error 1290
    And after that a new transaction can commit

  Scenario: A frozen primary that resumes after the promise writes nothing
    Given a group of 3 endpoints with primary e0 in term 1
    When e0 freezes, e1 becomes primary in term 2 and e0 resumes
    Then a write to e0 that was waiting fails with error 1290
    And e0 catches up with e1 as a replica

  Scenario: Diverged entries disappear
    Given a group of 3 endpoints with primary e0 in term 1
    And 5 rows are written to e0
    And e0 is cut from all endpoints
    And 3 lost rows are written to e0
    When e1 becomes primary in term 2 without e0
    And 2 rows are written to e1
    And the cut ends and e0 follows e1 in term 2
    Then e0 serves the same rows as e1
    And the position of e0 equals that of e1
    And a restart of e0 changes neither

  Scenario: No statement sees a rebuild
    Given a group of 2 endpoints with primary e0 in term 1
    And e0 is cut from all endpoints
    And 3 lost rows are written to e0
    When e1 becomes primary in term 2 without e0
    And e0 starts a rebuild that cannot end
    Then reads on e0 fail with error 1290
    And e0 still reports its old position for promises
    And e0 can promise term 3 and be promoted with its old log

  Scenario: A restarted primary is fenced
    Given a group of 2 endpoints with primary e0 in term 1
    When e0 restarts
    Then e0 is fenced and refuses writes with error 1290
    And e0 cannot be promoted for term 1 again

  Scenario: A restarted replica goes on following
    Given a group of 2 endpoints with primary e0 in term 1
    When e1 restarts
    And 3 rows are written to e0
    Then e1 serves the same rows as e0

  Scenario: Lost data make a new incarnation
    Given a group of 1 endpoint
    When e0 restarts without its data file
    Then e0 has another incarnation and still its promised term

  Scenario: A new primary need not wait for a request to the cut-off one
    Given a group of 3 endpoints with primary e0 in term 1
    And replication requests time out after 60 s
    And e0 is cut from all endpoints
    When 600 ms pass
    And e1 becomes primary in term 2 without e0
    And 1 row is written to e1
    Then e2 serves the same rows as e1

  Scenario: A silent connection is replaced before the primary seems detached
    Then a replica replaces a silent connection 100 ms before the limit

  Scenario: A cut leaves callers in contact
    Given a group of 3 endpoints with primary e0 in term 1
    When e0 is cut from e1
    And 1 row is written to e0
    Then e2 serves the same rows as e0
    And e1 does not hold the row

  Scenario: The shared part of two logs
    Then random logs share exactly the entries that the term starts say
