"""What the filters of the request path pass along."""

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
from chivescale.telemetry import Metrics


class Service:
    """What an entry host keeps for one service.

    Attributes
    ----------
    view : ServiceView
        Consistency decisions.
    gates : dict of EndpointGate
        Endpoints by name.
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
    """What all calls on a host share.

    Attributes
    ----------
    workspaces : callable
        Finds a workspace record by name in the sheet in force.
    service : callable
        Finds a `Service` by name.
    limits : callable
        Returns the `WorkspaceLimits` of a workspace.
    zone : str
        Zone of the host.
    draining : bool
        Whether new transactions and statements are refused.
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
    draining: bool = False


class Pinned(msgspec.Struct):
    """Connection of an open transaction.

    Attributes
    ----------
    term : int
        Term in which the transaction began; it cannot outlive the term.
    wrote : bool
        Whether a statement other than a read ran in it.
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
    """State that belongs to one caller connection."""

    __slots__ = (
        "aborted",
        "last_insert_id",
        "pinned",
        "position",
        "row_count",
        "used_at",
    )

    def __init__(self):
        self.position: SessionPosition | None = None
        self.pinned: Pinned | None = None
        self.last_insert_id = 0
        self.row_count = -1
        self.used_at = 0.0
        # Why the open transaction ended without the caller's request; the
        # caller is told at its next statement.
        self.aborted: Failure | None = None


Answer = QueryResult | Failure


class Call:
    """One statement on its way through the filters.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds by which the caller gets an answer.
    measured : str
        Class under which the latency is recorded.
    """

    __slots__ = (
        "attrs",
        "binding",
        "deadline",
        "environment",
        "hints",
        "kind",
        "measured",
        "service",
        "session",
        "sql",
        "started",
        "state",
        "workspace",
    )

    def __init__(
        self,
        environment: Environment,
        session: CallerSession,
        sql: str,
        attrs: dict[str, typing.Any],
        started: float,
    ):
        self.environment = environment
        self.session = session
        self.sql = sql
        self.attrs = attrs
        self.started = started
        self.state: CallerState = session.data
        self.deadline = started + environment.entry.deadline_ms / 1000
        self.hints = Hints()
        self.kind = StatementClass.WRITE
        self.measured = ""
        self.workspace: WorkspaceRecord | None = None
        self.binding: ServiceBinding | None = None
        self.service: Service | None = None


Step = collections.abc.Callable[[Call], collections.abc.Awaitable[Answer]]
Filter = collections.abc.Callable[
    [Call, Step], collections.abc.Awaitable[Answer]
]


def compose(filters: list[Filter], last: Step) -> Step:
    """Chain filters; each decides whether and how the next one runs."""
    step = last
    for each in reversed(filters):
        step = _bind(each, step)
    return step


def _bind(each: Filter, following: Step) -> Step:
    async def run(call: Call) -> Answer:
        return await each(call, following)

    return run
