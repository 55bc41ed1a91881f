"""Messages between an entry host and a gateway, one JSON object per line.

The tags and encoded field names are the wire format. Hosts of different
versions exchange these messages during an upgrade.
"""

import msgspec

from chivescale.dialect import StatementKind
from chivescale.errors import ErrorKind
from chivescale.messages import Position


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message on a connection; identifies the connecting host."""

    host: str


class RunRequest(msgspec.Struct, frozen=True, tag="run", omit_defaults=True):
    """Request to run a statement.

    Attributes
    ----------
    number : int
        Identifies the call on this connection.
    request_id, kind, text, name, argument
        As in `chivescale.dialect.Statement`.
    writes : bool
        Whether the statement may write.
    service, consistency, statement_timeout_ms, latency_goal_ms, priority, \
accepted_staleness_ms
        Attributes of the route of the statement, as in
        `chivescale.catalog.Route`.
    age_s : float
        Time between the arrival of the statement and the sending of this
        message. The gateway subtracts it from the time of receipt. The
        unknown transmission time makes the resulting arrival later than the
        actual one, so staleness limits become stricter, never looser.
    values : dict of str to str
        Session variables.
    definition : tuple of (bool, str) or None
        Prepared statement to execute: whether it writes, and its text.
    session_position : Position or None
        Position of the last commit of the session.
    transaction : int
        Identifies the transaction on this connection; 0 outside one.
    begins : bool
        Whether this is the first statement of the transaction.
    read_only : bool
        Whether the client began the transaction as read-only.
    begun_age_s : float
        Time between the arrival of the begin and the sending of this
        message.
    workspace : str
        Workspace of the client; empty if clients are not identified.
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
    session_position: Position | None = msgspec.field(default=None, name="own")
    transaction: int = 0
    begins: bool = False
    read_only: bool = False
    begun_age_s: float = 0.0
    workspace: str = ""


class RollbackRequest(msgspec.Struct, frozen=True, tag="rollback"):
    """Request to roll back a transaction; there is no response."""

    transaction: int


class RunResponse(
    msgspec.Struct, frozen=True, tag="answer", omit_defaults=True
):
    """Result of a statement.

    Attributes
    ----------
    number : int
        Identifies the call on this connection.
    rows, signature
        As in `chivescale.dialect.Reply`.
    kind : ErrorKind or None
        Kind of the failure; None on success.
    reason : str
        Reason of the failure.
    commit : Position or None
        Position of a committed write.
    endpoint, attempts, min_position, proof_age_s
        Execution details, logged by the requesting host.
    waiting : int
        Statements running or queued at the gateway.
    """

    number: int
    rows: list[str] = []
    signature: str = ""
    kind: ErrorKind | None = None
    reason: str = ""
    commit: Position | None = None
    endpoint: str = ""
    attempts: int = 0
    min_position: Position | None = msgspec.field(default=None, name="need")
    proof_age_s: float = -1.0
    waiting: int = 0


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Checks that the connection works."""


class Pong(msgspec.Struct, frozen=True, tag="pong", omit_defaults=True):
    """Response to `Ping`.

    Attributes
    ----------
    isolated : bool
        Whether the gateway has lost coordinators and primaries.
    """

    isolated: bool = False


class GoAway(msgspec.Struct, frozen=True, tag="bye"):
    """Sent by a gateway that is shutting down.

    It accepts no new statements; open transactions continue.
    """


GatewayRequest = Hello | RunRequest | RollbackRequest | Ping
GatewayResponse = RunResponse | Pong | GoAway
