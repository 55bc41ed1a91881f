Feature: Durable log
  Guards against a start that forgets a vote or an acknowledged entry, takes
  damaged records for good ones, or shares a data folder.

  Scenario: A restart finds what was stored
    Given a log with a replaced tail and a snapshot
    Then a restart finds the term, the vote and the entries after the snapshot

  Scenario: A log cut at any byte keeps every complete record
    Given a log of 6 records
    Then cut at any length it recovers the complete records and goes on

  Scenario: A sector that never reached the disk is a torn record
    Given a log of 6 records
    When a record is written of which the last sector holds zeros
    Then a restart recovers 6 records

  Scenario: A changed byte is never taken for good
    Given a log of 6 records
    Then with any byte changed the start is refused with file and offset

  Scenario Outline: Damage that is no torn record
    Given a log with a replaced tail and a snapshot
    When the folder is damaged: <damage>
    Then the start is refused as corrupt, naming <file>
    And the check of the folder reports the same and changes nothing

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

  Scenario: A lost disk is a new incarnation
    Given a log of 6 records
    When the folder is lost
    Then a start finds nothing and has another incarnation

  Scenario: Two processes on one folder
    Given a log of 6 records
    When another process has the folder open
    Then the start is refused with storage_failed

  Scenario Outline: A failing disk
    Given a log of 6 records
    When the disk fails with <error> on <call> while a record is stored
    Then this and every later record is refused with storage_failed
    And a restart recovers at least 6 records

    Examples:
      | error  | call  |
      | ENOSPC | write |
      | EIO    | fsync |

  Scenario: A crash at any point of a snapshot
    Then a crash at any call while a snapshot is stored loses nothing
