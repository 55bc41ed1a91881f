Feature: Statistics and report of the benchmarks
  Guards against figures that no complete run produced, and against
  percentiles that are too low because they were interpolated.

  Scenario Outline: Percentiles are measured values
    Then percentile <rank> of <values> is <result>

    Examples:
      | values           | rank | result |
      | 5                | 99   | 5      |
      | 4 1 3 2          | 50   | 2      |
      | 4 1 3 2          | 51   | 3      |
      | 1 2 3 4 5 6 7 99 | 99   | 99     |
      | 1 2 3            | 100  | 3      |

  Scenario Outline: Percentiles without meaning are refused
    Then percentile <rank> of <values> is refused

    Examples:
      | values | rank |
      | none   | 50   |
      | 1 2    | 0    |
      | 1 2    | 101  |

  Scenario: A percentile has its share of the values at or below it
    Then any percentile of any values has its share at or below it

  Scenario Outline: Gaps around a fault
    When writes are accepted at <times>
    Then the longest gap between <start> and <end> is <gap>

    Examples:
      | times           | start | end | gap  |
      | 0 1 1.5 4 9     | 1.2   | 3   | 2.5  |
      | 9 4 1.5 1 0     | 1.2   | 3   | 2.5  |
      | 0 5 5.1 5.2     | 5.1   | 6   | 0.1  |
      | 0 1             | 2     | 3   | none |
      | 1               | 0     | 3   | none |

  Scenario Outline: The position in force at a time
    When positions 10, 20 and 30 are reached at 1, 2 and 3 s
    Then the position at <at> s is <position>

    Examples:
      | at  | position |
      | 0.9 | none     |
      | 1   | 10       |
      | 2.9 | 20       |
      | 99  | 30       |

  Scenario: The report takes the figures of a complete run
    Given a complete run with figure gap of 12.34 from 30 of 30 measurements
    Then the template "p99 {{trial:gap:.1f}} by {{trial:seed}}" gives "p99 12.3 by 7"

  Scenario Outline: The report refuses other runs
    Given a complete run with figure gap of 12.34 from <count> of 30 measurements
    And the run is changed: <change>
    Then the template "{{trial:<figure>}}" is refused with "<reason>"

    Examples:
      | count | change       | figure | reason             |
      | 30    | quick        | gap    | quick run          |
      | 30    | no end       | gap    | interrupted        |
      | 30    | row removed  | gap    | lines are missing  |
      | 30    | torn line    | gap    | trial.jsonl        |
      | 30    | file removed | gap    | no such run        |
      | 29    | nothing      | gap    | rests on 29 of 30  |
      | 30    | no value     | gap    | rests on           |
      | 30    | nothing      | other  | no figure other    |

  Scenario: A run that failed has no end
    Given a run that fails after its first row
    Then the template "{{trial:gap}}" is refused with "interrupted"

  Scenario: Every figure of the page belongs to a benchmark
    Then the template of the page names known benchmarks only
    And the page without a run shows no figure
