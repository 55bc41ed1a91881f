@control
Feature: Faults of control hosts
  Guards against a lost or reverted sheet, two sheets under one number, and a
  damaged disk that goes unnoticed. Each scenario leaves a healthy system.

  Background:
    Given all control hosts follow one leader

  Scenario: Two operators apply different sheets with one number at once
    When two sheets with the same number are applied at once on two hosts
    Then exactly one of them is accepted
    And it is in force on all entry hosts within 4 seconds
    And every control host and entry host holds its content

  Scenario: A sheet is sent again after its answer was lost
    When a sheet is applied and the connection ends before the answer
    Then applying it again succeeds

  Scenario: A second control host dies right after the first was repaired
    When the control leader is killed
    Then a sheet is accepted and in force within 4 seconds
    When the killed control host starts again and follows
    And another control host is killed
    Then a sheet is accepted and in force within 4 seconds
    When the killed control host starts again and follows
    Then a sheet is accepted and in force within 4 seconds

  Scenario: A control host loses its disk
    When a control host that does not lead is killed
    And its data folder is lost
    And it starts again
    Then it has no vote until the operator replaces it
    And a sheet is accepted and in force within 4 seconds

  Scenario: The end of the log is torn
    When a control host that does not lead is killed
    And its log ends inside a record
    And it starts again
    Then it follows the leader with the same state

  Scenario: A record of the log is corrupt
    When a control host that does not lead is killed
    And a byte inside its log is changed
    And it starts again
    Then it ends with exit code 2 and one line that names the file
    When its former data folder is put back
    And it starts again
    Then it follows the leader with the same state

  Scenario: The disk of a control host is full
    When the files of a control host that does not lead cannot grow
    Then a sheet is accepted and in force within 4 seconds
    And this host answers with storage_failed and does not follow
    When this host is restarted
    Then it follows the leader with the same state

  Scenario: All processes restart in random order
    When every process is restarted in an order drawn with seed 3
    Then the number and content of the sheet are as before
