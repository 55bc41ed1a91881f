@service
Feature: Faults of entry hosts and of the database group
  Guards against lost, doubled or mixed work when processes die, freeze, are
  cut off or go silent. Each scenario leaves a healthy system to the next.

  Background:
    Given all endpoints follow one primary

  Scenario: An entry host dies inside a transaction
    Given a transaction with one write through entry-2
    When entry host entry-2 is killed
    Then its connections to the endpoints are gone within 3 seconds
    And the caller writes the same row through entry-1
    And the row is there once
    When entry-2 starts again

  Scenario Outline: A primary that is <event> during load
    Given a load with keyed writes for 8 seconds
    When the primary is <event>
    Then another primary is established
    When the former primary <end>
    Then the load was sound and wrote after the fault

    Examples:
      | event                                  | end            |
      | frozen                                 | goes on        |
      | cut off from its peers                 | is reconnected |
      | cut off from its peers and the control | is reconnected |

  Scenario: A second primary dies right after the first was repaired
    Given a load with keyed writes for 12 seconds
    When the primary is killed
    Then another primary is established
    When the former primary starts again and follows
    And the primary is killed
    Then another primary is established
    When the former primary starts again and follows
    Then the load was sound and wrote after the fault

  Scenario Outline: Open connections to <which> go silent
    Given a caller on entry-1 that has used <which>
    When the open connections to <which> go silent
    Then a read of this caller succeeds within its deadline
    And a write through each entry host succeeds within its deadline
    When the entry hosts restart, so that no silent connection is left

    Examples:
      | which         |
      | a replica     |
      | all endpoints |

  Scenario: A second signal ends a host at once
    Given a transaction with one write through entry-2
    When entry-2 gets SIGTERM twice
    Then entry-2 ends with exit code 1
    And the caller writes the same row through entry-1
    When entry-2 starts again

  Scenario: A graceful shutdown finishes what runs
    Given a transaction with one write through entry-2
    And a statement of about a second that runs through entry-2
    When entry-2 gets SIGTERM
    Then the statement ends with its answer
    And the transaction commits
    And entry-2 ends with exit code 0
    When entry-2 starts again

  Scenario: Entry hosts restart one after the other under load
    Given callers that write through all entry hosts
    When every entry host is restarted gracefully, one after the other
    Then no caller saw another error than the end of its connection
    And every row of the callers is there once

  Scenario: A workspace far above its limits does not disturb another
    Given a sheet that limits mill-1 to 8 statements at a time
    When mill-1 sends all it can for 5 seconds
    And mill-2 works at a tenth of that
    Then mill-1 was refused some statements and none of mill-2 failed
    And the load was sound and mill-1 succeeds again

  Scenario: A slow replica does not stop reads
    Given a load of reads and writes for 4 seconds
    When a replica takes 2 seconds for each statement
    Then the load was sound and no read failed
    And a read through each entry host succeeds within its deadline
