Feature: Coordinators whose disks are full for a while
  Guards against configurations that are refused or stay unanswered long after
  the disks have room again, although every process runs. Disks are full one
  after another, never two at once. Real files and connections.

  Scenario Outline: Disks that are full in turn
    Given <members> coordinators on loopback
    When the disk of each is full for <s> s in turn, <first> first, while configurations are stored
    Then configurations were accepted while a disk was full
    And every coordinator votes again within 3 s
    And a configuration sent to each coordinator is accepted at the first call
    And every coordinator reads back the newest configuration

    Examples:
      | members | s   | first         |
      | 3       | 1.2 | the leader    |
      | 3       | 1.2 | a follower    |
      | 4       | 1.2 | the leader    |

  Scenario: The disks are full when the log is compacted
    Given 3 coordinators on loopback that compact their log every 5 entries
    When the disk of each is full for 1.2 s in turn, the leader first, while configurations are stored
    Then every coordinator votes again within 3 s
    And a configuration sent to each coordinator is accepted at the first call

  Scenario Outline: An unexpected error in a permanent task
    Given 3 coordinators on loopback
    When the <task> of each coordinator fails once unexpectedly
    And the disk of each is full for 0.6 s in turn, a follower first, while configurations are stored
    Then every coordinator votes again within 3 s
    And a configuration sent to each coordinator is accepted at the first call

    Examples:
      | task        |
      | membership  |
      | distributor |
