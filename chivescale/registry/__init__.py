"""Registry of the endpoints that announce themselves by heartbeats."""

from chivescale.registry._records import EndpointBeat, EndpointEntry
from chivescale.registry._registry import Registry

__all__ = ["EndpointBeat", "EndpointEntry", "Registry"]
