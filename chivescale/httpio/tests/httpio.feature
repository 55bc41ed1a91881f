Feature: HTTP between hosts
  Guards against input that ends a process or a connection that others use,
  and against a failure that arrives as another one. Loopback only.

  Scenario Outline: What a server answers
    Given a server
    When it is sent <input>
    Then it answers <status>
    And it still answers an ordinary request

    Examples:
      | input                             | status  |
      | an ordinary request               | 200     |
      | two requests in one packet        | 200     |
      | a request line of noise           | 400     |
      | a body above the limit            | 413     |
      | half a request, then a close      | nothing |
      | a request whose handler fails     | 500     |

  Scenario Outline: What a client tells of a call
    Given a server that <behaves>
    When a client calls it
    Then the call ends as <kind>

    Examples:
      | behaves                               | kind            |
      | answers with a message                | success         |
      | answers with the failure "no_quorum"  | no_quorum       |
      | answers with an unknown failure       | internal        |
      | answers 503 without a body            | message_invalid |
      | does not answer                       | timeout         |
      | closes without an answer              | timeout         |
      | does not listen                       | unreachable     |

  # Guards against a large answer that a slow link never carries within the
  # time-out, so that the same request is repeated for good.
  Scenario Outline: An answer that goes on arriving after the time-out
    Given a server whose answer of <kb> KB arrives at <rate> KB/s and stalls after <sent> KB
    When a client calls it that allows 0.3 s and <transfer> s for the transfer
    Then the call ends as <kind>
    And it took <least> to <most> s

    Examples:
      | kb  | rate | sent | transfer | kind    | least | most |
      | 120 | 100  | 120  | 5        | success | 1.0   | 2.5  |
      | 120 | 100  | 120  | 0        | timeout | 0.2   | 0.6  |
      | 120 | 100  | 120  | 0.5      | timeout | 0.7   | 1.2  |
      | 120 | 100  | 60   | 5        | timeout | 0.8   | 1.8  |
      | 120 | 100  | 0    | 5        | timeout | 0.2   | 0.6  |
