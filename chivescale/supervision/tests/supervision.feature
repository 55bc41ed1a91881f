Feature: Permanent tasks
  Guards against a process that goes on without one of its functions after an
  unexpected error, and against a task that cannot be stopped.

  Scenario: A task that fails starts again
    Given a task that fails 3 times and then works
    When it runs for 100 ms
    Then it has been started 4 times and works

  Scenario: A task that is cancelled stays cancelled
    Given a task that fails 0 times and then works
    When it runs for 20 ms
    And it is cancelled
    Then it has been started 1 times and has ended

  Scenario: A task that returns is not started again
    Given a task that returns at once
    When it runs for 20 ms
    Then it has been started 1 times and has ended
