"""Connections to endpoints: pure state and asyncio shell."""

from chivescale.pool._pool import Pool
from chivescale.pool._state import (
    Acquire,
    Cancel,
    Close,
    Connected,
    ConnectFailed,
    Discard,
    Give,
    Lost,
    Open,
    PoolState,
    Refuse,
    Released,
    SetLimit,
    Silence,
    Tick,
)

__all__ = [
    "Acquire",
    "Cancel",
    "Close",
    "ConnectFailed",
    "Connected",
    "Discard",
    "Give",
    "Lost",
    "Open",
    "Pool",
    "PoolState",
    "Refuse",
    "Released",
    "SetLimit",
    "Silence",
    "Tick",
]
