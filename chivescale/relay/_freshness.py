"""Log position that contains every commit up to a point in time."""

import collections

from chivescale.messages import Position

# Confirmed positions are kept at this interval, for as long as reads accept
# them; older ones are rarely of use.
SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLES = 100
# Part of the accepted staleness that is used. The rest covers the time between
# the sending of a read and its arrival.
STALENESS_FRACTION = 0.9


class ConfirmedPosition:
    """Newest position confirmed by a primary.

    An endpoint that accepts a write or begins a read-write transaction is the
    primary at that moment, and its log contains every commit acknowledged
    before. The position in its reply therefore covers every commit
    acknowledged before the statement was sent. A replica that has reached
    this position contains these commits too, even after a promotion: the log
    of a later term continues the log of the earlier term, except for commits
    that were rolled back.

    Attributes
    ----------
    position : Position or None
        Confirmed position.
    sent_at : float
        Time at which the confirming statement was sent.
    samples : deque of (float, Position)
        Earlier confirmed positions with the times at which the confirming
        statements were sent, oldest first.
    """

    __slots__ = ("position", "samples", "sent_at")

    def __init__(self):
        self.position: Position | None = None
        self.sent_at = 0.0
        self.samples: collections.deque[tuple[float, Position]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )

    def record(self, position: Position | None, sent_at: float) -> None:
        """Record the position from a reply of the primary."""
        if position is None:
            return
        if self.position is None or sent_at > self.sent_at:
            self.position, self.sent_at = position, sent_at
            if (
                not self.samples
                or sent_at - self.samples[-1][0] >= SAMPLE_INTERVAL_S
            ):
                self.samples.append((sent_at, position))

    def oldest_for(
        self, arrived_at: float, staleness_s: float
    ) -> tuple[float, Position]:
        """Return the oldest confirmed position that suffices for a read.

        A position covers the commits acknowledged before its confirming
        statement was sent, so one that is at most as old as the accepted
        staleness suffices. A replica that lags may hold it already, which
        saves the primary the read.

        Returns
        -------
        tuple of (float, Position)
            Time at which the confirming statement was sent, and the position.
        """
        since = arrived_at - staleness_s * STALENESS_FRACTION
        for sent_at, position in self.samples:
            if sent_at >= since:
                return sent_at, position
        return self.sent_at, self.position

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation."""
        if self.position is None:
            return float("inf")
        return now - self.sent_at

    def covers(self, arrived_at: float, staleness_s: float) -> bool:
        """Return whether the position is recent enough for a read.

        Parameters
        ----------
        arrived_at : float
            Time at which the read, or the begin of its transaction, arrived.
            The client sent it earlier, so measuring the age at the arrival
            is the stricter choice.
        staleness_s : float
            Accepted staleness of the read.
        """
        return self.age_s(arrived_at) <= staleness_s
