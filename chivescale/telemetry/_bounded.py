"""Log lines whose number is bounded and whose writing never blocks."""

import os

from chivescale.clock import now
from chivescale.telemetry._counters import COUNTERS
from chivescale.telemetry._log import log_event

# Lines of one event in a second, and how many can be saved up. A burst of
# refusals says the same many times; metrics count all of them.
LINES_PER_S = 20.0
BURST_LINES = 60.0


class _Allowance:
    __slots__ = ("at", "suppressed", "tokens")

    def __init__(self, at: float):
        self.at = at
        self.tokens = BURST_LINES
        self.suppressed = 0


_allowances: dict[str, _Allowance] = {}


def log_decision(event: str, level: str = "info", **fields: object) -> None:
    """Write a line about a request unless there were too many of its kind.

    The next line that is written tells how many were left out.
    """
    time = now()
    allowance = _allowances.get(event)
    if allowance is None:
        allowance = _allowances[event] = _Allowance(time)
    earned = (time - allowance.at) * LINES_PER_S
    allowance.tokens = min(BURST_LINES, allowance.tokens + earned)
    allowance.at = time
    if allowance.tokens < 1.0:
        allowance.suppressed += 1
        COUNTERS.count("log_lines_suppressed", event)
        return
    allowance.tokens -= 1.0
    if allowance.suppressed:
        fields["suppressed"] = allowance.suppressed
        allowance.suppressed = 0
    log_event(event, level, **fields)


class NonBlockingStream:
    """Text stream that drops lines instead of waiting for the reader.

    Parameters
    ----------
    descriptor : int
        Open file, which is set to non-blocking.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line or drop it."""
        try:
            os.write(self.descriptor, text.encode("utf-8", "replace"))
        except BlockingIOError:
            COUNTERS.count("log_lines_dropped")
        return len(text)

    def flush(self) -> None:
        """Nothing is buffered."""

    def close(self) -> None:
        """Leave the descriptor open; it is the process's own."""

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor
