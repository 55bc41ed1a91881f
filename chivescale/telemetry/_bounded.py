"""Rate-limited log lines and a non-blocking output stream."""

import os

from chivescale.clock import now
from chivescale.telemetry._counters import COUNTERS
from chivescale.telemetry._log import log_event

# Token bucket of each event: refill rate and capacity. A burst of rejected
# requests repeats the same line; the metrics count every request.
MAX_LINES_PER_S = 20.0
MAX_BURST_LINES = 60.0


class _TokenBucket:
    __slots__ = ("refilled_at", "suppressed", "tokens")

    def __init__(self, refilled_at: float):
        self.refilled_at = refilled_at
        self.tokens = MAX_BURST_LINES
        self.suppressed = 0


_buckets: dict[str, _TokenBucket] = {}


def log_decision(event: str, level: str = "info", **fields: object) -> None:
    """Write a log line unless the rate limit of its event is exceeded.

    The next line of the event carries the number of suppressed lines.
    """
    time = now()
    bucket = _buckets.get(event)
    if bucket is None:
        bucket = _buckets[event] = _TokenBucket(time)
    refill = (time - bucket.refilled_at) * MAX_LINES_PER_S
    bucket.tokens = min(MAX_BURST_LINES, bucket.tokens + refill)
    bucket.refilled_at = time
    if bucket.tokens < 1.0:
        bucket.suppressed += 1
        COUNTERS.count("log_lines_suppressed", event)
        return
    bucket.tokens -= 1.0
    if bucket.suppressed:
        fields["suppressed"] = bucket.suppressed
        bucket.suppressed = 0
    log_event(event, level, **fields)


class NonBlockingStream:
    """Text stream that drops lines when the descriptor would block.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop and count it if the write would block."""
        try:
            os.write(self.descriptor, text.encode("utf-8", "replace"))
        except BlockingIOError:
            COUNTERS.count("log_lines_dropped")
        return len(text)

    def flush(self) -> None:
        """Do nothing; the stream has no buffer."""

    def close(self) -> None:
        """Do nothing; the descriptor belongs to the process."""

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor
