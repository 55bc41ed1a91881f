Feature: Cluster command
  Guards against processes that outlive the command and against a
  description that does not let tests and operators use the system.

  Scenario: A described system that ends on Ctrl-C
    Given a running cluster command
    Then its file names 3 entry hosts, 5 control hosts and 9 endpoints in 3 zones
    And every named process runs
    And a workspace of the file can write to every service of the file
    And the fault control of every endpoint answers
    When the cluster command is interrupted
    Then it ends with exit code 0 and none of its processes runs
