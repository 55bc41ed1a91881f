"""The entry role: serves callers and watches services."""

from chivescale.entry._api import EntryStatus
from chivescale.entry._host import EntryHost

__all__ = ["EntryHost", "EntryStatus"]
