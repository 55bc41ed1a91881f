"""State of endpoints and services as seen by an entry host."""

import asyncio
import collections
import random

import msgspec

from chivescale.clock import now
from chivescale.dialect import EndpointDialect
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.lease import Epoch
from chivescale.link import Link, can_connect, open_link
from chivescale.messages import Position
from chivescale.registry import EndpointBeat
from chivescale.relay._freshness import ConfirmedPosition
from chivescale.relay._pool import ConnectionPool
from chivescale.routing import ZoneShare
from chivescale.telemetry import COUNTERS, log_event

# Expected latency of an endpoint without recent measurements.
BASE_LATENCY_S = 0.015
# Weight of a new measurement in the moving average of the latency.
LATENCY_EWMA_WEIGHT = 0.3
# The influence of the average halves in this time without measurements.
LATENCY_HALF_LIFE_S = 1.0
# Change of the share of reads that leave the zone at which it is logged.
LOGGED_SHARE_CHANGE = 0.1
# Cost of a round trip to another zone, including its billed traffic, in terms
# of queueing time.
CROSS_ZONE_COST_S = 0.004
# Cost of opening a connection for a workspace, which takes a slot of the
# endpoint.
CONNECT_COST_S = 0.012
# Keeps capacity of the primary free for work that only it can do.
PRIMARY_COST_FACTOR = 1.6
# A replica that lacked the position of a read is avoided for about one more
# replication lag.
LAG_BACKOFF_S = 0.05
# An endpoint that refused a write and does not claim to be the primary is
# tried again after this time.
NOT_PRIMARY_BACKOFF_S = 0.5
# An endpoint with running statements that has not responded for this long is
# probed. Pauses of up to 300 ms are normal.
SILENCE_TIMEOUT_S = 0.35
# A response is considered lost if the endpoint has responded to later
# statements and this time plus a multiple of the expected latency has passed.
LOST_RESPONSE_TIMEOUT_S = 0.3
LOST_RESPONSE_LATENCY_FACTOR = 6.0
# The minimum latency within the window is the delay of the standing queue,
# independent of how much run times vary, because all statements wait in one
# queue at the endpoint. Above the target, transactions of many statements
# exceed their time limits, and the work done for them is wasted.
QUEUE_WINDOW_S = 1.0
QUEUE_DELAY_TARGET_S = 0.05
MIN_QUEUE_SAMPLES = 3
MAX_LATENCY_SAMPLES = 64
# A probe opens a new connection. A running host accepts it immediately, even
# if all slots of the endpoint are busy.
PROBE_TIMEOUT_S = 0.25
PROBE_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 0.5


class InFlightStatement(msgspec.Struct, eq=False):
    """Statement that awaits its reply.

    Attributes
    ----------
    started : float
        Time at which it was sent.
    link : Link
        Connection on which it runs.
    abortable : bool
        Whether it can be aborted without side effects: a read, or a statement
        of a transaction for which no commit was requested.
    """

    started: float
    link: Link
    abortable: bool


class Endpoint:
    """Endpoint and the connections of this host to it.

    Attributes
    ----------
    beat : EndpointBeat
        Last heartbeat of the endpoint.
    primary_since : float
        Time since which it claims to be the primary; 0 if it does not.
    position : Position or None
        Last log entry known to be applied.
    running : dict of InFlightStatement to None
        Statements of this host that await a reply, oldest first.
    suspected : bool
        Whether it appears to be unreachable.
    not_primary_at : float
        Time at which it last reported not to be the primary.
    address_mismatch : bool
        Whether a different endpoint responds at its address.
    """

    def __init__(self, heartbeat: EndpointBeat, dialect: EndpointDialect):
        self.beat = heartbeat
        self.dialect = dialect
        self.primary_since = 0.0
        self.position: Position | None = None
        self.latency_s = BASE_LATENCY_S
        self.latency_measured_at = 0.0
        self.not_primary_at = 0.0
        self.lagging_until = 0.0
        self.address_mismatch = False
        self.running: dict[InFlightStatement, None] = {}
        self.last_response_at = 0.0
        self.latencies: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_LATENCY_SAMPLES)
        )
        self.suspected = False
        self.probe_task: asyncio.Task | None = None
        self.next_check_at = 0.0
        self.probe = can_connect
        self.pool = ConnectionPool(self._connect)

    async def _connect(
        self, timeout_s: float, workspace: str
    ) -> Link | Failure:
        heartbeat = self.beat
        connection = await open_link(
            self.dialect,
            heartbeat.address,
            heartbeat.service,
            heartbeat.endpoint,
            timeout_s,
            workspace,
        )
        if is_failure(connection):
            if connection.kind is ErrorKind.WRONG_ENDPOINT:
                self.address_mismatch = True
            elif connection.kind is ErrorKind.UNREACHABLE:
                self.suspect(connection.reason)
        return connection

    def usable(self, time: float) -> bool:
        """Return whether new statements may be sent."""
        if self.address_mismatch or self.suspected:
            return False
        return not self.pool.failing(time)

    @property
    def in_flight(self) -> int:
        """Number of statements of this host that await a reply."""
        return len(self.running)

    def check_timeouts(self, time: float) -> None:
        """Probe a silent endpoint and abort statements with lost replies."""
        if self.suspected or not self.running:
            return
        oldest = next(iter(self.running))
        last_active_at = max(oldest.started, self.last_response_at)
        if time - last_active_at > SILENCE_TIMEOUT_S:
            self.suspect(f"no response for {time - last_active_at:.3f} s")
            return
        self._abort_overdue(time)

    def _abort_overdue(self, time: float) -> None:
        """Abort statements whose reply a working endpoint did not deliver.

        A read is then retried on another connection, and the client of a
        transaction can restart it within its time limit.
        """
        margin_s = LOST_RESPONSE_LATENCY_FACTOR * self.expected_latency_s(time)
        for running in list(self.running):
            age = time - running.started
            if age < LOST_RESPONSE_TIMEOUT_S + margin_s:
                return
            if running.abortable and self.last_response_at > running.started:
                running.link.abort()

    def suspect(self, reason: str) -> None:
        """Probe the endpoint and stop using it if it is unreachable.

        A slow endpoint still accepts connections. It stays in use, because
        it may be the only one that can run certain statements.
        """
        time = now()
        if time < self.next_check_at:
            return
        self.next_check_at = time + CHECK_INTERVAL_S
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.ensure_future(
                self._check_reachability(reason)
            )

    async def _check_reachability(self, reason: str) -> None:
        if await self.probe(self.beat.address, PROBE_TIMEOUT_S):
            # The endpoint works, so the reply to a statement that is overdue
            # by the recent latency is considered lost.
            self.last_response_at = now()
            log_event(
                "endpoint_slow", endpoint=self.beat.endpoint, reason=reason
            )
            return
        self._mark_suspected(reason)
        while not await self.probe(self.beat.address, PROBE_TIMEOUT_S):
            await asyncio.sleep(PROBE_INTERVAL_S)
        self.last_response_at = now()
        self.suspected = False
        log_event("endpoint_trusted", endpoint=self.beat.endpoint)

    def _mark_suspected(self, reason: str) -> None:
        self.suspected = True
        log_event(
            "endpoint_suspected",
            "warning",
            endpoint=self.beat.endpoint,
            service=self.beat.service,
            running=len(self.running),
            reason=reason,
        )
        self.pool.close_idle()
        for running in list(self.running):
            if running.abortable:
                running.link.abort()

    def close(self) -> None:
        """Close the connections and stop probing."""
        if self.probe_task is not None:
            self.probe_task.cancel()
        self.pool.close()

    def record_response(
        self, position: Position | None, latency_s: float, time: float
    ) -> None:
        """Update position and latency from a response."""
        if position is not None:
            self.position = position
        average = self.expected_latency_s(time)
        self.latency_s = average + LATENCY_EWMA_WEIGHT * (latency_s - average)
        self.latency_measured_at = self.last_response_at = time
        self.latencies.append((time, latency_s))

    def standing_queue_delay_s(self, time: float) -> float:
        """Return the minimum latency within the recent window."""
        recent = self.latencies
        while recent and time - recent[0][0] > QUEUE_WINDOW_S:
            recent.popleft()
        if len(recent) < MIN_QUEUE_SAMPLES:
            return 0.0
        return min(latency for _, latency in recent)

    def admits(self, time: float, draw: float) -> bool:
        """Return whether to admit new work, given a random `draw` below 1.

        Statements that would only lengthen a standing queue are rejected
        immediately, so that the others finish within their time limits.
        """
        return draw * self.standing_queue_delay_s(time) < QUEUE_DELAY_TARGET_S

    def expected_latency_s(self, time: float) -> float:
        """Return the average latency, decayed towards the base latency."""
        age = time - self.latency_measured_at
        weight = 0.5 ** min(50.0, age / LATENCY_HALF_LIFE_S)
        return BASE_LATENCY_S + (self.latency_s - BASE_LATENCY_S) * weight

    def read_cost_s(
        self,
        zone: str,
        min_position: Position | None,
        primary: bool,
        time: float,
        workspace: str = "",
    ) -> float:
        """Return the estimated cost of a read on this endpoint."""
        waiting = self.in_flight + self.pool.waiting
        cost = self.expected_latency_s(time)
        cost *= 1 + waiting / max(1, self.beat.slots)
        if self.beat.zone != zone:
            cost += CROSS_ZONE_COST_S
        if workspace and not self.pool.has_idle(workspace):
            cost += CONNECT_COST_S
        if primary:
            return cost * PRIMARY_COST_FACTOR
        if self.lags_behind(min_position, time):
            cost += LAG_BACKOFF_S * 4
        return cost

    def lags_behind(self, min_position: Position | None, time: float) -> bool:
        """Return whether it lacked a position a moment ago."""
        behind = min_position is not None and (
            self.position is None or self.position < min_position
        )
        return behind and time < self.lagging_until


class Service:
    """Endpoints of one service and what is known about its primary.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        Endpoints by identifier.
    confirmed : ConfirmedPosition
        Newest position confirmed by a primary.
    primary : str
        Endpoint last confirmed as primary; empty if unknown.
    zone_share : ZoneShare
        Share of the reads for which endpoints of other zones compete.
    """

    def __init__(self, name: str, zone: str, rng: random.Random):
        self.name = name
        self.zone = zone
        self.rng = rng
        self.endpoints: dict[str, Endpoint] = {}
        self.confirmed = ConfirmedPosition()
        self.primary = ""
        self.primary_confirmed_at = 0.0
        self.zone_share = ZoneShare()
        self.logged_share = 0.0

    def record_primary(
        self, endpoint: Endpoint, position: Position | None, sent_at: float
    ) -> None:
        """Record that an endpoint was the primary after `sent_at`."""
        self.confirmed.record(position, sent_at)
        if sent_at >= self.primary_confirmed_at:
            self.primary = endpoint.beat.endpoint
            self.primary_confirmed_at = sent_at

    def record_not_primary(self, endpoint: Endpoint) -> None:
        """Record that an endpoint is not the primary."""
        endpoint.not_primary_at = now()
        if self.primary == endpoint.beat.endpoint:
            self.primary = ""

    def primary_candidates(
        self, time: float, epoch: Epoch | None = None
    ) -> list[Endpoint]:
        """Return the endpoints that may be primary, most likely first.

        After the first promotion, an epoch names the only one. Otherwise,
        without an epoch, the claims of the endpoints count.

        The endpoint confirmed last comes first unless another one has
        claimed to be primary since. Endpoints without a claim are returned
        only if no endpoint with a claim is usable. This lets a host that has
        lost the coordinators find a new primary; an endpoint that is not the
        primary refuses immediately.
        """
        usable = [e for e in self.endpoints.values() if e.usable(time)]
        if epoch is not None and epoch.index:
            usable = [e for e in usable if e.beat.endpoint == epoch.endpoint]
        claims = [
            (max(e.primary_since, self._confirmed_at(e)), e.beat.endpoint, e)
            for e in usable
            if max(e.primary_since, self._confirmed_at(e)) > e.not_primary_at
        ]
        if claims:
            return [e for _, _, e in sorted(claims, reverse=True)]
        others = [
            e
            for e in usable
            if time - e.not_primary_at > NOT_PRIMARY_BACKOFF_S
        ]
        return sorted(others, key=lambda e: e.not_primary_at)

    def admits(self, endpoint: Endpoint) -> bool:
        """Return whether to send new work to an endpoint."""
        return endpoint.admits(now(), self.rng.random())

    def _confirmed_at(self, endpoint: Endpoint) -> float:
        if self.primary == endpoint.beat.endpoint:
            return self.primary_confirmed_at
        return 0.0

    def read_candidates(
        self,
        min_position: Position | None,
        excluded: set[str],
        time: float,
        workspace: str = "",
    ) -> list[Endpoint]:
        """Return the endpoints for a read, lowest cost first.

        Draining endpoints are excluded, and those of other zones for the
        first attempt of a read that stays in its zone.
        """
        usable = [
            e
            for e in self.endpoints.values()
            if e.usable(time) and e.beat.endpoint not in excluded
        ]
        staying = [e for e in usable if not e.beat.draining]
        if not excluded:
            staying = self._stay_in_zone(staying, min_position, time)
        costs = [
            (
                e.read_cost_s(
                    self.zone,
                    min_position,
                    self.primary == e.beat.endpoint,
                    time,
                    workspace,
                )
                * self.rng.uniform(0.95, 1.05),
                e.beat.endpoint,
                e,
            )
            for e in staying
        ]
        return [e for _, _, e in sorted(costs)]

    def _stay_in_zone(
        self,
        endpoints: list[Endpoint],
        min_position: Position | None,
        time: float,
    ) -> list[Endpoint]:
        """Leave out other zones unless the read may leave its zone.

        The primary is no reason to stay, because it has work that only it
        can do, nor is a replica that lags, is far too slow or has as much
        work of this host as it runs at once.
        """
        near = [
            e
            for e in endpoints
            if e.beat.zone == self.zone
            and e.beat.endpoint != self.primary
            and not e.lags_behind(min_position, time)
            and e.in_flight + e.pool.waiting < max(1, e.beat.slots)
            and not self.zone_share.overloaded(e.expected_latency_s(time))
        ]
        leaves = self.zone_share.leaves(self.rng.random(), time)
        return near if near and not leaves else endpoints

    def record_read(
        self, endpoint: Endpoint, seconds: float, time: float
    ) -> None:
        """Record the time from sending a read to its answer."""
        zone = endpoint.beat.zone
        COUNTERS.count("zone_reads", f"{self.zone}>{zone}")
        if endpoint.beat.endpoint == self.primary:
            return
        share = self.zone_share
        share.record(zone != self.zone, seconds, time)
        if abs(share.share - self.logged_share) >= LOGGED_SHARE_CHANGE:
            self.logged_share = share.share
            log_event(
                "zone_share",
                service=self.name,
                zone=self.zone,
                share=share.share,
                home_s=share.home_s,
                away_s=share.away_s,
            )
