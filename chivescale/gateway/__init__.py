"""Forwarding of statements between entry hosts.

Where an endpoint accepts fewer connections than there are entry hosts, a few
hosts, the gateways, hold the connections and the other hosts forward
statements to them.
"""

from chivescale.gateway._client import MAX_FRAME_BYTES, GatewayClient
from chivescale.gateway._messages import (
    GatewayRequest,
    GatewayResponse,
    GoAway,
    Hello,
    Ping,
    Pong,
    RollbackRequest,
    RunRequest,
    RunResponse,
)
from chivescale.gateway._plan import affinity_ranks, assign_gateways

__all__ = [
    "MAX_FRAME_BYTES",
    "GatewayClient",
    "GatewayRequest",
    "GatewayResponse",
    "GoAway",
    "Hello",
    "Ping",
    "Pong",
    "RollbackRequest",
    "RunRequest",
    "RunResponse",
    "affinity_ranks",
    "assign_gateways",
]
