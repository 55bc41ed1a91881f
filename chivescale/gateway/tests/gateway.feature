Feature: Selection of gateways
  Guards against exceeding the connection limit of an endpoint, load that is
  concentrated on few hosts, and assignments that change with every host that
  joins or leaves. No network.

  Scenario Outline: Scarce connections: which hosts connect to a service
    Given <hosts> hosts and 4 services whose endpoints accept <connections>
    Then <least> to <most> hosts connect to each service
    And they hold at most <connections> connections to an endpoint

    Examples: two connections per gateway, one per host if all hosts connect
      | hosts | connections | least | most |
      | 17    | 30          | 17    | 17   |
      | 106   | 300         | 106   | 106  |
      | 106   | 63          | 14    | 31   |
      | 300   | 63          | 20    | 31   |
      | 3200  | 63          | 31    | 31   |
      | 2     | 1           | 1     | 1    |

  Scenario: The removal of a host does not reassign other hosts
    Given 106 hosts and 4 services whose endpoints accept 63
    When one host is removed
    Then each other host connects to the same services as before

  Scenario: Few hosts are assigned no service
    Given 106 hosts and 4 services whose endpoints accept 300
    When the endpoints accept 63
    Then at most 12 hosts connect to no service

  Scenario Outline: Which gateway a statement goes to
    Given gateways <gateways>
    Then a statement goes to <choice>

    Examples: name, zone, reported load, state
      | gateways                          | choice  |
      | a near 0, b far 0                 | a       |
      | a near 5, b near 1                | b       |
      | a near 9, b far 0                 | b       |
      | a near 0 leaving, b far 3         | b       |
      | a near 0 failed, b far 3          | b       |
      | a near 0 failed                   | nothing |
