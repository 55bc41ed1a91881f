Feature: Start of an entry host
  Guards against hosts that serve nobody after a power failure of a whole
  fleet, because they wait for packets that were lost while a coordinator had
  no power yet, or for an answer of one that has no contact to the others, and
  against hundreds of hosts whose polls keep coordinators overloaded.

  Scenario Outline: Fleet power failure: the first configuration
    Given coordinators that <first>, <second> and <third>
    Then a host that starts applies a configuration within <ms> ms

    Examples: packets to a coordinator without power are lost
      | first            | second           | third            | ms  |
      | answer           | answer           | answer           | 100 |
      | lose packets     | answer           | answer           | 450 |
      | lose packets     | lose packets     | answer           | 450 |
      | refuse           | refuse           | answer           | 200 |
      | lose packets     | refuse           | answer           | 450 |
      | answer uncertain | answer           | answer           | 200 |

  Scenario Outline: Herd of starts: polls of a host that get no answer
    Then a host without a configuration polls at most <count> times in <seconds> s

    Examples: packets lost at every coordinator; without backoff 6 a second
      | seconds | count |
      | 1       | 8     |
      | 10      | 20    |
      | 60      | 60    |
