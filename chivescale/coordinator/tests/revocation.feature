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
