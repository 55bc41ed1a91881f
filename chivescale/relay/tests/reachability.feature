Feature: Endpoints of an entry host that polls coordinators in turn
  Guards against a host that closes its connections to a working primary and
  reports ready and not ready by turns, because one of several coordinators
  without a quorum has heard nothing of that primary.

  # Incident of aoq-chaine: cut_off True and False each 0.1 to 0.9 s.
  Scenario Outline: A primary of which one coordinator hears nothing
    Given a host that uses a primary and polls coordinators without a quorum
    And <unaware> of 3 coordinators consider the primary silent
    When the host polls them in turn for 2 s
    Then the host changes its reachability <changes> times
    And the host forgets the primary <forgotten> times

    Examples:
      | unaware | changes | forgotten |
      | 0       | 0       | 0         |
      | 1       | 0       | 0         |

    # The host knows only the first heartbeat and drops the primary once.
    @known_red
    Examples: the host asks no coordinator that hears the primary for 30 s
      | unaware | changes | forgotten |
      | 2       | 0       | 0         |

  # Seen in review/14: two of three hosts reported a primary as reachable 30 ms
  # after its crash, and it was not replaced for a second.
  Scenario Outline: What a host reports of a suspected primary
    Guards against a report that rests on a response from before a crash.

    Given a host that got a response <before> ms ago
    When the primary <behaves> while the host checks it
    Then the host reports it as <report> after at most <ms> ms
    And the host has opened <connections> connections

    Examples:
      | before | behaves                  | report      | ms  | connections |
      | 5      | refuses connections      | unreachable | 130 | 1           |
      | 5      | responds every 20 ms     | reachable   | 80  | 0           |
      | 5      | accepts connections      | reachable   | 130 | 1           |
      | 5      | has no connection free   | reachable   | 130 | 1           |
      | 400    | refuses connections      | unreachable | 60  | 1           |
      | 400    | accepts connections      | reachable   | 60  | 1           |
