Feature: Entries of the log that cannot be read
  Guards against one entry that stops the log of every coordinator, also after
  restarts, and against members that read the same entry in different ways.

  Scenario Outline: An entry that cannot be read is skipped
    Given a replicated state with configuration 1 and a promotion
    When <entry> is applied
    Then it is skipped, counted and logged, and configuration 1 is in force
    And its snapshot holds configuration 1 and the promotion
    When configuration 2 is applied
    Then configuration 2 is in force

    Examples:
      | entry                                        |
      | no JSON                                      |
      | an empty entry                               |
      | a command of another build                   |
      | a command nested 2000 times                  |
      | a document that is not compressed            |
      | a document cut short                         |
      | a document of 64 MiB                         |
      | a document that the decoder refuses          |
      | a document on which the decoder fails        |
      | a catalog that cannot be encoded             |

  Scenario: A snapshot with a configuration that cannot be read is taken over
    Given a replicated state with configuration 1 and a promotion
    When it takes over a snapshot whose configuration cannot be read
    Then no configuration is in force and the promotion is
    And its snapshot holds the same bytes
    When configuration 2 is applied
    Then configuration 2 is in force

  Scenario: The entry is skipped at every depth of the call stack
    Given a replicated state with configuration 1 and a promotion
    When a command nested 2000 times is applied 900 calls deep
    Then it is skipped, counted and logged, and configuration 1 is in force

  # Guards against a group whose members all stop at one entry.
  Scenario Outline: A group goes on after an entry that it cannot read
    Given 3 coordinators on loopback
    When <entry> is agreed on
    Then the caller is told that it cannot be read
    And every coordinator votes again within 3 s
    And a configuration sent to each coordinator is accepted at the first call
    And every coordinator reads back the newest configuration

    Examples:
      | entry                                 |
      | no JSON                               |
      | a document that the decoder refuses   |
      | a document on which the decoder fails |

  # Guards against an order that is agreed on before it was read.
  Scenario Outline: An order that cannot be read is not agreed on
    Given 3 coordinators on loopback
    When another coordinator passes on <order>
    Then it is refused as a bad request and the log is unchanged

    Examples:
      | order                                |
      | a document that is not compressed    |
      | a document that the decoder refuses  |
