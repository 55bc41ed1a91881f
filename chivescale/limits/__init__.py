"""Rate limits, fair queues, concurrency limits and connection leases."""

from chivescale.limits._adaptive import AdaptiveLimit
from chivescale.limits._bucket import TokenBucket
from chivescale.limits._leases import (
    HOST_LEASE_FRACTION,
    LeaseManager,
    max_min_shares,
)
from chivescale.limits._queue import FairQueue
from chivescale.limits._rate_shares import (
    LONGEST_ISOLATION_S,
    RateLimit,
    RateShares,
    ShareSize,
)
from chivescale.limits._token_stock import TokenStock
from chivescale.limits._workspace import WorkspaceLimits

__all__ = [
    "HOST_LEASE_FRACTION",
    "LONGEST_ISOLATION_S",
    "AdaptiveLimit",
    "FairQueue",
    "LeaseManager",
    "RateLimit",
    "RateShares",
    "ShareSize",
    "TokenBucket",
    "TokenStock",
    "WorkspaceLimits",
    "max_min_shares",
]
