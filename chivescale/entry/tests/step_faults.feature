Feature: A fault at every step of a request
  Guards against the answer "did not run" for a request that took effect, a
  confirmed request that is lost, and a request that took effect in part. The
  fault strikes once at each packet of the request in turn.

  Scenario Outline: The answer is true wherever the fault strikes
    Then <fault> at every packet of a <operation> gives a true answer

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
