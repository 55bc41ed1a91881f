@leaving
Feature: Leaving endpoints
  Guards against work that reaches an endpoint that has announced its end.

  Scenario Outline: <who> leaves and <event>
    Given a load of reads and writes for 9 seconds
    When <who> leaves and <event>
    Then it gets no new statement from any host after 3 seconds
    And another endpoint is primary
    And the load was sound and no read failed

    Examples:
      | who         | event                             |
      | a replica   | its first announcement is dropped |
      | the primary | goes on                           |
      | a replica   | dies at once                      |
