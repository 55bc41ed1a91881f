Feature: Barriers
  Guards against a read that misses a write that was confirmed before the read
  arrived.

  Scenario Outline: Outcome of a round by the answers of the endpoints
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers <answers> arrive
    Then the barrier is <outcome>

    Examples:
      | answers                        | outcome               |
      | b:2:2.91                       | pending               |
      | b:2:2.91 b:2:2.91              | pending               |
      | b:2:2.91 c:2:2.90              | 2.91 promised 2 at b  |
      | b:2:2.90 c:2:2.90              | 2.90 promised 2 at bc |
      | b:2:2.91 c:3:2.90              | 2.91 promised 3 at -  |
      | a:1:1.100 b:2:2.91             | 2.91 promised 2 at b  |
      | a:2:1.100 c:2:2.91             | 2.91 promised 2 at c  |
      | b:2:2.91 c:2:9.99:lost         | pending               |
      | b:2:2.91 d:2:2.99              | pending               |
      | b:2:2.91 c:3:3.92              | deferred              |
      | b:2:1.91 c:2:1.92              | deferred              |
      | b:- c:-                        | no_quorum             |
      | b:- c:2:2.90 a:2:2.91          | 2.91 promised 2 at a  |
      | b:- b:2:2.91 c:2:2.90          | 2.91 promised 2 at b  |

  Scenario: Pending reads share a round; a later read uses the next one
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.5 arrive
    And read 2 joins and the answers c:2:2.5 arrive
    Then reads 1 are ready
    And round 2 is in progress for reads 2

  Scenario: The primary is contacted when the replicas are slow
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.5 arrive
    Then the endpoints contacted are b, c
    When 0.021 s pass
    Then the endpoints contacted are a, b, c

  Scenario: The primary is contacted immediately after a replica missed a round
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.5 arrive
    And 0.021 s pass
    And the first round gets the answers a:2:2.5
    And read 2 joins and the answers a:2:2.5 arrive
    Then the endpoints contacted are a, b, c

  Scenario: A replica that answers late is no longer considered slow
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.5 arrive
    And 0.021 s pass
    And the first round gets the answers a:2:2.5 c:2:2.5
    And read 2 joins and the answers b:2:2.5 arrive
    Then the endpoints contacted are b, c

  Scenario: A second round on new connections starts when the first stalls
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.5 arrive
    And 0.11 s pass
    Then round 2 is in progress for reads 1
    And new connections are used
    When the second round gets the answers b:2:2.6 c:2:2.5
    Then reads 1 are ready

  Scenario Outline: A round without a quorum fails
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers <answers> arrive
    And <seconds> s pass
    Then the barrier is <outcome>

    Examples:
      | answers           | seconds | outcome            |
      | b:2:2.5           | 0.7     | no_quorum          |
      | b:2:2.5 c:3:3.6   | 5.1     | freshness_unproved |

  Scenario: A term with other voters starts a new round with these voters
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.91 c:3:3.92 arrive
    And term 3 is published with voters b, c, d and primary c
    Then round 2 is in progress for reads 1
    And the endpoints contacted are b, d
    When the second round gets the answers b:3:3.92 d:3:3.93
    Then the barrier is 3.93 promised 3 at d

  Scenario: Answers of a round that started before a new term do not count
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.91 arrive
    And term 3 is published with voters b, c, d and primary c
    And the first round gets the answers c:3:3.92
    Then the barrier is pending

  Scenario: The age of a barrier is counted from its request, not its answers
    Given voters a, b, c with primary a in term 2
    When read 1 joins and the answers b:2:2.91 arrive
    And 0.01 s pass
    And the first round gets the answers c:2:2.91
    Then the barrier was sent 0.01 s ago
