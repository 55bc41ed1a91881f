@service
Feature: Bad input on every port
  Guards against a process that dies, hangs or grows when anybody who can
  reach a port sends what it should not.

  Scenario Outline: <input> on the <port> port of <host>
    Given the memory of all processes is noted
    When <input> are sent to the <port> port of <host>
    Then every process lives on and grew by less than 64 MB
    And the service works on every entry host

    Examples:
      | input                          | port    | host      |
      | random bytes                   | mysql   | entry-1   |
      | truncated packets              | mysql   | entry-1   |
      | huge statements                | mysql   | entry-1   |
      | random bytes                   | api     | entry-1   |
      | malformed messages             | api     | entry-1   |
      | messages with a wrong signature | api    | entry-1   |
      | random bytes                   | control | control-1 |
      | malformed messages             | control | control-1 |
      | messages with a wrong signature | control | control-1 |
      | forged announcements           | api     | entry-1   |
