"""Entry role: serves callers and probes the endpoints of services."""

from chivescale.entry._api import EntryStatus
from chivescale.entry._host import EntryHost

__all__ = ["EntryHost", "EntryStatus"]
