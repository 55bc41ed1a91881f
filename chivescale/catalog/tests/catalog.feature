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
      | a workspace without keys            | valid                                         |
      | two workspaces with keys            | valid                                         |
      | two workspaces that share a key     | rejected: workspace 1 (loom): key 0 also belongs to workspace mill |
      | a workspace with a key twice        | rejected: workspace 0 (mill): duplicate key   |
      | two workspaces with the same name   | rejected: workspace 1 (mill): duplicate workspace name |

  # Guards against callers that are served under another workspace, or refused
  # although their key is known.
  Scenario Outline: The key of a caller names its workspace
    Given a configuration with <case>
    When a caller with the key "<key>" uses a <kind> route
    Then it is <outcome>

    Examples:
      | case                        | key | kind    | outcome                       |
      | one valid route and service | k1  | private | served without a workspace    |
      | two workspaces with keys    | k1  | private | served as mill                |
      | two workspaces with keys    | k2  | private | served as mill                |
      | two workspaces with keys    | k3  | private | served as loom                |
      | two workspaces with keys    | k4  | private | refused: authentication_failed |
      | two workspaces with keys    |     | private | refused: authentication_failed |
      | two workspaces with keys    | k4  | public  | served without a workspace    |
      | two workspaces with keys    | k3  | public  | served as loom                |
      | a workspace without keys    | k1  | private | refused: authentication_failed |

  Scenario: Entry hosts receive no key
    Given a configuration with two workspaces with keys
    Then its encoded form contains none of the keys k1, k2 and k3

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
