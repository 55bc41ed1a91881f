Feature: A coordinator that joins a group with a long log
  Guards against a successor that never catches up, so that the group loses
  its quorum for good with the next disk (aoq-chaine, 2026-12-05). Real files
  and connections.

  Scenario Outline: The successor of a lost host becomes a voter
    Given 4 coordinators on loopback that compact their log every <compacted> entries
    And <changes> configurations of <size> KB have been stored
    When a coordinator that does not lead is gone for good
    And a new coordinator starts
    Then the new coordinator votes within 8 s
    When another coordinator that does not lead loses its disk
    Then a configuration sent to each coordinator is accepted within 8 s

    Examples: logs longer than a message
      | changes | size | compacted |
      | 130     | 10   | 500       |
      | 150     | 20   | 90        |
      | 2       | 800  | 500       |

    Examples: short logs
      | changes | size | compacted |
      | 20      | 10   | 500       |
