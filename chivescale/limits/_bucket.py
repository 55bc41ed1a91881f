"""Token bucket."""


class TokenBucket:
    """Allows `rate` events a second and up to `burst` at once.

    Parameters
    ----------
    rate : float
        Events a second; 0 means no limit.
    burst : float
        Most events at once.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, burst=1)
    >>> bucket.try_take(0.0), bucket.try_take(0.1), bucket.try_take(0.6)
    (True, False, True)
    """

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.tokens = self.burst
        self.updated_at: float | None = None

    def try_take(self, now: float) -> bool:
        """Take one event at monotonic second `now` if allowed."""
        if self.rate <= 0:
            return True
        if self.updated_at is not None:
            elapsed = max(0.0, now - self.updated_at)
            self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
