@system
Feature: Operating a running system
  Guards against operator's commands that report something else than what
  the processes do. Each scenario leaves a healthy system to the next one.

  Scenario: A new system is healthy
    Then the status names 5 control hosts, 3 entry hosts and 3 endpoints
    And the status is healthy

  Scenario: A sheet is in force everywhere, and its number is used once
    When sheet 2 with the rate limit 100 is applied
    Then it comes in force on every entry host
    And applying it again succeeds as a repetition
    And another sheet of number 2 is refused as sheet_conflict
    And the first sheet is refused as stale_sheet
    And the sheet in force has the rate limit 100

  Scenario: A killed primary is reported until it is back
    When the primary of ledger is killed
    Then the status names it as a problem and another primary
    When it is started again
    Then the status is healthy

  Scenario: A control host that lost its disk is admitted again
    When a control host that does not lead loses its data folder
    And it is started again
    Then the status says that it follows no leader
    When the operator replaces it
    Then it votes again and holds the same state
    And the status is healthy

  Scenario: A drained host finishes the open transaction first
    Given a transaction with one write on an entry host
    When the operator drains that host
    Then the host is not ready and still serves new callers
    And the transaction commits
    And the host refuses new callers within 4 s
    And the operator learns that the host serves no caller

  # Guards against a host that is called drained while load balancers still
  # send it callers.
  Scenario: A host without callers has drained once no more can come
    When the operator drains entry-2 and waits for its end
    Then the operator learned this after 2 s at least
    And the host refuses new callers within 1 s
    When it is restarted
    Then the status is healthy

  Scenario: A host with an open transaction ends at once on a second signal
    Given a transaction with one write on an entry host
    When the host gets SIGTERM
    Then it drains and still runs
    When the host gets SIGTERM
    Then it ends with exit code 1
    When it is started again
    Then the status is healthy

  Scenario: A host without callers ends gracefully
    When an entry host without callers gets SIGTERM
    Then it ends with exit code 0
    When it is started again
    Then the status is healthy
