"""Tells a primary that is gone from one that is slow or partly cut off."""

import enum

import msgspec

# A pause up to 300 ms is normal for an endpoint under load.
SILENCE_SUSPECT_S = 0.3
# Silence for this long, confirmed by entry hosts, ends a primary's lead.
SILENCE_DEAD_S = 0.55
# A refused connection proves that no process listens; the second one rules
# out a single reset on the way.
REFUSALS_DEAD = 2
# Entry hosts get this long to say whether they reach the primary.
OPINION_WAIT_S = 0.2
# An opinion is used for this long.
OPINION_KEPT_S = 1.0
# The detector's own timer is this late only if its process was paused; what
# it missed meanwhile proves nothing about the primary.
LATE_TICK_S = 0.5


class Verdict(enum.Enum):
    """What is known of a primary."""

    ALIVE = enum.auto()
    SUSPECT = enum.auto()
    DEAD = enum.auto()


class Opinion(msgspec.Struct):
    """What an entry host said of the primary."""

    reachable: bool
    said_at: float


class PrimaryDetector:
    """Observes one incarnation of a primary.

    Parameters
    ----------
    now : float
        Time in seconds at which the observation starts.

    Attributes
    ----------
    answered_at : float
        When the last answered probe was sent, or the start.
    refusals : int
        Refused connections in a row.
    opinions : dict of str to Opinion
        Last opinion of each entry host.
    """

    __slots__ = (
        "answered_at",
        "failed_at",
        "opinions",
        "refusals",
        "suspected_at",
        "ticked_at",
    )

    def __init__(self, now: float):
        self.answered_at = now
        self.failed_at: float | None = None
        self.suspected_at: float | None = None
        self.refusals = 0
        self.ticked_at = now
        self.opinions: dict[str, Opinion] = {}

    def answered(self, sent_at: float) -> None:
        """Note an answered probe."""
        self.answered_at = max(self.answered_at, sent_at)
        self.failed_at = None
        self.suspected_at = None
        self.refusals = 0

    def failed(self, refused: bool, now: float) -> None:
        """Note a probe without an answer or a refused connection."""
        self.failed_at = now
        self.refusals = self.refusals + 1 if refused else 0

    def opinion(self, host: str, reachable: bool, now: float) -> None:
        """Note what an entry host says."""
        self.opinions[host] = Opinion(reachable, now)

    def verdict(self, now: float) -> Verdict:
        """Judge the primary; called at short intervals."""
        if now - self.ticked_at > LATE_TICK_S:
            self.answered(now)
        self.ticked_at = now
        silence = now - self.answered_at
        failing = self.failed_at is not None
        if not failing or (silence < SILENCE_SUSPECT_S and not self.refusals):
            self.suspected_at = None
            return Verdict.ALIVE
        if self.suspected_at is None:
            self.suspected_at = now
        if self._seems_dead(silence) and self._hosts_agree(now):
            return Verdict.DEAD
        return Verdict.SUSPECT

    def _seems_dead(self, silence: float) -> bool:
        return self.refusals >= REFUSALS_DEAD or silence >= SILENCE_DEAD_S

    def _hosts_agree(self, now: float) -> bool:
        """Tell whether no majority of entry hosts reaches the primary."""
        if now - self.suspected_at < OPINION_WAIT_S:
            return False
        recent = [
            opinion
            for opinion in self.opinions.values()
            if opinion.said_at >= self.suspected_at
            and now - opinion.said_at <= OPINION_KEPT_S
        ]
        reachable = sum(opinion.reachable for opinion in recent)
        return reachable * 2 <= len(recent)
