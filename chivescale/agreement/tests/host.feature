Feature: Agreement hosts over the network
  Guards against wrong results for commands, a group that is blocked by an
  unresponsive connection, and a member that continues after a disk failure.

  Background:
    Given 3 agreement hosts on loopback

  Scenario: Commands and reads
    Then 300 concurrent commands are applied once, in the same order, by all
    And the leader confirms a read at or above the last command
    And a follower rejects commands and returns the leader's address

  Scenario: Unresponsive connections do not block the group
    When every open connection between members becomes unresponsive
    Then a command is accepted
    When every open connection between members becomes unresponsive
    Then a command is accepted

  Scenario: The leader stops and returns
    Then 300 concurrent commands are applied once, in the same order, by all
    When the leader is closed
    Then a command is accepted
    When the closed member starts again
    Then all members apply the same commands

  Scenario: Without a quorum no command or read is confirmed
    When both followers are closed
    Then a command ends with outcome_unknown and no read is confirmed

  Scenario: A member with a full disk stops
    When the disk of the leader is full
    And a command is sent to it
    Then the command ends with outcome_unknown and the member is stopped
    And a command is accepted
    And the stopped member replies to requests with storage_failed

  Scenario: A member that lost its disk is replaced
    When a follower loses its disk and starts again
    And the leader replaces it
    Then it becomes a voter with its new incarnation
    And all members apply the same commands
