Feature: Revocation of leases
  Guards against a replacement that waits until grants expire, although the
  hosts have confirmed that they do not use them.

  # Seen in review/12: 4 of 39 revocations took 0.89 to 1.11 s.
  Scenario Outline: A host turns to another coordinator before it confirms
    Given a leader whose grants to a host last <s> s
    And another coordinator that made none to it and hears it after <ms> ms
    Then the leases are revoked after <least> to <most> s

    Examples:
      | s   | ms    | least | most |
      | 1.1 | 0     | 0.0   | 0.3  |
      | 1.1 | 150   | 0.14  | 0.5  |
      | 1.1 | 30000 | 1.0   | 1.4  |

  # Seen in the soak, seed 154: no write for the rest of the run.
  Scenario: A coordinator becomes a voter while leases are revoked
    Guards against a service that stays closed to writes, because the new voter
    renews the grants that it passes on and is never asked.

    Given a leader whose grants to a host last 0.3 s
    And a third coordinator that passes on grants and votes after 100 ms
    Then the leases are revoked after 0.1 to 2.0 s
