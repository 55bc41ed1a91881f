"""What a load run does and what it reports."""

import msgspec


class LoadPlan(msgspec.Struct, frozen=True):
    """Plan of one load run.

    Attributes
    ----------
    addresses : tuple of str
        SQL addresses as ``ip:port``; sessions spread over them and change
        to another one when a connection is lost.
    service, user, secret : str
        Login.
    sessions : int
        Sessions that work at the same time.
    seconds : float
        Duration of the load.
    seed : int
        Seed of the sequence of operations.
    writes, own_reads, browses, transactions, keyed : float
        Weights of the operations.
    staleness_ms : int
        Stated staleness of browsing reads.
    think_ms : float
        Pause of a session between operations.
    delay_ms : float
        One-way network delay to the proxy.
    timeout_s : float
        After this time an operation is given up and its outcome unknown.
    check_s : float
        Time for the checks at the end.
    table : str
        Table to use; it is created if absent.
    records : str
        File for one JSON line per operation; empty for none.
    """

    addresses: tuple[str, ...]
    service: str = "ledger"
    user: str = "chivescale"
    secret: str = ""
    sessions: int = 8
    seconds: float = 5.0
    seed: int = 1
    writes: float = 3.0
    own_reads: float = 3.0
    browses: float = 3.0
    transactions: float = 1.0
    keyed: float = 0.0
    staleness_ms: int = 1000
    think_ms: float = 0.0
    delay_ms: float = 0.0
    timeout_s: float = 8.0
    check_s: float = 20.0
    table: str = "load_writes"
    records: str = ""


class Record(msgspec.Struct, omit_defaults=True):
    """One operation.

    Attributes
    ----------
    kind : str
        ``write``, ``transaction``, ``keyed``, ``own_read`` or ``browse``.
    session, sequence : int
        Session and, for writes, number within it.
    start_s, end_s : float
        Monotonic times since the start of the run.
    outcome : str
        ``confirmed``, ``did_not_run`` or ``unknown`` for writes; ``ok``,
        ``stale`` or ``failed`` for reads.
    error : str
        Error kind in brackets or error number.
    rows : int
        Rows that a write inserts.
    """

    kind: str
    session: int
    start_s: float
    end_s: float = 0.0
    outcome: str = ""
    sequence: int = 0
    error: str = ""
    rows: int = 1
    detail: str = ""


class Latency(msgspec.Struct, frozen=True):
    """Latencies of the successful operations of one kind."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class LoadReport(msgspec.Struct):
    """Outcome of a load run.

    Attributes
    ----------
    operations : dict
        Count by operation and outcome, as ``write confirmed``.
    errors : dict
        Count by error.
    latency : dict of Latency
        By operation.
    lost : list of str
        Confirmed writes that are absent.
    doubled : list of str
        Writes that are present more often than written.
    ran_although_denied : list of str
        Writes that are present although the answer said "did not run".
    torn : list of str
        Transactions of which only a part is present.
    stale_own_reads, stale_browses : list of str
        Reads that missed a confirmed write that they had to show.
    unknown_present, unknown_absent : int
        What became of the writes of unknown outcome.
    longest_gap_ms, gap_at_s : float
        Longest time between two confirmed writes and when it began.
    checked : bool
        Whether the final check could read the table.
    """

    operations: dict[str, int] = msgspec.field(default_factory=dict)
    errors: dict[str, int] = msgspec.field(default_factory=dict)
    latency: dict[str, Latency] = msgspec.field(default_factory=dict)
    lost: list[str] = msgspec.field(default_factory=list)
    doubled: list[str] = msgspec.field(default_factory=list)
    ran_although_denied: list[str] = msgspec.field(default_factory=list)
    torn: list[str] = msgspec.field(default_factory=list)
    stale_own_reads: list[str] = msgspec.field(default_factory=list)
    stale_browses: list[str] = msgspec.field(default_factory=list)
    unknown_present: int = 0
    unknown_absent: int = 0
    seconds: float = 0.0
    longest_gap_ms: float = 0.0
    gap_at_s: float = 0.0
    checked: bool = False

    @property
    def sound(self) -> bool:
        """Whether the check ran and found no violation."""
        return self.checked and not (
            self.lost
            or self.doubled
            or self.ran_although_denied
            or self.torn
            or self.stale_own_reads
            or self.stale_browses
        )
