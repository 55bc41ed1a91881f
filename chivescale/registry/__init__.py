"""Registry of the endpoints that announce themselves by heartbeats."""

from chivescale.registry._records import (
    Address,
    EndpointBeat,
    EndpointEntry,
    Label,
    Name,
    Sequence,
    Slots,
    UnixMs,
    is_name,
)
from chivescale.registry._registry import Registry

__all__ = [
    "Address",
    "EndpointBeat",
    "EndpointEntry",
    "Label",
    "Name",
    "Registry",
    "Sequence",
    "Slots",
    "UnixMs",
    "is_name",
]
