Feature: Stand-in endpoints as processes
  Guards against a stand-in that forgets what it acknowledged or promised
  when its process is killed.

  Scenario: Acknowledged writes survive a kill during writes
    Given two endpoint processes with primary e0
    When e0 is killed with SIGKILL while a driver writes and starts again
    Then e0 is fenced and holds every acknowledged write and no torn one
    And its position is at least that of the last acknowledged write

  Scenario: A promise survives a kill
    Given two endpoint processes with primary e0
    When e1 promises term 2, is killed with SIGKILL and starts again
    Then e1 refuses term 1 and may be promoted for term 2

  Scenario: A frozen process misses nothing and mixes nothing
    Given two endpoint processes with primary e0
    When e0 is stopped by SIGSTOP for 700 ms while a driver writes
    Then the writes go on afterwards and e1 catches up

  Scenario: The load program finds a sound endpoint
    Given two endpoint processes with primary e0
    Then the load program runs for 2 seconds and finds no violation

  Scenario: Invalid settings end the program
    Then the program with slots "many" exits with 2 and names the setting
