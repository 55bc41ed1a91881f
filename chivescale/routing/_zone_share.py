"""Decides how many reads leave the zone of a host."""

import collections

# Samples older than this say nothing about the present load.
SAMPLE_LIFETIME_S = 2.0
MAX_SAMPLES = 64
MIN_HOME_SAMPLES = 5
MIN_AWAY_SAMPLES = 3
# Leaving pays if answers arrive sooner by this part of the time in the own
# zone, and by this time, which stand for the billed traffic.
MIN_GAIN_FRACTION = 0.15
MIN_GAIN_S = 0.004
# Interval of the decisions. A change shows in the samples after about one.
INTERVAL_S = 0.5
MAX_STEP = 0.1
RETURN_FRACTION = 1 / 3
# Share of the reads that measure the other zones while the own zone is
# slower than without load by this factor.
PROBE_SHARE = 0.02
LOADED_FACTOR = 1.5
# An endpoint whose answers take this many times as long as without load is no
# reason to stay, whatever the mean of the zone is.
OVERLOADED_FACTOR = 3.0
# The time without load is the lowest one seen; it is forgotten slowly, by
# this factor at each decision.
BASE_GROWTH = 1.002
# Shares below this are rounded to zero.
MIN_SHARE = 0.01


class _Samples:
    """Recent times of one kind."""

    __slots__ = ("samples", "total_s")

    def __init__(self):
        self.samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.total_s = 0.0

    def add(self, seconds: float, time: float) -> None:
        self.samples.append((time, seconds))
        self.total_s += seconds
        self.drop_old(time)

    def drop_old(self, time: float) -> None:
        while self.samples and (
            len(self.samples) > MAX_SAMPLES
            or time - self.samples[0][0] > SAMPLE_LIFETIME_S
        ):
            self.total_s -= self.samples.popleft()[1]

    def mean_s(self, least: int, time: float) -> float | None:
        self.drop_old(time)
        if len(self.samples) < least:
            return None
        return self.total_s / len(self.samples)


class ZoneShare:
    """Share of the reads of a service for which other zones compete.

    The share rises while answers from other zones arrive sooner than those of
    the own zone, and falls otherwise, both in bounded steps, so that hosts
    that see the same load do not leave and return together.

    Attributes
    ----------
    share : float
        Fraction of the reads, 0 to 1.
    home_s, away_s : float or None
        Mean time to an answer in seconds, in the own zone and in the other
        ones; None if it is not known.

    Examples
    --------
    >>> share = ZoneShare()
    >>> for number in range(20):
    ...     share.record(False, 0.08, number / 10)
    ...     share.record(True, 0.03, number / 10)
    >>> share.update(2.0), share.share
    (True, 0.1)
    """

    __slots__ = (
        "away",
        "away_s",
        "base_s",
        "decide_at",
        "home",
        "home_s",
        "share",
    )

    def __init__(self):
        self.home, self.away = _Samples(), _Samples()
        self.home_s: float | None = None
        self.away_s: float | None = None
        self.base_s: float | None = None
        self.share = 0.0
        self.decide_at = 0.0

    def record(self, away: bool, seconds: float, time: float) -> None:
        """Record the time from sending a read to its answer."""
        (self.away if away else self.home).add(seconds, time)

    def leaves(self, draw: float, time: float) -> bool:
        """Return whether other zones compete for a read.

        Parameters
        ----------
        draw : float
            Random number from 0 to below 1.
        time : float
            Monotonic seconds.
        """
        self.update(time)
        return draw < max(self.share, self._probe_share())

    def overloaded(self, seconds: float) -> bool:
        """Return whether an endpoint of the own zone is far too slow.

        True as long as the time without load is not known.

        Parameters
        ----------
        seconds : float
            Expected time to an answer of that endpoint.
        """
        base_s = self.base_s
        return base_s is None or seconds > OVERLOADED_FACTOR * base_s

    def update(self, time: float) -> bool:
        """Decide if it is time to; return whether the share has changed."""
        if time < self.decide_at:
            return False
        self.decide_at = time + INTERVAL_S
        before = self.share
        self.home_s = self.home.mean_s(MIN_HOME_SAMPLES, time)
        self.away_s = self.away.mean_s(MIN_AWAY_SAMPLES, time)
        if self.home_s is not None:
            base_s = self.base_s or self.home_s
            self.base_s = min(base_s * BASE_GROWTH, self.home_s)
        if self._pays():
            self.share = min(1.0, self.share + MAX_STEP)
        else:
            self.share *= 1 - RETURN_FRACTION
            if self.share < MIN_SHARE:
                self.share = 0.0
        return self.share != before

    def _pays(self) -> bool:
        if self.home_s is None or self.away_s is None:
            return False
        gain_s = self.home_s - self.away_s
        return gain_s > max(MIN_GAIN_S, MIN_GAIN_FRACTION * self.home_s)

    def _probe_share(self) -> float:
        if self.home_s is None or self.base_s is None:
            return 0.0
        loaded = self.home_s > LOADED_FACTOR * self.base_s
        return PROBE_SHARE if loaded else 0.0
