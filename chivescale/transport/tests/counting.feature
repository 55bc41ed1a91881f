Feature: Counting bytes between processes
  Guards against a figure for control traffic that differs from what crosses
  the network, on which capacity planning relies.

  Scenario Outline: Bytes of one exchange
    When a request of <sent> characters is answered with <received>
    Then client and server count what crossed the network, to within 40 bytes

    Examples:
      | sent   | received |
      | 0      | 0        |
      | 100    | 5000     |
      | 200000 | 10       |
