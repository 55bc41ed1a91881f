"""Bounds on the number and pace of retries."""

import random

BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.5


class RetryBudget:
    """Allows retries as a share of requests.

    Unlimited retries multiply the load on endpoints that are already
    overloaded.

    Parameters
    ----------
    ratio : float
        Retries earned by one request.
    burst : float
        Most retries that can be saved up.

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
        """Earn the share of one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_retry(self) -> bool:
        """Take one retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the pause before retry number `attempt`, counted from 0.

    Uniform over the whole interval (full jitter), so that callers that
    failed together do not return together.

    Parameters
    ----------
    attempt : int
        Retries made so far.
    rng : random.Random
        Source of randomness.
    """
    # The exponent is bounded so that large counts cannot overflow.
    bound = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(attempt, 16))
    return rng.random() * bound
