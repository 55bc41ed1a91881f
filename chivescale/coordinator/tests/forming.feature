Feature: The first start of a group of coordinators
  Guards against a group that never forms because one process ended in the
  first second and started again without the permission to form, and against
  a second group. Real files and connections.

  # Guards against the review's finding beyond its five cases: killed within
  # 0.5 s after the first start, a process kept the group from forming.
  Scenario Outline: A process of the first start ends before the group forms
    Given 3 coordinators that start for the first time, one of them late
    When <ended> end and start again without the permission to form
    And the late one starts
    Then the group forms within 5 s

    Examples:
      | ended                 |
      | the first             |
      | the first and second  |

  Scenario Outline: A process that must not form a group
    Given 3 coordinators that start for the first time, one of them late
    When the first ends, <change>, and it starts again without the permission to form
    And the late one starts
    Then the group has not formed after 3 s

    Examples:
      | change                    |
      | its disk is lost          |
      | its seeds have changed    |

  Scenario: A member that lost its disk forms no second group
    Given 3 coordinators that start for the first time, one of them late
    When the late one starts
    Then the group forms within 5 s
    When all end and two of them lose their disks
    And all start again without the permission to form
    Then nobody leads within 3 s
