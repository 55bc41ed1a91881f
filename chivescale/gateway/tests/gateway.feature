Feature: Selection of gateways
  Guards against exceeding the connection limit of an endpoint, load that is
  concentrated on few hosts, zones without a gateway of a service, and assignments that change with every host that
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

  Scenario Outline: Zone partition: each zone has gateways of its own
    Given <hosts> hosts in <zones> zones and 4 services whose endpoints accept 68, <per> a gateway
    Then each zone has <least> to <most> gateways of each service

    Examples: 13 gateways with 5 connections, 34 with 2
      | hosts | zones | per | least | most |
      | 194   | 6     | 5   | 2     | 3    |
      | 127   | 4     | 5   | 3     | 4    |
      | 72    | 6     | 5   | 1     | 5    |
      | 3200  | 6     | 5   | 2     | 3    |
      | 3200  | 6     | 2   | 5     | 6    |

  Scenario: The end of any host moves at most its own work
    Given 194 hosts in 6 zones and 4 services whose endpoints accept 68, 5 a gateway
    Then a service loses 1 gateway at most and gains one for each lost

  Scenario Outline: Many databases: a host plans the gateways of all
    Given <hosts> hosts in 6 zones and <services> services
    Then a plan takes less than 2 s of processor time
    And each service has 2 or more gateways in each zone
    And no host works for more than 3 times the mean
    And the end of a host changes only the services that it worked for

    Examples: 3.5 services a host, as at the full size
      | hosts | services |
      | 100   | 350      |
      | 300   | 1045     |

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

  # Guards against a new connection to an endpoint for each statement, where
  # connections belong to workspaces.
  Scenario: A workspace prefers few gateways
    Given 4 gateways near and 4 far, all without load
    Then each of 85 workspaces uses one near gateway
    And no near gateway is preferred by more than 40 of them
    And the end of a gateway moves only the workspaces that preferred it

  Scenario: One workspace at several times its usual spreads over gateways
    Given 4 gateways near and 4 far, all without load
    When 40 statements of one workspace wait
    Then each near gateway has 3 to 15 of them

  Scenario Outline: Zone partition: a host without coordinators asks gateways
    Given a host of zone near and gateways that answer <answers>
    Then the host <reaches> the service

    Examples: name, zone, answer
      | answers                                    | reaches       |
      | a near works, b far silent                 | reaches       |
      | a near isolated, b far silent              | cannot reach  |
      | a near isolated, b far works               | reaches       |
      | a near isolated, b far isolated            | reaches       |
      | a near silent, b far silent                | cannot reach  |
      | a near isolated, b near works, c far silent | reaches      |
      | b far silent, c farther works              | reaches       |
      | a near old                                 | reaches       |
