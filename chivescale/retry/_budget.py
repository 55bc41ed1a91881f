"""Retry budget and exponential backoff."""

import random

BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.5


class RetryBudget:
    """Token bucket that limits retries to a fraction of all requests.

    Without it, retries would multiply the load on endpoints that are already
    overloaded.

    Parameters
    ----------
    ratio : float
        Tokens added per request; one retry consumes one token.
    burst : float
        Maximum number of tokens.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, burst=1)
    >>> budget.try_retry(), budget.try_retry()
    (True, False)
    >>> budget.record_request()
    >>> budget.record_request()
    >>> budget.try_retry()
    True
    """

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, ratio: float = 0.1, burst: float = 10.0):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """Add the tokens of one request; retries do not count."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_retry(self) -> bool:
        """Consume a token; return False if none is available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the delay before retry number `attempt`, counted from 0.

    Drawn uniformly from the whole interval (full jitter), so that callers
    that failed at the same time do not retry at the same time.

    Parameters
    ----------
    attempt : int
        Number of retries made so far.
    rng : random.Random
        Random number generator.
    """
    # The exponent is capped to avoid overflow for large retry counts.
    max_delay_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(attempt, 16))
    return rng.random() * max_delay_s
