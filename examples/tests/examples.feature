Feature: Examples
  Guards against example files that a newcomer copies and that the programs
  then refuse.

  Scenario Outline: Files of an operator
    Then the settings of <operator> are valid for the roles entry and control
    And the endpoint of <operator> has <slots> slots and <connections> connections
    And the sheet of <operator> has 3 services of 3 endpoints
    And the hashes of <operator> are those of the example secrets

    Examples:
      | operator    | slots | connections |
      | association | 2     | 35          |
      | velos       | 3     | 80          |

  Scenario: The embedding example
    Then the embedding example confirms its write and finds a replica
