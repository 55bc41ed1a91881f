"""Replicated state of the control hosts, of which entry hosts keep copies."""

from chivescale.state._results import (
    BatchApplied,
    EndpointChanged,
    HostChanged,
    SheetApplied,
    TermBegun,
    TermEstablished,
)
from chivescale.state._state import ClusterState

__all__ = [
    "BatchApplied",
    "ClusterState",
    "EndpointChanged",
    "HostChanged",
    "SheetApplied",
    "TermBegun",
    "TermEstablished",
]
