Feature: Configuration of routes and services
  Guards against accepting a configuration that cannot be served, and against
  an older version that replaces a newer one.

  Scenario Outline: Validation
    Given a configuration with <case>
    Then it is <verdict>

    Examples:
      | case                                | verdict                                       |
      | one valid route and service         | valid                                         |
      | no routes and services              | valid                                         |
      | routes of one database, 2 prefixes  | valid                                         |
      | a route to an unknown service       | rejected: unknown service other               |
      | two routes with the same key        | rejected: duplicate database and prefix       |
      | a statement timeout of 0            | rejected: statement timeout must be positive  |
      | two services with the same name     | rejected: duplicate service name              |
      | a route without a database          | rejected: database is empty                   |

  Scenario Outline: The highest version is current
    Given stored versions <stored>
    When version <version> is stored
    Then it is acknowledged and <effect>, and version <current> is current

    Examples:
      | stored  | version | effect          | current |
      | none    | 3       | changes state   | 3       |
      | 3       | 7       | changes state   | 7       |
      | 3, 7    | 7       | changes nothing | 7       |
      | 3, 7    | 5       | changes nothing | 7       |
