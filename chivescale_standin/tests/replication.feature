Feature: Roles and replication of the stand-in
  Guards against an endpoint that acknowledges writes after it was replaced,
  and against replicas that show what the primary never committed.

  Scenario: An endpoint is not primary by itself
    Given a group of 1 endpoint
    Then e0 is fenced and refuses writes

  Scenario Outline: Promises
    Given a group of 1 endpoint
    When e0 has promised term 5
    Then a promise of term <term> is granted <granted> and leaves <promised>

    Examples:
      | term | granted | promised |
      | 4    | no      | 5        |
      | 5    | yes     | 5        |
      | 6    | yes     | 6        |

  Scenario Outline: Promotion needs the promised term
    Given a group of 1 endpoint
    When e0 has promised term 5
    Then a promotion for term <term> is accepted <accepted>

    Examples:
      | term | accepted |
      | 4    | no       |
      | 5    | yes      |
      | 6    | no       |

  Scenario: Replicas hold what the primary committed
    Given a group of 3 endpoints with primary e0 in term 1
    When 20 rows are written to e0
    Then e1 serves the same rows as e0
    And e2 serves the same rows as e0
    And e1 refuses writes

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
    Then after 600 ms e1 holds no row but had contact within 350 ms

  Scenario: A transaction lost to a promise stays lost until it ends
    Given a group of 1 endpoint
    And e0 is primary in term 1 with a table
    When a transaction writes to e0 and e0 promises term 2
    Then its statements and its COMMIT fail and its rows are gone
    And after a promotion in term 2 a new transaction can commit

  Scenario: A write that waited for a lock is refused after the promise
    Given a group of 1 endpoint
    And e0 is primary in term 1 with a table
    When a write waits for a transaction on e0 and e0 promises term 2
    Then a write to e0 that was waiting is refused

  Scenario: A frozen primary that resumes after the promise writes nothing
    Given a group of 3 endpoints with primary e0 in term 1
    When e0 freezes, e1 becomes primary in term 2 and e0 resumes
    Then a write to e0 that was waiting is refused
    And e0 serves the same rows as e1

  Scenario: Diverged entries disappear
    Given a group of 3 endpoints with primary e0 in term 1
    And 5 rows are written to e0
    And 3 rows are written to e0 after a cut
    When e1 becomes primary in term 2 without e0
    And 2 rows are written to e1
    And the cut ends and e0 follows e1 in term 2
    Then e0 serves the same rows as e1
    And its log equals that of e1, also after a restart

  Scenario: No statement sees a rebuild
    Given a group of 2 endpoints with primary e0 in term 1
    And 3 rows are written to e0 after a cut
    When e1 becomes primary in term 2 without e0
    And e0 starts a rebuild whose second fetch waits
    Then reads on e0 are refused and its old log can be promoted in term 3
    And the rebuild that goes on then changes nothing

  Scenario: A restarted primary is fenced
    Given a group of 2 endpoints with primary e0 in term 1
    When e0 restarts
    Then e0 is fenced and refuses writes
    And a promotion for term 1 is accepted no

  Scenario: A restarted replica goes on following
    Given a group of 2 endpoints with primary e0 in term 1
    When e1 restarts
    And 3 rows are written to e0
    Then e1 serves the same rows as e0

  Scenario: Lost data make a new incarnation
    Given a group of 1 endpoint
    Then after the loss of its data e0 has a new incarnation and its promise

  Scenario: A new primary need not wait for a request to the cut-off one
    Given a group of 3 endpoints with primary e0 in term 1
    And replication requests time out after 60 s
    And e0 has been cut off for 600 ms
    When e1 becomes primary in term 2 without e0
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
