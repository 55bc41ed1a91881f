"""Proof that a log holds every commit up to some time."""

from chivescale.messages import Position


class PrimarySample:
    """Newest position that a primary has proven.

    A primary that accepts a write or begins a transaction leads at that
    moment, and its log holds every commit acknowledged before. So the
    position in its answer covers every commit acknowledged before the
    statement was sent. A replica that holds this position holds these
    commits as well, also after a promotion: the log of a later term
    continues the one of the earlier term, less commits that were rolled
    back.

    Attributes
    ----------
    position : Position or None
        Proven position.
    sent_at : float
        When the statement that proved it was sent.
    """

    __slots__ = ("position", "sent_at")

    def __init__(self):
        self.position: Position | None = None
        self.sent_at = 0.0

    def note(self, position: Position | None, sent_at: float) -> None:
        """Take over a position from the answer of a leading primary."""
        if position is None:
            return
        if self.position is None or sent_at > self.sent_at:
            self.position, self.sent_at = position, sent_at

    def age_s(self, now: float) -> float:
        """Return how long ago the sample was taken."""
        if self.position is None:
            return float("inf")
        return now - self.sent_at

    def covers(self, arrived_at: float, staleness_s: float) -> bool:
        """Tell whether a read of accepted staleness may rely on it.

        Parameters
        ----------
        arrived_at : float
            When the read, or the begin of its transaction, arrived. The
            caller sent it before, so a limit counted from the arrival is
            the stricter one.
        staleness_s : float
            Accepted age of what the read may miss.
        """
        return self.age_s(arrived_at) <= staleness_s
