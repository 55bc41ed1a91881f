"""Connection pool of an endpoint: pure state machine and asyncio wrapper."""

from chivescale.pool._pool import Pool
from chivescale.pool._state import (
    Acquire,
    Assign,
    Cancel,
    CloseConnection,
    ClosePool,
    Connected,
    ConnectFailed,
    ConnectionLost,
    OpenConnection,
    PoolState,
    Reject,
    Released,
    SetLimit,
    SuspectConnections,
    Tick,
)

__all__ = [
    "Acquire",
    "Assign",
    "Cancel",
    "CloseConnection",
    "ClosePool",
    "ConnectFailed",
    "Connected",
    "ConnectionLost",
    "OpenConnection",
    "Pool",
    "PoolState",
    "Reject",
    "Released",
    "SetLimit",
    "SuspectConnections",
    "Tick",
]
