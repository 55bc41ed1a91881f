"""Adaptive concurrency limit driven by the latency of an endpoint."""

# The limit is reduced when the smoothed latency exceeds the windowed minimum
# by this factor, which means that statements queue inside the endpoint.
LATENCY_TOLERANCE = 2.0
# Deviations from the minimum below this are scheduling and network noise.
LATENCY_NOISE_S = 0.002
DECREASE_FACTOR = 0.9
# Weight of the newest latency in its moving average.
LATENCY_WEIGHT = 0.2
# The minimum covers one to two windows, so that it follows a lasting change
# of the cost of statements.
WINDOW_S = 10.0
RAMP_S = 1.0


class AdaptiveLimit:
    """Concurrency limit with additive increase, multiplicative decrease.

    Parameters
    ----------
    initial : float
        Initial limit: this host's share of the slots of the endpoint.
    minimum, maximum : float
        Bounds of the limit; `minimum` is at least 1.
    """

    def __init__(self, initial: float, minimum: float, maximum: float):
        self.minimum = max(1.0, minimum)
        self.maximum = max(self.minimum, maximum)
        self.current = min(max(initial, self.minimum), self.maximum)
        self.in_use = 0
        self.latency_s = 0.0
        self.decreased_at = 0.0
        self.ramp_started_at: float | None = None
        self.ramp_s = RAMP_S
        self.window_started_at: float | None = None
        self.window_min_s = float("inf")
        self.previous_window_min_s = float("inf")

    @property
    def limit(self) -> int:
        """Current limit, ignoring a ramp."""
        return int(self.current)

    def limit_at(self, now: float) -> int:
        """Return the limit at `now`, which is lower during a ramp."""
        if self.ramp_started_at is None:
            return int(self.current)
        fraction = (now - self.ramp_started_at) / self.ramp_s
        if fraction >= 1.0:
            self.ramp_started_at = None
            return int(self.current)
        span = self.current - self.minimum
        return int(self.minimum + span * max(0.0, fraction))

    def ramp(self, now: float, ramp_s: float = RAMP_S) -> None:
        """Restart at the minimum and rise linearly over `ramp_s` seconds.

        Used after a failover: a new primary has cold caches and receives all
        writes that queued up meanwhile.
        """
        self.ramp_started_at = now
        self.ramp_s = ramp_s

    def try_acquire(self, now: float) -> bool:
        """Take a slot if the limit allows it."""
        if self.in_use >= self.limit_at(now):
            return False
        self.in_use += 1
        return True

    def release(self, latency_s: float, ok: bool, now: float) -> None:
        """Return a slot and adjust the limit.

        Parameters
        ----------
        latency_s : float
            Execution time of the statement.
        ok : bool
            False on a timeout or when the endpoint reported overload; the
            latency is then ignored and the limit is reduced.
        now : float
            Monotonic seconds.
        """
        in_use_before = self.in_use
        self.in_use = max(0, self.in_use - 1)
        if not ok:
            self._decrease(now)
            return
        self._record_latency(latency_s, now)
        baseline_s = min(self.window_min_s, self.previous_window_min_s)
        if self.latency_s > LATENCY_TOLERANCE * baseline_s + LATENCY_NOISE_S:
            self._decrease(now)
        elif in_use_before >= int(self.current):
            # Raise the limit only while it is fully used: otherwise the
            # latency says nothing about a higher limit.
            self.current = min(self.maximum, self.current + 1 / self.current)

    def _record_latency(self, latency_s: float, now: float) -> None:
        weight = LATENCY_WEIGHT if self.latency_s else 1.0
        self.latency_s += weight * (latency_s - self.latency_s)
        if self.window_started_at is None:
            self.window_started_at = now
        elif now - self.window_started_at >= WINDOW_S:
            self.previous_window_min_s = self.window_min_s
            self.window_min_s = float("inf")
            self.window_started_at = now
        self.window_min_s = min(self.window_min_s, self.latency_s)

    def _decrease(self, now: float) -> None:
        # At most once per latency: the statements in flight at the time of
        # a decrease all report the same congestion.
        if now - self.decreased_at < max(self.latency_s, LATENCY_NOISE_S):
            return
        self.decreased_at = now
        self.current = max(self.minimum, self.current * DECREASE_FACTOR)
