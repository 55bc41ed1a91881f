"""Entry role for services whose replication and promotion are elsewhere."""

from chivescale.relay._host import RelayHost, RelaySettings

__all__ = ["RelayHost", "RelaySettings"]
