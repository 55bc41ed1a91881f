"""Log position that contains every commit up to a point in time."""

from chivescale.messages import Position


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
    """

    __slots__ = ("position", "sent_at")

    def __init__(self):
        self.position: Position | None = None
        self.sent_at = 0.0

    def record(self, position: Position | None, sent_at: float) -> None:
        """Record the position from a reply of the primary."""
        if position is None:
            return
        if self.position is None or sent_at > self.sent_at:
            self.position, self.sent_at = position, sent_at

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
