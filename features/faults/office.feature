Feature: A replaced primary that an entry host still reaches
  Guards against reads of a replaced primary that are acknowledged as a
  transaction. The whole system runs in one process and virtual time.

  Scenario: A transaction that only reads on a replaced primary
    Given an entry host that hears the replaced primary but no control host
    When a row is confirmed in the new term through another host
    Then a transaction of that entry host reads the old data
    And its COMMIT is refused as did_not_run
