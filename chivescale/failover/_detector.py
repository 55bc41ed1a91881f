"""Failure detector of a single endpoint, based on probes."""

import msgspec

HEALTHY = "healthy"
REFUSED = "refused"
SILENT = "silent"

# Smoothing weights of RFC 6298 for the mean answer time and its deviation.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_MULTIPLIER = 4.0
# Late timers show that this process is short of processor time. The endpoint
# probably is as well if it shares the machine, and an answer passes several
# such delays, hence the factor.
TIMER_DELAY_FACTOR = 5.0
TIMER_DELAY_HALF_LIFE_S = 1.0
# Limits the effect of a single stall of this process on the timeout.
MAX_DELAY_ALLOWANCE_S = 0.8

# A single fresh probe is no proof of silence: it can be lost, or be followed
# by a normal pause of the endpoint. The second one is sent half an interval
# later.
SILENT_PROBES_REQUIRED = 2

# A single refused connection can be caused by a restart. The second probe is
# sent immediately and costs one round trip.
REFUSALS_REQUIRED = 2


class ProbeSent(msgspec.Struct, frozen=True):
    """A probe was sent; `fresh` if it uses a new connection."""

    probe: int
    fresh: bool = False


class ProbeAnswered(msgspec.Struct, frozen=True):
    """A probe was answered."""

    probe: int


class ProbeFailed(msgspec.Struct, frozen=True):
    """A probe failed.

    Attributes
    ----------
    refused : bool
        Whether the connection was refused. Otherwise the probe timed out or
        the connection broke.
    """

    probe: int
    refused: bool = False


class SendProbe(msgspec.Struct, frozen=True):
    """Effect: probe the endpoint now."""

    fresh: bool


class OutstandingProbe(msgspec.Struct):
    """A probe that has not been answered yet."""

    sent_at: float
    fresh: bool


class Detector:
    """Decides from the answers to probes whether an endpoint is healthy.

    Only probes over fresh connections can prove silence: an established
    connection can stop responding permanently while new connections work.

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
        self.mean_answer_s: float | None = None
        self.answer_deviation_s = 0.0
        self.outstanding: dict[int, OutstandingProbe] = {}
        self.last_answer_at: float | None = None
        self.last_sent_at: float | None = None
        self.last_tick_at: float | None = None
        # Send times of the first fresh probes since the last answer.
        self.unanswered_fresh_sent_at: list[float] = []
        self.refusals = 0
        self.timer_delay_s = 0.0

    def delay_allowance_s(self) -> float:
        """Return the increase of the timeouts while timers are late."""
        return min(
            MAX_DELAY_ALLOWANCE_S, TIMER_DELAY_FACTOR * self.timer_delay_s
        )

    def timeout_s(self) -> float:
        """Return the time after which a probe counts as unanswered."""
        if self.mean_answer_s is None:
            return self.floor_s + self.delay_allowance_s()
        expected = (
            self.mean_answer_s + DEVIATION_MULTIPLIER * self.answer_deviation_s
        )
        usual = min(max(expected, self.floor_s), self.ceiling_s)
        return usual + self.delay_allowance_s()

    def slow_answer_s(self) -> float:
        """Return the time after which a slow answer causes a fresh probe."""
        if self.mean_answer_s is None:
            return self.interval_s
        expected = (
            self.mean_answer_s + DEVIATION_MULTIPLIER * self.answer_deviation_s
        )
        return min(max(expected, self.interval_s / 2), self.interval_s)

    def step(self, event: object, now: float) -> list[SendProbe]:
        """Apply one event and return the probes to send."""
        if isinstance(event, ProbeSent):
            return self._on_probe_sent(event, now)
        if isinstance(event, ProbeAnswered):
            return self._on_probe_answered(event, now)
        if isinstance(event, ProbeFailed):
            return self._on_probe_failed(event, now)
        self._update_timer_delay(event.timer_delay_s, now)
        return self._on_tick(now)

    def _on_probe_sent(self, event: ProbeSent, now: float) -> list[SendProbe]:
        self.outstanding[event.probe] = OutstandingProbe(now, event.fresh)
        self.last_sent_at = now
        if (
            event.fresh
            and len(self.unanswered_fresh_sent_at) < SILENT_PROBES_REQUIRED
        ):
            self.unanswered_fresh_sent_at.append(now)
        return []

    def _on_probe_answered(
        self, event: ProbeAnswered, now: float
    ) -> list[SendProbe]:
        probe = self.outstanding.pop(event.probe, None)
        if probe is None:
            return []
        self._update_answer_time(now - probe.sent_at)
        self.last_answer_at = now
        self.unanswered_fresh_sent_at = []
        self.refusals = 0
        self.verdict = HEALTHY
        return []

    def _update_answer_time(self, answer_s: float) -> None:
        if self.mean_answer_s is None:
            self.mean_answer_s, self.answer_deviation_s = (
                answer_s,
                answer_s / 2,
            )
            return
        error = abs(answer_s - self.mean_answer_s)
        self.answer_deviation_s += DEVIATION_GAIN * (
            error - self.answer_deviation_s
        )
        self.mean_answer_s += MEAN_GAIN * (answer_s - self.mean_answer_s)

    def _on_probe_failed(
        self, event: ProbeFailed, now: float
    ) -> list[SendProbe]:
        probe = self.outstanding.pop(event.probe, None)
        if probe is None:
            return []
        if event.refused:
            self.refusals += 1
            if self.refusals >= REFUSALS_REQUIRED:
                self.verdict = REFUSED
                return []
            return [SendProbe(fresh=True)]
        self.refusals = 0
        if self.verdict == REFUSED:
            self.verdict = HEALTHY
        self._update_silence_verdict(now)
        # A broken established connection is no evidence against the
        # endpoint; only a probe over a fresh connection is.
        connection_broke = now - probe.sent_at < self.timeout_s()
        if (
            connection_broke
            and not probe.fresh
            and not self._has_fresh_probe()
        ):
            return [SendProbe(fresh=True)]
        return []

    def _on_tick(self, now: float) -> list[SendProbe]:
        self._discount_local_pause(now)
        self.last_tick_at = now
        self._update_silence_verdict(now)
        if self.last_sent_at is None:
            return [SendProbe(fresh=True)]
        wait_s = self.interval_s
        if 0 < len(self.unanswered_fresh_sent_at) < SILENT_PROBES_REQUIRED:
            wait_s /= 2
        due = now - self.last_sent_at >= wait_s
        has_slow_probe = self._has_slow_probe(now)
        if has_slow_probe and not self._has_fresh_probe():
            return [SendProbe(fresh=True)]
        # All probes are fresh while established connections are slow. A
        # refusing endpoint needs new connections anyway.
        fresh = has_slow_probe or self.verdict != HEALTHY
        return [SendProbe(fresh)] if due else []

    def _update_timer_delay(self, delay_s: float, now: float) -> None:
        """Track the maximum timer delay, which decays exponentially."""
        if self.last_tick_at is not None:
            age = max(0.0, now - self.last_tick_at)
            self.timer_delay_s *= 0.5 ** (age / TIMER_DELAY_HALF_LIFE_S)
        self.timer_delay_s = max(self.timer_delay_s, delay_s)

    def _discount_local_pause(self, now: float) -> None:
        """Shift send times by the time in which this process was paused."""
        if self.last_tick_at is None:
            return
        pause = now - self.last_tick_at - self.interval_s
        if pause <= 0:
            return
        for probe in self.outstanding.values():
            probe.sent_at = min(probe.sent_at + pause, now)
        self.unanswered_fresh_sent_at = [
            min(fresh_sent_at + pause, now)
            for fresh_sent_at in self.unanswered_fresh_sent_at
        ]

    def _has_slow_probe(self, now: float) -> bool:
        return any(
            now - probe.sent_at >= self.slow_answer_s()
            for probe in self.outstanding.values()
        )

    def _has_fresh_probe(self) -> bool:
        return any(probe.fresh for probe in self.outstanding.values())

    def _update_silence_verdict(self, now: float) -> None:
        if len(self.unanswered_fresh_sent_at) < SILENT_PROBES_REQUIRED:
            return
        if now - self.unanswered_fresh_sent_at[-1] >= self.timeout_s():
            self.verdict = SILENT
