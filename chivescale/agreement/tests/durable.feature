Feature: Durable log
  Guards against a start that loses a vote or an acknowledged entry, accepts
  corrupt records as valid, or shares a data folder with another process.

  Scenario: A restart recovers the stored data
    Given a log with a replaced tail and a snapshot
    Then a restart recovers the term, the vote and the entries after the snapshot

  Scenario: A log truncated at any byte keeps every complete record
    Given a log of 6 records
    Then cut at any length it recovers the complete records and accepts new ones

  Scenario: A sector that was never written to disk is a torn record
    Given a log of 6 records
    When a record is written whose last sector contains only zeros
    Then a restart recovers 6 records

  Scenario: A changed byte is detected as corruption
    Given a log of 6 records
    Then with any byte changed the start fails and names file and offset

  Scenario Outline: Corruption other than a torn record
    Given a log with a replaced tail and a snapshot
    When the folder is damaged: <damage>
    Then the start fails with storage_corrupt and names <file>
    And checking the folder reports the same error and changes nothing

    Examples:
      | damage                 | file               |
      | snapshot byte changed  | agreement.snapshot |
      | snapshot cut           | agreement.snapshot |
      | snapshot missing       | agreement.log      |
      | snapshot of another    | agreement.snapshot |
      | log missing            | agreement.log      |
      | log emptied            | agreement.log      |
      | zeros before a record  | agreement.log      |
      | random bytes at end    | agreement.log      |

  Scenario: A lost disk leads to a new incarnation
    Given a log of 6 records
    When the folder is lost
    Then a start recovers no data and has another incarnation

  Scenario: Two processes on one folder
    Given a log of 6 records
    When another process has the folder open
    Then the start fails with storage_failed

  Scenario Outline: A failing disk
    Given a log of 6 records
    When the disk fails with <error> on <call> while a record is stored
    Then storing this and every later record fails with storage_failed
    And a restart recovers at least 6 records

    Examples:
      | error  | call  |
      | ENOSPC | write |
      | EIO    | fsync |

  Scenario: A crash at any point while storing a snapshot
    Then a crash at any system call while a snapshot is stored loses no data

  Scenario Outline: Starts after a crash while a leader's snapshot is stored
    Guards against a log that cannot be opened, or that loses an acknowledged
    entry, at the second start after a crash between two renames.

    Given a log whose entries <relation> a leader's snapshot
    Then a crash at any system call of storing it and of the next start
    And entries stored after it are found at every later start

    Examples:
      | relation         |
      | end long before  |
      | conflict with    |
      | include those of |

  Scenario: The term after a crash while a leader's snapshot is stored
    Guards against a member whose term is below that of its snapshot, which
    would follow a leader that was deposed before and stop at its entries.

    Given a log that a crash has left beside a snapshot of a later term
    Then a start recovers the term of the snapshot and no vote

  Scenario Outline: A log that an earlier version continued after a crash
    Guards against data folders that cannot be used after an upgrade: versions
    before 2026-12-07 appended to a log that a crash had left unreplaced.

    Given a log whose entries <relation> a leader's snapshot
    And that snapshot, stored without replacing the log
    And an entry appended after that snapshot
    Then a start recovers the snapshot and that entry
    And the log can be continued

    Examples:
      | relation         |
      | end long before  |
      | conflict with    |
      | include those of |
