"""Token bucket rate limiter."""


class TokenBucket:
    """Token bucket: `rate` events per second, with bursts up to `burst`.

    Parameters
    ----------
    rate : float
        Events per second; 0 means unlimited.
    burst : float
        Bucket capacity, in events; at least 1.

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
        """Consume a token at monotonic time `now`; False if none is left."""
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
