"""The replicated state that control hosts keep and entry hosts copy."""

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
