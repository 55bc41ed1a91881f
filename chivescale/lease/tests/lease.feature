Feature: Leases on primaries
  Guards against two primaries that are in use at once where a primary that
  was replaced does not know it: a write confirmed by the former one, and a
  read that misses a commit of the new one. Also guards against promotions
  that wait for hosts which have confirmed. No network.

  Scenario Outline: A host holds a lease that a majority grants
    Given epoch <epoch> and grants <grants> of <voters> voters
    Then the lease <lasts>

    Examples: member, seconds left, highest epoch known to it, withheld
      | epoch | grants                            | voters | lasts         |
      | 0     | a 1.8 0, b 1.5 0                  | 3      | lasts 1.5 s   |
      | 0     | a 1.8 0, b 1.5 0, c 1.7 0         | 3      | lasts 1.7 s   |
      | 0     | a 1.8 0, b 1.5 0                  | 4      | is not held   |
      | 0     | a 1.8 0, b 1.5 0, c 0.4 0         | 4      | lasts 0.4 s   |
      | 7     | a 1.8 7, b 1.5 5                  | 3      | is not held   |
      | 7     | a 1.8 7, b 1.5 7, c 1.7 5         | 3      | lasts 1.5 s   |
      | 5     | a 1.8 5, b 1.5 7                  | 3      | is not held   |
      | 7     | a 1.8 7, b 1.5 7 withheld         | 3      | is not held   |
      | 0     | a 1.8 0                           | 1      | lasts 1.8 s   |

  Scenario: Grants that refer to different sets of voters are not added up
    Given epoch 0 and grants a 1.8 0 of 3 voters
    When grants b 1.8 0 of 3 other voters arrive
    Then the lease is not held

  Scenario: A host may finish writes under a replaced epoch, until it confirms
    Given epoch 5 and grants a 1.8 5, b 1.5 5 of 3 voters
    When epoch 7 begins
    Then the lease on epoch 5 is held for 1.5 s and not longer
    When the host confirms
    Then the lease on epoch 5 is not held

  Scenario: No lease is held while a primary is being replaced
    Given epoch 5 and grants a 1.8 5, b 1.5 5 of 3 voters
    When epoch 7 begins, which is closed, with grants a 1.8 7, b 1.5 7
    Then the lease on epoch 5 is held for 1.5 s and not longer
    And the lease on epoch 7 is not held
    When the host confirms
    And epoch 9 begins
    Then the lease on epoch 5 is not held
    And the lease on epoch 7 is not held

  Scenario: The clock of a host may be slower than that of a coordinator
    Given epoch 0 and grants a 1.8 0 of 1 voters
    Then the lease is not held when 1.8 s have passed on a slower clock

  Scenario Outline: A coordinator confirms a revocation
    Given a coordinator that started <started> s ago and knows epoch <known>
    And a host that got a grant <ago> s ago and confirmed epoch <confirmed>
    Then revocation up to epoch 7 is <outcome>

    Examples:
      | started | known | ago | confirmed | outcome   |
      | 100     | 7     | 0.5 | 7         | confirmed |
      | 100     | 7     | 0.5 | 9         | confirmed |
      | 100     | 7     | 0.5 | 5         | pending   |
      | 100     | 7     | 1.2 | 5         | confirmed |
      | 100     | 5     | 1.2 | 5         | pending   |
      | 1.0     | 7     | 0.5 | 7         | pending   |
      | 1.2     | 7     | 0.5 | 7         | confirmed |

  Scenario: A host that stops gives its lease up
    Given a coordinator that started 100 s ago and knows epoch 7
    And a host that got a grant 0.5 s ago and confirmed epoch 5
    When the host releases its leases
    Then revocation up to epoch 7 is confirmed

  Scenario: A grant that is passed on binds the host as well
    Given a coordinator that passes on a grant of which 0.9 s are left
    Then a host is granted at most 0.9 s of it

  Scenario Outline: Grants to other coordinators that a revocation waits for
    Guards against a promotion that waits as long as a coordinator which the
    leader does not reach renews its grants at another one.

    Given a coordinator that started 100 s ago and knows epoch 5
    And another coordinator that renewed its grant <before> s ago
    And that learned epoch 7 <learned> s ago
    And another coordinator that renewed its grant <after> s ago
    Then revocation up to epoch 7 waits <waits> s for grants that are passed on

    Examples:
      | before | learned | after | waits |
      | 0.6    | 0.5     | 0.1   | 0.5   |
      | 2.0    | 0.5     | 0.1   | 0.0   |
      | 0.4    | 0.4     | 0.0   | 0.7   |

  Scenario Outline: The leader orders a promotion
    Given members that answered <answers>
    Then former leases <ended> after <s> s

    Examples: members a to d; to whom it passed grants on, for how long
      | answers                                    | s   | ended          |
      | a cleared, b cleared, c pending            | 0   | have ended     |
      | a cleared, b pending, c pending            | 9   | may still hold |
      | a cleared, b cleared                       | 0   | have ended     |
      | a cleared, b cleared, d cleared            | 0   | have ended     |
      | a cleared + c 1.5, b cleared, c pending    | 1.4 | may still hold |
      | a cleared + c 1.5, b cleared, c pending    | 1.6 | have ended     |
      | a cleared + b 1.5, b cleared + a 1.5       | 0   | have ended     |
      | a cleared + c 1.5, b cleared, c cleared    | 0   | have ended     |
      | a awaits h1 0.5, b cleared, c pending      | 0.4 | may still hold |
      | a awaits h1 0.5, b cleared, c pending      | 0.6 | have ended     |
      | a awaits h1 0.5, b confirms h1, c pending  | 0   | have ended     |
      | a awaits h1 0.5, b confirms h2, c pending  | 0   | may still hold |

  Scenario Outline: Random events
    When random events with <members> coordinators happen in many runs
    Then no rule is broken, and writes, reads and promotions took place

    Examples:
      | members |
      | 3       |
      | 4       |

  Scenario Outline: The random events find what leases prevent
    When <steps> random events of seed <seed> happen with the flaw "<flaw>"
    Then a rule is broken

    Examples:
      | flaw                 | seed | steps  |
      | no leases            | 1    | 2000   |
      | no leases            | 2    | 2000   |
      | answers not verified | 4    | 10000  |
      | answers not verified | 2    | 10000  |
      | claimant promoted    | 8    | 30000  |
