"""Leases on the primary of a service, granted by the coordinators.

An entry host uses a primary only while it holds a lease on the epoch of that
primary. A majority of the coordinators grants the lease. Before another
endpoint is promoted, the leases on the former epoch are revoked or have
expired, so that two primaries are never in use at once, even if the former
one does not know that it was replaced.
"""

from chivescale.lease._grantor import GRANT_S, Grantor, GroupView
from chivescale.lease._holder import LeaseHolder
from chivescale.lease._messages import (
    NO_EPOCH,
    Epoch,
    Grant,
    LeaseAnswer,
    RevocationStatus,
)
from chivescale.lease._revocation import is_revoked, unconfirmed_hosts

__all__ = [
    "GRANT_S",
    "NO_EPOCH",
    "Epoch",
    "Grant",
    "Grantor",
    "GroupView",
    "LeaseAnswer",
    "LeaseHolder",
    "RevocationStatus",
    "is_revoked",
    "unconfirmed_hosts",
]
