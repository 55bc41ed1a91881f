"""Clock that keeps counting while the host is suspended."""

import time


def now() -> float:
    """Return seconds since boot, including time spent suspended.

    ``CLOCK_MONOTONIC`` does not advance while the host is suspended. After
    a resume, a lease or a proven age computed from it would appear younger
    than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
