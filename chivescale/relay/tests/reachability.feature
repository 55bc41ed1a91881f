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
