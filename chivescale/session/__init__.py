"""Session consistency: tokens, barriers, write confirmation and freshness.

The code in this package performs no I/O and reads no clock: it uses neither
sockets, files nor asyncio. Callers pass the time in as monotonic seconds.
"""

from chivescale.messages import Position
from chivescale.session._barrier_events import (
    BarrierFailed,
    BarrierReady,
    ReadArrived,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
    Tick,
)
from chivescale.session._barriers import Barriers
from chivescale.session._confirmations import (
    Confirmations,
    Confirmed,
    OutcomeUnknown,
    PollFailed,
    PollPositions,
    PositionReceived,
    RequestTermStarts,
    TermEstablished,
    TermStartsFailed,
    TermStartsReceived,
    WriteAbsent,
    WriteAccepted,
)
from chivescale.session._freshness import Freshness
from chivescale.session._keys import (
    CREATE_REQUEST_TABLE,
    StatementKey,
    StoredResult,
    statement_digest,
)
from chivescale.session._position import SessionPosition
from chivescale.session._quorum import quorum_of
from chivescale.session._token import Token, format_token, parse_token

__all__ = [
    "CREATE_REQUEST_TABLE",
    "BarrierFailed",
    "BarrierReady",
    "Barriers",
    "Confirmations",
    "Confirmed",
    "Freshness",
    "OutcomeUnknown",
    "PollFailed",
    "PollPositions",
    "Position",
    "PositionReceived",
    "ReadArrived",
    "RequestTermStarts",
    "SessionPosition",
    "StartRound",
    "StatementKey",
    "StatusFailed",
    "StatusReceived",
    "StoredResult",
    "TermChanged",
    "TermEstablished",
    "TermStartsFailed",
    "TermStartsReceived",
    "Tick",
    "Token",
    "WriteAbsent",
    "WriteAccepted",
    "format_token",
    "parse_token",
    "quorum_of",
    "statement_digest",
]
