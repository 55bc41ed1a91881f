"""Entry role for services with external replication and promotion."""

from chivescale.relay._host import RelayHost, RelaySettings

__all__ = ["RelayHost", "RelaySettings"]
