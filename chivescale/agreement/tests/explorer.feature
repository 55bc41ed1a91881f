Feature: Orders of events in a group of coordinators
  Guards against a group that loses its quorum for good, or a machine that is
  never admitted, although no more machines are lost than tolerated. `make
  explore` walks many more orders and prints failing ones as rows of this
  feature.

  Scenario Outline: A group survives an order of events
    Then <size> hosts survive with seed <seed>: <order>

    Examples: replacements, lost disks and power losses
      | size | seed | order                                                    |
      | 3    | 1    | calm unplanned follower, ready wipe follower             |
      | 3    | 1    | calm wipe leader, ready wipe leader, ready wipe follower |
      | 3    | 1    | soon wipe_power leader, ready wipe_power follower        |
      | 3    | 1    | soon halves all, soon wipe follower, soon power all      |
      | 3    | 1    | soon compact all, calm wipe leader, ready wipe follower  |
      | 3    | 1    | soon seeds all, ready unplanned leader, calm kill same   |
      | 4    | 1    | calm unplanned leader, ready wipe follower               |
      | 6    | 1    | soon wipe leader, soon wipe leader, soon power all       |
      | 8    | 1    | soon unplanned leader, soon unplanned leader             |

    # Guards against a full batch of the log that exceeds the limit of the
    # receiver.
    Examples: a member far behind
      | size | seed | order                                |
      | 3    | 1    | calm many all, calm wipe follower    |
      | 3    | 1    | calm many all, calm planned follower |
      | 3    | 1    | calm halves all, ready many all      |

    # Guards against a member that has left and stays a voter.
    Examples: a disk lost after a planned replacement
      | size | seed | order                                     |
      | 3    | 1    | calm planned follower, calm wipe follower |

    # Guards against a planned replacement after which a later one takes long.
    Examples: a replacement long after a planned one
      | size | seed | order                                                                                |
      | 3    | 1    | calm planned follower, calm large all, calm unplanned follower, ready wipe follower |

    # Guards against a learner that keeps the configuration that admitted it,
    # which the next leader discarded, and never asks again.
    Examples: an admission that is never committed
      | size | seed | order                                   |
      | 3    | 4    | calm join_halves follower               |
      | 4    | 3    | calm join_halves leader                 |
      | 6    | 2    | calm join_halves follower               |
      | 6    | 299  | ready planned follower, soon halves all |
      | 8    | 1    | calm join_halves leader                 |

    # Guards against three members that are gone and remain among nine voters,
    # because none of an odd number was removed.
    Examples: several replacements
      | size | seed  | order                                                                                                                                 |
      | 6    | 30058 | calm unplanned follower, calm planned follower, soon planned follower, calm wipe follower, soon wipe follower                         |
      | 6    | 91302 | calm planned follower, calm join_halves follower, calm planned follower, soon planned follower, calm wipe follower, soon wipe follower |

    # Guards against the removal of a voter that is only cut off while another
    # one is gone and a third one stops.
    Examples: a split after a replacement
      | size | seed  | order                                                                                                                        |
      | 4    | 70787 | calm planned follower, calm unplanned follower, ready join_halves follower                                                   |
      | 4    | 70193 | ready cut leader, soon halves all, ready planned follower, ready wipe follower, ready planned follower, ready join_halves follower |

    # Guards against a leader elected after a split that keeps the voter which
    # left during it for longer than the successor needs to catch up.
    Examples: a disk lost after a replacement in a split
      | size | seed  | order                                                          |
      | 3    | 40036 | calm many all, ready join_halves follower, ready wipe follower |
      | 3    | 2     | calm many all, ready join_halves follower, ready wipe leader   |

  Scenario Outline: Every order of one event
    Then every order of 1 event of <size> hosts is survived

    Examples:
      | size |
      | 3    |
      | 4    |
      | 6    |
      | 8    |

  Scenario Outline: Random orders of 3 to 10 events
    Then <count> random orders from seed <seed> without <kinds> are survived

    Examples: without the events of the known failures
      | count | seed | kinds        |
      | 40    | 1    | planned many join_halves |

    Examples: all events
      | count | seed | kinds     |
      | 40    | 1    | exception |
