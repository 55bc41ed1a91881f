"""Statistics of measured values."""

import collections.abc
import math


def percentile(values: collections.abc.Iterable[float], rank: float) -> float:
    """Return a percentile by the nearest-rank method.

    The result is a measured value, never an interpolation, so that p99 of
    30 values is the largest of them.

    Parameters
    ----------
    values : iterable of float
        Measured values; at least one.
    rank : float
        Above 0, at most 100.

    Examples
    --------
    >>> percentile([4.0, 1.0, 3.0, 2.0], 50)
    2.0
    >>> percentile(range(1, 31), 99)
    30
    """
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no values")
    if not 0 < rank <= 100:
        raise ValueError(f"rank {rank}")
    return ordered[math.ceil(rank / 100 * len(ordered)) - 1]


def longest_gap(
    times: collections.abc.Iterable[float], start: float, end: float
) -> tuple[float, float] | None:
    """Return the longest interval between neighbours that ends in a window.

    Parameters
    ----------
    times : iterable of float
        Times of events, in any order.
    start, end : float
        The interval has to end after `start` and begin before `end`.

    Returns
    -------
    (float, float) or None
        Begin and end; None without two events around the window.

    Examples
    --------
    >>> longest_gap([0.0, 1.0, 1.5, 4.0, 9.0], 1.2, 3.0)
    (1.5, 4.0)
    """
    ordered = sorted(times)
    found = None
    for before, after in zip(ordered, ordered[1:], strict=False):
        if after <= start or before >= end:
            continue
        if found is None or after - before > found[1] - found[0]:
            found = (before, after)
    return found


def latest_at(samples: list[tuple[float, object]], at: float) -> object | None:
    """Return the value of the last sample not after `at`.

    Parameters
    ----------
    samples : list of (float, object)
        Times, ascending, and values.
    at : float
        Time.

    Examples
    --------
    >>> latest_at([(1.0, "a"), (2.0, "b")], 1.9)
    'a'
    """
    low, high = 0, len(samples)
    while low < high:
        middle = (low + high) // 2
        if samples[middle][0] <= at:
            low = middle + 1
        else:
            high = middle
    return samples[low - 1][1] if low else None


def share(part: float, whole: float) -> float:
    """Return `part / whole`; NaN if there is nothing to divide."""
    return part / whole if whole else math.nan
