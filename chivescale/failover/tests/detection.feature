Feature: Failure detection
  Guards against promotions caused by normal events (a pause up to 300 ms, one
  unresponsive connection, one watcher that is cut off) and against failed
  primaries that are not detected.

  Scenario Outline: Verdict on one endpoint
    Given an endpoint that answered every probe for 2 s
    When from then on it <behaves> for <ms> ms
    Then the detector says <verdict>

    Examples:
      | behaves                               | ms   | verdict |
      | answers                               | 1000 | healthy |
      | pauses                                | 300  | healthy |
      | pauses                                | 600  | silent  |
      | answers only on fresh connections     | 3000 | healthy |
      | answers none on fresh connections     | 3000 | healthy |
      | refuses                               | 100  | refused |
      | refuses once                          | 1000 | healthy |
      | breaks every established connection   | 1000 | healthy |
      | loses every second fresh probe        | 3000 | healthy |
      | loses every second probe              | 3000 | healthy |

  Scenario: The first answer ends the verdict
    Given an endpoint that answered every probe for 2 s
    When from then on it pauses for 1000 ms
    And from then on it answers for 200 ms
    Then the detector says healthy

  Scenario: A pause of the watcher does not count as silence of the endpoint
    Given an endpoint that answered every probe for 2 s
    When the watcher itself pauses for 2000 ms
    Then the detector says healthy

  Scenario Outline: A watcher short of processor time allows for its own delay
    Given an endpoint that answered every probe for 2 s
    When the watcher's timers are <late> ms late from then on
    And from then on it pauses for <ms> ms
    Then the detector says <verdict>

    Examples:
      | late | ms   | verdict |
      | 0    | 600  | silent  |
      | 60   | 600  | healthy |
      | 60   | 1500 | silent  |
      | 200  | 900  | healthy |
      | 200  | 2000 | silent  |

  Scenario Outline: Verdict of a watcher
    Given a watcher of voters a, b and c with primary a in term 4
    When b reports contact <b> in term <b term> and c contact <c>
    Then the watcher says <verdict>

    Examples:
      | b    | b term | c    | verdict  |
      | 20   | 4      | 20   | healthy  |
      | 400  | 4      | 400  | healthy  |
      | 900  | 4      | 900  | detached |
      | 900  | 4      | 20   | healthy  |
      | 900  | 5      | 900  | healthy  |
      | -1   | 4      | 900  | detached |

  Scenario Outline: Majority of the watchers
    Given suspicions of <hosts> on the primary in term <term>
    When <alive> of the watchers are alive
    Then after <ms> ms the agreed verdict is <verdict>

    Examples:
      | hosts      | term | alive      | ms   | verdict          |
      | h1         | 4    | h1, h2, h3 | 0    | none             |
      | h1, h2     | 4    | h1, h2, h3 | 0    | silent           |
      | h1, h2     | 4    | h1, h2, h3 | 900  | silent           |
      | h1, h2     | 4    | h1, h2, h3 | 1100 | none             |
      | h1, h2     | 3    | h1, h2, h3 | 0    | none             |
      | h1, h9     | 4    | h1, h2, h3 | 0    | none             |
      | h1         | 4    | h1, h2     | 0    | none             |
      | h1         | 4    | h1         | 0    | silent if probed |

  Scenario: A recovered primary withdraws the suspicion
    Given suspicions of h1, h2 on the primary in term 4
    When h2 reports healthy
    Then after 0 ms the agreed verdict is none
