Feature: The complete system under random faults
  Guards against a confirmed write that is lost or runs twice, a request that
  ran although its caller was told that it did not, a session that misses its
  own writes, a partially applied transaction, rows of another session, a
  missed deadline and a sheet that reverts. The hosts, the control log, the
  failover and the stand-in endpoints are real; network and clock are simulated.

  Scenario Outline: All guarantees hold for callers
    Then <steps> faults of kinds "<faults>" with seed <seed> violate no guarantee

    Examples:
      | seed | steps | faults                                              |
      | 1    | 20    | kill,freeze,cut,isolate,lag,silence,loss,sheet       |
      | 2    | 20    | kill,freeze,cut,isolate,lag,silence,loss,sheet       |
      | 3    | 20    | kill,freeze,cut,isolate,lag,silence,loss,sheet       |
      | 4    | 15    | kill                                                |
      | 5    | 15    | freeze,silence                                      |
      | 6    | 15    | cut,isolate,lag                                     |
      | 7    | 15    | kill,wipe,lag                                       |
