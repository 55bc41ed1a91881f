"""Endpoints as they announce themselves by heartbeats."""

from chivescale.registry._records import EndpointBeat, EndpointView
from chivescale.registry._registry import Registry

__all__ = ["EndpointBeat", "EndpointView", "Registry"]
