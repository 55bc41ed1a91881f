"""Elapsed time that includes suspension of the machine."""

import time


def now() -> float:
    """Return seconds since boot, counted while suspended as well.

    The monotonic clock stops while a machine is suspended, so a lease or
    a proven age computed with it would look younger than it is after the
    machine wakes up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
