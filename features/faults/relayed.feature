@relayed
Feature: Connections between own processes that go silent
  Guards against a system that waits on connections that never answer again
  although new ones work.

  Scenario: Connections between control hosts and from entry hosts go silent
    Given a system whose hosts reach control hosts through relays
    And a load with keyed writes for 7 seconds
    When all open connections through the relays go silent
    Then a sheet is accepted and in force within 4 seconds
    When all open connections through the relays go silent
    Then a sheet is accepted and in force within 4 seconds
    And the load was sound and wrote after the fault
    And no statement of the load failed
