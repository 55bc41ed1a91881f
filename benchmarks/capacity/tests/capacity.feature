Feature: Calculation of larger sizes
  docs/CAPACITY.md may hold no figure that the measured slopes do not give.

  Scenario: The page shows what the committed summary gives
    Given the committed summary and points
    When the tables are made from the summary
    Then the page holds exactly these tables

  Scenario: The summary is the fit of the committed points
    Given the committed summary and points
    When lines are fitted to the points
    Then they equal the summary

  Scenario: Every line of the model rests on measured points
    Given the committed summary and points
    Then each series that was varied has at least 4 points
    And the table of slopes names every series

  Scenario Outline: A line is the least-squares line
    Given the points <points>
    Then the slope is <slope> and the value at zero is <intercept>
    And the residual is <residual> of the largest value

    Examples:
      | points             | slope | intercept | residual |
      | 0:1 1:3 2:5 3:7    | 2     | 1         | 0        |
      | 10:4               | 0     | 4         | 0        |
      | 0:0 1:0 2:0 3:0    | 0     | 0         | 0        |
      | 0:0 1:1 2:1 3:2    | 0.6   | 0.1       | 0.15     |

  Scenario Outline: A verdict compares each size with the budget
    Given a line of values <first> and <second> against <budget>
    Then its verdict is "<verdict>"

    Examples:
      | first | second | budget | verdict      |
      | 1     | 2      | 3      | fits         |
      | 1     | 3      | 3      | fits         |
      | 1     | 4      | 3      | fits in part |
      | 4     | 5      | 3      | does not fit |
      | 4     | 5      | 0      |              |
