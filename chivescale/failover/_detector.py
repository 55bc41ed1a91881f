"""Failure detector of one probed endpoint."""

import msgspec

HEALTHY = "healthy"
REFUSED = "refused"
SILENT = "silent"

# Weights of RFC 6298 for the mean answer time and its deviation.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
# A process whose own timers are late is short of processor time, and so
# probably is the endpoint beside it: every answer passes several such waits.
OWN_LATENESS_FACTOR = 5.0
OWN_LATENESS_HALF_LIFE_S = 1.0
# Limits what a single stall of this process adds to the timeout.
MAX_OWN_ALLOWANCE_S = 0.8

# A single fresh probe can be lost while the endpoint makes a normal pause
# right after it; the second one is sent half an interval later.
SILENT_PROBES_NEEDED = 2

# One refused connection can be a restart caught in the act; the repetition
# follows at once and costs one round trip.
REFUSALS_NEEDED = 2


class ProbeSent(msgspec.Struct, frozen=True):
    """A probe left; `fresh` if it opened its own connection."""

    probe: int
    fresh: bool = False


class ProbeAnswered(msgspec.Struct, frozen=True):
    """The answer to a probe arrived."""

    probe: int


class ProbeFailed(msgspec.Struct, frozen=True):
    """A probe ended without an answer.

    Attributes
    ----------
    refused : bool
        The connection was refused; otherwise no answer came in time or the
        connection broke.
    """

    probe: int
    refused: bool = False


class SendProbe(msgspec.Struct, frozen=True):
    """Effect: probe the endpoint now."""

    fresh: bool


class Outstanding(msgspec.Struct):
    """A probe without an answer so far."""

    sent_at: float
    fresh: bool


class Detector:
    """Judges one endpoint by the answers to its probes.

    A verdict of silence rests on probes over fresh connections: old
    connections can stop responding for good while new ones work.

    Parameters
    ----------
    interval_s : float
        Time between probes, in seconds.
    floor_s, ceiling_s : float
        Bounds of the adaptive timeout, in seconds.
    """

    def __init__(
        self,
        interval_s: float = 0.1,
        floor_s: float = 0.35,
        ceiling_s: float = 0.7,
    ):
        self.interval_s = interval_s
        self.floor_s = floor_s
        self.ceiling_s = max(ceiling_s, floor_s)
        self.verdict = HEALTHY
        self.mean_s: float | None = None
        self.deviation_s = 0.0
        self.outstanding: dict[int, Outstanding] = {}
        self.last_answer_at: float | None = None
        self.last_sent_at: float | None = None
        self.last_tick_at: float | None = None
        # When the oldest fresh probes left after which nothing was answered.
        self.unanswered_at: list[float] = []
        self.refusals = 0
        self.lateness_s = 0.0

    def allowance_s(self) -> float:
        """Return what is added to time-outs while this process is slow."""
        return min(MAX_OWN_ALLOWANCE_S, OWN_LATENESS_FACTOR * self.lateness_s)

    def timeout_s(self) -> float:
        """Return the silence after which an answer is overdue."""
        if self.mean_s is None:
            return self.floor_s + self.allowance_s()
        expected = self.mean_s + DEVIATIONS * self.deviation_s
        usual = min(max(expected, self.floor_s), self.ceiling_s)
        return usual + self.allowance_s()

    def late_s(self) -> float:
        """Return the wait after which a fresh probe checks a late one."""
        if self.mean_s is None:
            return self.interval_s
        expected = self.mean_s + DEVIATIONS * self.deviation_s
        return min(max(expected, self.interval_s / 2), self.interval_s)

    def step(self, event: object, now: float) -> list[SendProbe]:
        """Apply one event and return the probes to send."""
        if isinstance(event, ProbeSent):
            return self._sent(event, now)
        if isinstance(event, ProbeAnswered):
            return self._answered(event, now)
        if isinstance(event, ProbeFailed):
            return self._failed(event, now)
        self._note_lateness(event.late_s, now)
        return self._tick(now)

    def _sent(self, event: ProbeSent, now: float) -> list[SendProbe]:
        self.outstanding[event.probe] = Outstanding(now, event.fresh)
        self.last_sent_at = now
        if event.fresh and len(self.unanswered_at) < SILENT_PROBES_NEEDED:
            self.unanswered_at.append(now)
        return []

    def _answered(self, event: ProbeAnswered, now: float) -> list[SendProbe]:
        probe = self.outstanding.pop(event.probe, None)
        if probe is None:
            return []
        self._observe(now - probe.sent_at)
        self.last_answer_at = now
        self.unanswered_at = []
        self.refusals = 0
        self.verdict = HEALTHY
        return []

    def _observe(self, took_s: float) -> None:
        if self.mean_s is None:
            self.mean_s, self.deviation_s = took_s, took_s / 2
            return
        error = abs(took_s - self.mean_s)
        self.deviation_s += DEVIATION_GAIN * (error - self.deviation_s)
        self.mean_s += MEAN_GAIN * (took_s - self.mean_s)

    def _failed(self, event: ProbeFailed, now: float) -> list[SendProbe]:
        probe = self.outstanding.pop(event.probe, None)
        if probe is None:
            return []
        if event.refused:
            self.refusals += 1
            if self.refusals >= REFUSALS_NEEDED:
                self.verdict = REFUSED
                return []
            return [SendProbe(fresh=True)]
        self.refusals = 0
        if self.verdict == REFUSED:
            self.verdict = HEALTHY
        self._judge_silence(now)
        # A connection that broke before the timeout says nothing about the
        # endpoint; only a fresh one does.
        broke = now - probe.sent_at < self.timeout_s()
        if broke and not probe.fresh and not self._fresh_pending():
            return [SendProbe(fresh=True)]
        return []

    def _tick(self, now: float) -> list[SendProbe]:
        self._credit_own_pause(now)
        self.last_tick_at = now
        self._judge_silence(now)
        if self.last_sent_at is None:
            return [SendProbe(fresh=True)]
        wait_s = self.interval_s
        if 0 < len(self.unanswered_at) < SILENT_PROBES_NEEDED:
            wait_s /= 2
        due = now - self.last_sent_at >= wait_s
        late = self._late(now)
        if late and not self._fresh_pending():
            return [SendProbe(fresh=True)]
        # While the old connections are late, all probes are fresh. A refusing
        # endpoint gets new connections anyway.
        fresh = late or self.verdict != HEALTHY
        return [SendProbe(fresh)] if due else []

    def _note_lateness(self, late_s: float, now: float) -> None:
        """Keep the recent lateness of the own timer; it decays."""
        if self.last_tick_at is not None:
            age = max(0.0, now - self.last_tick_at)
            self.lateness_s *= 0.5 ** (age / OWN_LATENESS_HALF_LIFE_S)
        self.lateness_s = max(self.lateness_s, late_s)

    def _credit_own_pause(self, now: float) -> None:
        """Move the probes' start by the time this process did not run."""
        if self.last_tick_at is None:
            return
        pause = now - self.last_tick_at - self.interval_s
        if pause <= 0:
            return
        for probe in self.outstanding.values():
            probe.sent_at = min(probe.sent_at + pause, now)
        self.unanswered_at = [
            min(at + pause, now) for at in self.unanswered_at
        ]

    def _late(self, now: float) -> bool:
        return any(
            now - probe.sent_at >= self.late_s()
            for probe in self.outstanding.values()
        )

    def _fresh_pending(self) -> bool:
        return any(probe.fresh for probe in self.outstanding.values())

    def _judge_silence(self, now: float) -> None:
        if len(self.unanswered_at) < SILENT_PROBES_NEEDED:
            return
        if now - self.unanswered_at[-1] >= self.timeout_s():
            self.verdict = SILENT
