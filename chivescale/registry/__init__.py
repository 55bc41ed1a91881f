"""Registry of the endpoints that announce themselves by heartbeats."""

from chivescale.registry._records import Address, EndpointBeat, EndpointEntry
from chivescale.registry._registry import Registry

__all__ = ["Address", "EndpointBeat", "EndpointEntry", "Registry"]
