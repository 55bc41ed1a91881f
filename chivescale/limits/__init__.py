"""Rate limits, fair queues, concurrency limits and connection leases."""

from chivescale.limits._adaptive import AdaptiveLimit
from chivescale.limits._bucket import TokenBucket
from chivescale.limits._leases import (
    HOST_LEASE_FRACTION,
    LeaseManager,
    max_min_shares,
)
from chivescale.limits._queue import FairQueue
from chivescale.limits._workspace import WorkspaceLimits

__all__ = [
    "HOST_LEASE_FRACTION",
    "AdaptiveLimit",
    "FairQueue",
    "LeaseManager",
    "TokenBucket",
    "WorkspaceLimits",
    "max_min_shares",
]
