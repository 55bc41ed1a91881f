Feature: Load tool
  Guards against a load tool that overlooks lost, doubled, denied or torn
  writes or stale reads, and against one that accuses a sound system.

  Scenario Outline: What the final check finds
    Given a <kind> with outcome <outcome>
    When its rows are present <counts> times
    Then the report names <finding>

    Examples:
      | kind        | outcome     | counts | finding             |
      | write       | confirmed   | 1      | nothing             |
      | write       | confirmed   | 0      | lost                |
      | write       | confirmed   | 2      | doubled             |
      | write       | did_not_run | 0      | nothing             |
      | write       | did_not_run | 1      | ran_although_denied |
      | write       | unknown     | 0      | nothing             |
      | write       | unknown     | 1      | nothing             |
      | write       | unknown     | 2      | doubled             |
      | keyed       | confirmed   | 1      | nothing             |
      | keyed       | confirmed   | 2      | doubled             |
      | transaction | confirmed   | 1,1    | nothing             |
      | transaction | confirmed   | 0,1    | lost,torn           |
      | transaction | unknown     | 1,0    | torn                |
      | transaction | did_not_run | 1,1    | ran_although_denied |

  Scenario: Reads of a replica that is cut off are found stale
    Given a group of 2 endpoints with primary e0 in term 1
    When the load tool reads from e0 and from e1, which is cut off
    Then it reports stale own reads and nothing else

  Scenario: The longest gap between confirmed writes
    Given writes confirmed at 0.1, 0.2, 0.9 and 1.0 seconds
    Then the report gives a gap of 700 ms at 0.2 s

  Scenario Outline: How an error is understood
    Given a group of 2 endpoints with primary e0 in term 1
    When a load connection fails by <event>
    Then the write may have run: <ran>

    Examples:
      | event                            | ran |
      | a refused statement              | no  |
      | a refused connection             | no  |
      | the loss of a running connection | yes |
