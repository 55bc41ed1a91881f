"""What an entry host knows of the endpoints of a service."""

import asyncio
import collections
import random

import msgspec

from chivescale.clock import now
from chivescale.dialect import EndpointDialect
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link, can_connect, open_link
from chivescale.messages import Position
from chivescale.registry import EndpointBeat
from chivescale.relay._freshness import PrimarySample
from chivescale.relay._pool import LinkPool
from chivescale.telemetry import log_event

# Expected latency of an endpoint of which nothing was heard lately.
BASE_LATENCY_S = 0.015
# Share of a new measurement in the average latency.
LATENCY_WEIGHT = 0.3
# An old measurement loses half of its weight in this time.
LATENCY_HALF_LIFE_S = 1.0
# A round trip to another zone, and its priced bytes, against a queue.
OTHER_ZONE_S = 0.004
# The primary keeps room for work that no other endpoint can do.
PRIMARY_FACTOR = 1.6
# A replica that was behind a read is passed over for about one more lag.
BEHIND_S = 0.05
# Without a claim, an endpoint that refused a write is tried again after this.
REFUSED_S = 0.5
# An endpoint that has answered nothing for this long while a statement runs
# is checked. Pauses of up to 300 ms are normal.
SILENT_S = 0.35
# A statement whose answer is this late, plus a multiple of the usual latency,
# while later ones were answered, has lost its answer.
LOST_ANSWER_S = 0.3
LOST_ANSWER_FACTOR = 6.0
# Statements wait in one queue at an endpoint, so the fastest one of the last
# second shows how long the queue was all the time, however much their run
# times differ. A standing queue above the target makes transactions of many
# statements miss their limits, and what ran for them is lost.
QUEUE_WINDOW_S = 1.0
QUEUE_TARGET_S = 0.05
QUEUE_SAMPLES = 3
MAX_SAMPLES = 64
# A check is a new connection, which a machine that runs accepts at once,
# however busy its slots are.
TRIAL_TIMEOUT_S = 0.25
TRIAL_PAUSE_S = 0.2
CHECK_PAUSE_S = 0.5


class Running(msgspec.Struct, eq=False):
    """A statement under way.

    Attributes
    ----------
    started : float
        When it was sent.
    link : Link
        Where it runs.
    revocable : bool
        Whether ending it leaves nothing behind: a read, or a statement of
        a transaction that nobody has asked to commit.
    """

    started: float
    link: Link
    revocable: bool


class Endpoint:
    """One endpoint and the links to it.

    Attributes
    ----------
    beat : EndpointBeat
        Last statement that the endpoint made of itself.
    primary_since : float
        When it began to call itself primary; 0 if it does not.
    position : Position or None
        Last log entry known to be applied.
    running : dict of Running to None
        Statements under way from this host, the oldest first.
    suspected : bool
        Whether it seems unreachable.
    refused_at : float
        When it last said that it is not the primary.
    wrong : bool
        Whether another endpoint answers at its address.
    """

    def __init__(self, beat: EndpointBeat, dialect: EndpointDialect):
        self.beat = beat
        self.dialect = dialect
        self.primary_since = 0.0
        self.position: Position | None = None
        self.latency_s = BASE_LATENCY_S
        self.measured_at = 0.0
        self.refused_at = 0.0
        self.behind_until = 0.0
        self.wrong = False
        self.running: dict[Running, None] = {}
        self.answered_at = 0.0
        self.latencies: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self.suspected = False
        self.trial: asyncio.Task | None = None
        self.check_again_at = 0.0
        self.reachable = can_connect
        self.pool = LinkPool(self._open)

    async def _open(self, timeout_s: float) -> Link | Failure:
        beat = self.beat
        link = await open_link(
            self.dialect, beat.address, beat.service, beat.endpoint, timeout_s
        )
        if is_failure(link):
            if link.kind is ErrorKind.WRONG_ENDPOINT:
                self.wrong = True
            elif link.kind is ErrorKind.UNREACHABLE:
                self.suspect(link.reason)
        return link

    def usable(self, time: float) -> bool:
        """Tell whether new work may be sent."""
        if self.wrong or self.suspected:
            return False
        return not self.pool.failing(time)

    @property
    def outstanding(self) -> int:
        """Statements under way from this host."""
        return len(self.running)

    def check_silence(self, time: float) -> None:
        """Suspect the endpoint if a statement has waited for too long."""
        if self.suspected or not self.running:
            return
        oldest = next(iter(self.running))
        heard = max(oldest.started, self.answered_at)
        if time - heard > SILENT_S:
            self.suspect(f"no answer for {time - heard:.3f} s")
            return
        self._end_lost(time)

    def _end_lost(self, time: float) -> None:
        """End statements whose answer was lost on a living endpoint.

        The caller of a read is served over another link, and the one of a
        transaction can begin it again while there is time.
        """
        usual = LOST_ANSWER_FACTOR * self.expected_latency_s(time)
        for running in list(self.running):
            age = time - running.started
            if age < LOST_ANSWER_S + usual:
                return
            if running.revocable and self.answered_at > running.started:
                running.link.abort()

    def suspect(self, reason: str) -> None:
        """Check whether the endpoint is reachable; if not, send no new work.

        A slow endpoint accepts connections although its answers are late,
        and is still the best one for work that only it can do.
        """
        time = now()
        if time < self.check_again_at:
            return
        self.check_again_at = time + CHECK_PAUSE_S
        if self.trial is None or self.trial.done():
            self.trial = asyncio.ensure_future(self._check(reason))

    async def _check(self, reason: str) -> None:
        if await self.reachable(self.beat.address, TRIAL_TIMEOUT_S):
            # It lives, so a statement that is long overdue by the latency of
            # the last second has lost its answer.
            self.answered_at = now()
            log_event(
                "endpoint_slow", endpoint=self.beat.endpoint, reason=reason
            )
            return
        self._stop_using(reason)
        while not await self.reachable(self.beat.address, TRIAL_TIMEOUT_S):
            await asyncio.sleep(TRIAL_PAUSE_S)
        self.answered_at = now()
        self.suspected = False
        log_event("endpoint_trusted", endpoint=self.beat.endpoint)

    def _stop_using(self, reason: str) -> None:
        self.suspected = True
        log_event(
            "endpoint_suspected",
            "warning",
            endpoint=self.beat.endpoint,
            service=self.beat.service,
            running=len(self.running),
            reason=reason,
        )
        self.pool.drop_idle()
        for running in list(self.running):
            if running.revocable:
                running.link.abort()

    def close(self) -> None:
        """Close the links and stop trying."""
        if self.trial is not None:
            self.trial.cancel()
        self.pool.close()

    def note_answer(
        self, position: Position | None, latency_s: float, time: float
    ) -> None:
        """Take over what an answer tells."""
        if position is not None:
            self.position = position
        average = self.expected_latency_s(time)
        self.latency_s = average + LATENCY_WEIGHT * (latency_s - average)
        self.measured_at = self.answered_at = time
        self.latencies.append((time, latency_s))

    def standing_queue_s(self, time: float) -> float:
        """Return how long statements have waited at least, lately."""
        recent = self.latencies
        while recent and time - recent[0][0] > QUEUE_WINDOW_S:
            recent.popleft()
        if len(recent) < QUEUE_SAMPLES:
            return 0.0
        return min(latency for _, latency in recent)

    def admits(self, time: float, draw: float) -> bool:
        """Tell whether new work is sent, for a random `draw` below 1.

        Of what would only lengthen a standing queue, the surplus is
        refused at once, so that the rest is served in time.
        """
        return draw * self.standing_queue_s(time) < QUEUE_TARGET_S

    def expected_latency_s(self, time: float) -> float:
        """Return the latency, the less weighted the older it is."""
        age = time - self.measured_at
        weight = 0.5 ** min(50.0, age / LATENCY_HALF_LIFE_S)
        return BASE_LATENCY_S + (self.latency_s - BASE_LATENCY_S) * weight

    def cost_s(
        self, zone: str, need: Position | None, primary: bool, time: float
    ) -> float:
        """Estimate how long a read takes here."""
        waiting = self.outstanding + self.pool.waiting
        cost = self.expected_latency_s(time)
        cost *= 1 + waiting / max(1, self.beat.slots)
        if self.beat.zone != zone:
            cost += OTHER_ZONE_S
        if primary:
            return cost * PRIMARY_FACTOR
        behind = need is not None and (
            self.position is None or self.position < need
        )
        if behind and time < self.behind_until:
            cost += BEHIND_S * 4
        return cost


class Service:
    """The endpoints of one service as this host sees them.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        By identifier; those that ended are removed.
    sample : PrimarySample
        Newest proven position.
    primary : str
        Endpoint that last proved to lead; empty if unknown.
    """

    def __init__(self, name: str, zone: str, rng: random.Random):
        self.name = name
        self.zone = zone
        self.rng = rng
        self.endpoints: dict[str, Endpoint] = {}
        self.sample = PrimarySample()
        self.primary = ""
        self.proved_at = 0.0

    def note_lead(
        self, endpoint: Endpoint, position: Position | None, sent_at: float
    ) -> None:
        """Note that an endpoint led after `sent_at`."""
        self.sample.note(position, sent_at)
        if sent_at >= self.proved_at:
            self.primary = endpoint.beat.endpoint
            self.proved_at = sent_at

    def note_refusal(self, endpoint: Endpoint) -> None:
        """Note that an endpoint is not the primary."""
        endpoint.refused_at = now()
        if self.primary == endpoint.beat.endpoint:
            self.primary = ""

    def primaries(self, time: float) -> list[Endpoint]:
        """Return the endpoints that may lead, the likeliest first.

        The one that proved it last comes first unless another one claims
        it since. An endpoint without a claim is tried when none with a
        claim can be used: a host that has lost the coordinators finds the
        next primary this way, and any other endpoint refuses at once.
        """
        usable = [e for e in self.endpoints.values() if e.usable(time)]
        claims = [
            (max(e.primary_since, self._proof(e)), e.beat.endpoint, e)
            for e in usable
            if max(e.primary_since, self._proof(e)) > e.refused_at
        ]
        if claims:
            return [e for _, _, e in sorted(claims, reverse=True)]
        others = [e for e in usable if time - e.refused_at > REFUSED_S]
        return sorted(others, key=lambda e: e.refused_at)

    def admits(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint gets more new work."""
        return endpoint.admits(now(), self.rng.random())

    def _proof(self, endpoint: Endpoint) -> float:
        if self.primary == endpoint.beat.endpoint:
            return self.proved_at
        return 0.0

    def readers(
        self, need: Position | None, excluded: set[str], time: float
    ) -> list[Endpoint]:
        """Return the endpoints for a read, the cheapest first.

        A leaving endpoint gets no new work unless there is no other.
        """
        usable = [
            e
            for e in self.endpoints.values()
            if e.usable(time) and e.beat.endpoint not in excluded
        ]
        staying = [e for e in usable if not e.beat.draining]
        costs = [
            (
                e.cost_s(
                    self.zone, need, self.primary == e.beat.endpoint, time
                )
                * self.rng.uniform(0.95, 1.05),
                e.beat.endpoint,
                e,
            )
            for e in staying
        ]
        return [e for _, _, e in sorted(costs)]
