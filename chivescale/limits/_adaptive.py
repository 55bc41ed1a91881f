"""Concurrency limit that follows the latency of an endpoint."""

# The limit falls when the smoothed latency exceeds the moving minimum by
# this factor: statements then wait inside the endpoint.
TOLERANCE = 2.0
# Latencies this close to the minimum are noise of scheduling and network.
NOISE_S = 0.002
DECREASE = 0.9
SMOOTHING = 0.2
# The minimum is taken over one to two windows, so that it follows a lasting
# change of the statements' cost.
WINDOW_S = 10.0
RAMP_S = 1.0


class AdaptiveLimit:
    """Additive increase, multiplicative decrease on latency.

    Parameters
    ----------
    initial : float
        Start value: this host's share of the endpoint's slots.
    minimum, maximum : float
        Bounds.
    """

    def __init__(self, initial: float, minimum: float, maximum: float):
        self.minimum = max(1.0, minimum)
        self.maximum = max(self.minimum, maximum)
        self.current = min(max(initial, self.minimum), self.maximum)
        self.in_use = 0
        self.latency_s = 0.0
        self.decreased_at = 0.0
        self.ramp_start: float | None = None
        self.ramp_s = RAMP_S
        self.window_start: float | None = None
        self.window_minimum = float("inf")
        self.last_minimum = float("inf")

    @property
    def limit(self) -> int:
        """Limit without regard to a ramp."""
        return int(self.current)

    def limit_at(self, now: float) -> int:
        """Return the limit at `now`, lower during a ramp."""
        if self.ramp_start is None:
            return int(self.current)
        passed = (now - self.ramp_start) / self.ramp_s
        if passed >= 1.0:
            self.ramp_start = None
            return int(self.current)
        span = self.current - self.minimum
        return int(self.minimum + span * max(0.0, passed))

    def ramp(self, now: float, ramp_s: float = RAMP_S) -> None:
        """Restart at the minimum and rise over `ramp_s` seconds.

        A new primary has cold caches and receives all writes that waited.
        """
        self.ramp_start = now
        self.ramp_s = ramp_s

    def try_acquire(self, now: float) -> bool:
        """Take one slot if the limit allows."""
        if self.in_use >= self.limit_at(now):
            return False
        self.in_use += 1
        return True

    def release(self, latency_s: float, ok: bool, now: float) -> None:
        """Return a slot.

        Parameters
        ----------
        latency_s : float
            Time that the statement took.
        ok : bool
            False on a timeout or when the endpoint reported overload; such
            a latency measures nothing.
        now : float
            Monotonic seconds.
        """
        used = self.in_use
        self.in_use = max(0, self.in_use - 1)
        if not ok:
            self._decrease(now)
            return
        self._observe(latency_s, now)
        baseline = min(self.window_minimum, self.last_minimum)
        if self.latency_s > TOLERANCE * baseline + NOISE_S:
            self._decrease(now)
        elif used >= int(self.current):
            # Raise only while the limit is in use: otherwise the latency
            # says nothing about a higher one.
            self.current = min(self.maximum, self.current + 1 / self.current)

    def _observe(self, latency_s: float, now: float) -> None:
        weight = SMOOTHING if self.latency_s else 1.0
        self.latency_s += weight * (latency_s - self.latency_s)
        if self.window_start is None:
            self.window_start = now
        elif now - self.window_start >= WINDOW_S:
            self.last_minimum = self.window_minimum
            self.window_minimum = float("inf")
            self.window_start = now
        self.window_minimum = min(self.window_minimum, self.latency_s)

    def _decrease(self, now: float) -> None:
        # Once per latency: the statements in flight at the time of a
        # decrease all report the same congestion.
        if now - self.decreased_at < max(self.latency_s, NOISE_S):
            return
        self.decreased_at = now
        self.current = max(self.minimum, self.current * DECREASE)
