"""Data structures of the request pipeline, and composition of filters."""

import collections.abc
import random
import typing

import msgspec

from chivescale.errors import Failure
from chivescale.limits import WorkspaceLimits
from chivescale.messages import ServiceBinding, WorkspaceRecord
from chivescale.mysql import CallerSession, ClientConnection, QueryResult
from chivescale.pipeline._gate import EndpointGate
from chivescale.pipeline._service import ServiceView
from chivescale.retry import RetryBudget
from chivescale.routing import Hints, StatementClass
from chivescale.session import SessionPosition
from chivescale.settings import EntrySettings, PoolSettings
from chivescale.stopping import StopSchedule
from chivescale.telemetry import Metrics


class Service:
    """State of one service on an entry host.

    Parameters
    ----------
    name : str
        Name of the service.
    view : ServiceView
        Consistency state of the service.

    Attributes
    ----------
    gates : dict of EndpointGate
        Admission control of each endpoint, by endpoint name.
    """

    __slots__ = ("gates", "name", "view")

    def __init__(self, name: str, view: ServiceView):
        self.name = name
        self.view = view
        self.gates: dict[str, EndpointGate] = {}

    def primary(self) -> EndpointGate | None:
        """Return the gate of the published primary."""
        return self.gates.get(self.view.record.primary)


class Environment(msgspec.Struct):
    """Dependencies and state shared by all calls on a host.

    Attributes
    ----------
    workspaces : callable
        Returns the record of a workspace in the current sheet, by name.
    service : callable
        Returns a `Service` by name.
    limits : callable
        Returns the `WorkspaceLimits` of a workspace, by name.
    entry : EntrySettings
        Settings of the entry role.
    pool : PoolSettings
        Settings of the connection pools.
    metrics : Metrics
        Metrics of the process.
    retries : RetryBudget
        Retry budget of the host.
    rng : random.Random
        Random number generator for backoff and endpoint selection.
    zone : str
        Availability zone of the host.
    schedule : StopSchedule
        What the host still takes once it was asked to stop.
    """

    workspaces: collections.abc.Callable[[str], WorkspaceRecord | None]
    service: collections.abc.Callable[[str], Service | None]
    limits: collections.abc.Callable[[str], WorkspaceLimits]
    entry: EntrySettings
    pool: PoolSettings
    metrics: Metrics
    retries: RetryBudget
    rng: random.Random
    zone: str = ""
    schedule: StopSchedule = msgspec.field(default_factory=StopSchedule)

    @property
    def draining(self) -> bool:
        """Whether the host was asked to stop."""
        return self.schedule.begun


class PinnedTransaction(msgspec.Struct):
    """Open transaction and the connection that is pinned to it.

    Attributes
    ----------
    connection : ClientConnection
        Connection to the primary.
    gate : EndpointGate
        Admission control of the primary.
    service : Service
        Service of the transaction.
    term : int
        Term in which the transaction began. The transaction is aborted when
        the term ends.
    wrote : bool
        Whether the transaction has run a statement other than a read.
    statements : list of str
        Texts of the writes, for the digest of an idempotency key.
    """

    connection: ClientConnection
    gate: EndpointGate
    service: Service
    term: int
    wrote: bool = False
    statements: list[str] = msgspec.field(default_factory=list)


class CallerState:
    """State of one caller connection.

    Attributes
    ----------
    position : SessionPosition or None
        Position that reads of the session must include.
    pinned : PinnedTransaction or None
        Open transaction.
    last_insert_id, row_count : int
        Values of LAST_INSERT_ID() and ROW_COUNT().
    last_used_at : float
        Monotonic time in seconds of the login or of the end of the last
        statement.
    abort_failure : Failure or None
        Why the host aborted the open transaction. It is returned for the
        next statement of the caller.
    """

    __slots__ = (
        "abort_failure",
        "last_insert_id",
        "last_used_at",
        "pinned",
        "position",
        "row_count",
    )

    def __init__(self):
        self.position: SessionPosition | None = None
        self.pinned: PinnedTransaction | None = None
        self.last_insert_id = 0
        self.row_count = -1
        self.last_used_at = 0.0

        self.abort_failure: Failure | None = None


Answer = QueryResult | Failure


class Call:
    """Context of one statement in the request pipeline.

    Parameters
    ----------
    environment : Environment
        Dependencies shared by all calls.
    session : CallerSession
        Session of the caller.
    sql : str
        Text of the statement.
    query_attributes : dict
        MySQL query attributes of the statement.
    started_at : float
        Monotonic time in seconds at which the statement arrived.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds by which the caller must get an answer.
    latency_class : str
        Class under which the latency is recorded; empty for none.
    """

    __slots__ = (
        "binding",
        "deadline",
        "environment",
        "hints",
        "latency_class",
        "query_attributes",
        "service",
        "session",
        "sql",
        "started_at",
        "state",
        "statement_class",
        "workspace",
    )

    def __init__(
        self,
        environment: Environment,
        session: CallerSession,
        sql: str,
        query_attributes: dict[str, typing.Any],
        started_at: float,
    ):
        self.environment = environment
        self.session = session
        self.sql = sql
        self.query_attributes = query_attributes
        self.started_at = started_at
        self.state: CallerState = session.data
        self.deadline = started_at + environment.entry.deadline_ms / 1000
        self.hints = Hints()
        self.statement_class = StatementClass.WRITE
        self.latency_class = ""
        self.workspace: WorkspaceRecord | None = None
        self.binding: ServiceBinding | None = None
        self.service: Service | None = None


Step = collections.abc.Callable[[Call], collections.abc.Awaitable[Answer]]
Filter = collections.abc.Callable[
    [Call, Step], collections.abc.Awaitable[Answer]
]


def compose(filters: list[Filter], last: Step) -> Step:
    """Compose filters into one step.

    Each filter receives the next step and decides whether to call it.
    """
    step = last
    for wrapped in reversed(filters):
        step = _wrap(wrapped, step)
    return step


def _wrap(wrapped: Filter, next_step: Step) -> Step:
    async def run(call: Call) -> Answer:
        return await wrapped(call, next_step)

    return run
