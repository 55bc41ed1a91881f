"""Failure detector of a primary, based on probes and reachability reports.

It distinguishes a dead primary from one that is slow or partly cut off.
"""

import enum

import msgspec

# Pauses of up to 300 ms are normal for an endpoint under load.
SUSPECT_AFTER_SILENCE_S = 0.3
# Silence after which a primary counts as dead, if the entry hosts confirm it.
DEAD_AFTER_SILENCE_S = 0.55
# A refused connection shows that no process listens. A second one rules out a
# single reset by the network.
DEAD_AFTER_REFUSALS = 2
# Time for entry hosts to report whether they reach the primary.
OPINION_WAIT_S = 0.2
MAX_OPINION_AGE_S = 1.0
# A longer gap between ticks means that the process of the detector was paused.
# Answers missed in the meantime are no evidence against the primary.
MAX_TICK_GAP_S = 0.5


class Verdict(enum.Enum):
    """State of a primary as judged by the detector."""

    ALIVE = enum.auto()
    SUSPECT = enum.auto()
    DEAD = enum.auto()


class Opinion(msgspec.Struct):
    """Report of an entry host on whether it reaches the primary."""

    reachable: bool
    reported_at: float


class PrimaryDetector:
    """Judges one incarnation of a primary.

    Parameters
    ----------
    now : float
        Time in seconds at which the observation starts.

    Attributes
    ----------
    answered_at : float
        When the last answered probe was sent, or the start of observation.
    refusals : int
        Number of consecutive refused connections.
    opinions : dict of str to Opinion
        Latest report of each entry host.
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

    def record_answer(self, sent_at: float) -> None:
        """Record an answered probe."""
        self.answered_at = max(self.answered_at, sent_at)
        self.failed_at = None
        self.suspected_at = None
        self.refusals = 0

    def record_failure(self, refused: bool, now: float) -> None:
        """Record an unanswered probe or a refused connection."""
        self.failed_at = now
        self.refusals = self.refusals + 1 if refused else 0

    def record_opinion(self, host: str, reachable: bool, now: float) -> None:
        """Record whether an entry host reaches the primary."""
        self.opinions[host] = Opinion(reachable, now)

    def evaluate(self, now: float) -> Verdict:
        """Return the verdict on the primary; call this at every tick."""
        if now - self.ticked_at > MAX_TICK_GAP_S:
            self.record_answer(now)
        self.ticked_at = now
        silence = now - self.answered_at
        failing = self.failed_at is not None
        if not failing or (
            silence < SUSPECT_AFTER_SILENCE_S and not self.refusals
        ):
            self.suspected_at = None
            return Verdict.ALIVE
        if self.suspected_at is None:
            self.suspected_at = now
        if self._is_unresponsive(silence) and self._no_majority_reaches(now):
            return Verdict.DEAD
        return Verdict.SUSPECT

    def _is_unresponsive(self, silence: float) -> bool:
        return (
            self.refusals >= DEAD_AFTER_REFUSALS
            or silence >= DEAD_AFTER_SILENCE_S
        )

    def _no_majority_reaches(self, now: float) -> bool:
        """Tell whether recent reports lack a majority that reaches it."""
        if now - self.suspected_at < OPINION_WAIT_S:
            return False
        recent = [
            opinion
            for opinion in self.opinions.values()
            if opinion.reported_at >= self.suspected_at
            and now - opinion.reported_at <= MAX_OPINION_AGE_S
        ]
        reachable = sum(opinion.reachable for opinion in recent)
        return reachable * 2 <= len(recent)
