Feature: Configuration of routes and services
  Guards against a configuration that is accepted although it cannot be
  served, and against one that is overtaken but comes into force.

  Scenario Outline: Validation
    Given a configuration with <change>
    Then it is <verdict>

    Examples:
      | change                              | verdict                    |
      | nothing unusual                     | valid                      |
      | no routes at all                    | valid                      |
      | two routes of one database, 2 keys  | valid                      |
      | a route to an unknown service       | refused for unknown service|
      | two routes with the same key        | refused for same key       |
      | a statement limit of 0              | refused for time limit     |
      | two services of one name            | refused for share a name   |
      | a route without a database          | refused for no database    |

  Scenario Outline: The highest version is in force
    Given stored versions <stored>
    When version <version> is stored
    Then it is acknowledged and <effect>, and version <held> is in force

    Examples:
      | stored  | version | effect          | held |
      | none    | 3       | changes state   | 3    |
      | 3       | 7       | changes state   | 7    |
      | 3, 7    | 7       | changes nothing | 7    |
      | 3, 7    | 5       | changes nothing | 7    |
