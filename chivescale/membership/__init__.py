"""Membership on the control leader; opens no sockets."""

from chivescale.membership._endpoints import (
    EndpointAnnounced,
    EndpointsApplied,
    EndpointTable,
    record_of,
)
from chivescale.membership._hosts import (
    HostHeartbeat,
    HostsApplied,
    HostTable,
    ProposeBatch,
    Tick,
)
from chivescale.membership._watchers import watchers_of

__all__ = [
    "EndpointAnnounced",
    "EndpointTable",
    "EndpointsApplied",
    "HostHeartbeat",
    "HostTable",
    "HostsApplied",
    "ProposeBatch",
    "Tick",
    "record_of",
    "watchers_of",
]
