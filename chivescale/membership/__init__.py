"""Membership tables of the control leader; performs no I/O."""

from chivescale.membership._endpoints import (
    EndpointAnnounced,
    EndpointsApplied,
    EndpointTable,
    endpoint_record,
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
    "endpoint_record",
    "watchers_of",
]
