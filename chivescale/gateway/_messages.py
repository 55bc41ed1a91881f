"""Messages between an entry host and a gateway, one JSON object a line."""

import msgspec

from chivescale.dialect import StatementKind
from chivescale.errors import ErrorKind
from chivescale.messages import Position


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message of the host that connects."""

    host: str


class Run(msgspec.Struct, frozen=True, tag="run", omit_defaults=True):
    """Run a statement.

    Attributes
    ----------
    number : int
        Identifies the call on this connection.
    request_id, kind, text, name, argument
        As in `chivescale.dialect.Statement`.
    writes : bool
        Whether it may write.
    service, consistency, statement_timeout_ms, latency_goal_ms, priority, \
accepted_staleness_ms
        Of the route in force for the statement, as in
        `chivescale.catalog.Route`.
    age_s : float
        How long before this message the statement had arrived. The time on
        the way is not known, so limits counted from the arrival become
        stricter, never looser.
    values : dict of str to str
        Session values.
    definition : tuple of (bool, str) or None
        Prepared statement to execute: whether it writes, and its text.
    own : Position or None
        Last commit of the session.
    transaction : int
        Identifies the transaction on this connection; 0 outside one.
    begins : bool
        Whether this is the first statement of the transaction.
    read_only : bool
        Whether the caller began the transaction for reads only.
    begun_age_s : float
        How long before this message the begin had arrived.
    """

    number: int
    request_id: str
    kind: StatementKind
    text: str
    service: str
    consistency: str
    statement_timeout_ms: int
    latency_goal_ms: float
    priority: int
    accepted_staleness_ms: float
    age_s: float
    writes: bool = False
    name: str = ""
    argument: str = ""
    values: dict[str, str] = {}
    definition: tuple[bool, str] | None = None
    own: Position | None = None
    transaction: int = 0
    begins: bool = False
    read_only: bool = False
    begun_age_s: float = 0.0


class Rollback(msgspec.Struct, frozen=True, tag="rollback"):
    """End a transaction; not answered."""

    transaction: int


class Answer(msgspec.Struct, frozen=True, tag="answer", omit_defaults=True):
    """Outcome of a statement.

    Attributes
    ----------
    number : int
        Of the call.
    rows, signature
        As in `chivescale.dialect.Reply`.
    kind : ErrorKind or None
        None in case of success.
    reason : str
        Of a failure.
    commit : Position or None
        Position of a write that was committed.
    endpoint, attempts, need, proof_age_s
        What decided, for the log of the host that asked.
    waiting : int
        Statements under way or waiting at the gateway.
    """

    number: int
    rows: list[str] = []
    signature: str = ""
    kind: ErrorKind | None = None
    reason: str = ""
    commit: Position | None = None
    endpoint: str = ""
    attempts: int = 0
    need: Position | None = None
    proof_age_s: float = -1.0
    waiting: int = 0


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Asks whether the connection still works."""


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """Answer to `Ping`."""


class Bye(msgspec.Struct, frozen=True, tag="bye"):
    """The gateway stops: no new statements; open transactions go on."""


ToGateway = Hello | Run | Rollback | Ping
FromGateway = Answer | Pong | Bye
