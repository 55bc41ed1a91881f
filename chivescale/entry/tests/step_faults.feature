Feature: A fault at every packet of a request
  Guards against the answer "did not run" for a request that took effect, a
  confirmed request that is lost, and a request that took effect in part. Each
  run injects the fault at a single packet, for each packet in turn.

  Scenario Outline: The answer matches the data at every injection point
    Then <fault> at every packet of a <operation> gives a correct answer

    Examples:
      | operation   | fault   |
      | write       | lose    |
      | write       | kill    |
      | write       | isolate |
      | write       | freeze  |
      | keyed       | lose    |
      | keyed       | kill    |
      | keyed       | isolate |
      | keyed       | freeze  |
      | transaction | lose    |
      | transaction | kill    |
      | transaction | isolate |
      | transaction | freeze  |
