"""Shell of the relaying entry role."""

import asyncio
import random

import msgspec

from chivescale.catalog import Catalog, Route
from chivescale.clock import now
from chivescale.dialect import CallerDialect, EndpointDialect
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway import gateways_of
from chivescale.httpio import HttpClient
from chivescale.messages import EndpointNews, EntryHostRecord
from chivescale.relay._endpoint import Endpoint, Service
from chivescale.relay._executor import Executor
from chivescale.relay._follower import Follower
from chivescale.relay._forwarder import Forwarder
from chivescale.relay._gateway import GatewayServer
from chivescale.relay._reachability import Reachability
from chivescale.relay._session import CallerSession
from chivescale.telemetry import COUNTERS, log_decision, log_event

UPKEEP_PERIOD_S = 1.0
# Connections of an endpoint that entry hosts leave to coordinators and to
# links that are being closed.
RESERVED_CONNECTIONS = 4
# Part of an endpoint's connections that one host may hold while others need
# none.
LARGEST_SHARE = 0.25
# It may also not hold more than this many times an even share. With many
# hosts, the sum of what they could open would exceed the limit many times.
GREATEST_MULTIPLE = 4
# Part of an endpoint's connections that hosts keep open without use. After a
# loss of power the endpoint counts the dead ones for seconds; the rest is room
# for new ones meanwhile.
STANDING_SHARE = 0.5
# One in this many plain successes is logged.
SUCCESS_LOG_PERIOD = 200
# While it stops, a host keeps accepting for this long, because the balancer
# notices only after two probes that it is not ready.
ACCEPT_AFTER_STOP_S = 2.5
STOP_POLL_S = 0.05
# After a start, callers wait this long for the first configuration. An
# election and the way of the configuration take about a second; a caller
# waits two.
START_WAIT_S = 1.5


class RelaySettings(msgspec.Struct, frozen=True):
    """What an entry host needs to know.

    Attributes
    ----------
    name, zone : str
        Identity.
    callers_address : str
        ``ip:port`` for callers.
    seeds : tuple of str
        Addresses of coordinators.
    stop_grace_s : float
        Time from the request to stop until the process is killed.
    gateway_address : str
        ``ip:port`` for other entry hosts.
    direct_links : int
        Every host connects to the endpoints of a service if each endpoint
        accepts this many connections from each.
    gateway_links : int
        Connections to an endpoint that a gateway must be able to hold: one
        for a transaction and one for what comes meanwhile.
    """

    name: str
    zone: str
    callers_address: str
    seeds: tuple[str, ...]
    stop_grace_s: float
    gateway_address: str = ""
    direct_links: int = 1
    gateway_links: int = 2


class RelayHost:
    """One entry host: sessions, services and what it follows.

    Parameters
    ----------
    settings : RelaySettings
        Identity and addresses.
    client : HttpClient
        Connections to coordinators.
    callers, endpoints : CallerDialect, EndpointDialect
        How both sides speak.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        settings: RelaySettings,
        client: HttpClient,
        callers: CallerDialect,
        endpoints: EndpointDialect,
        rng: random.Random,
    ):
        self.settings = settings
        self.client = client
        self.callers = callers
        self.endpoints = endpoints
        self.rng = rng
        self.catalog: Catalog | None = None
        self.routes: dict[str, Route] = {}
        self.max_connections: dict[str, int] = {}
        self.services: dict[str, Service] = {}
        self.by_id: dict[str, Endpoint] = {}
        self.sessions: set[CallerSession] = set()
        self.local = Executor(self.service)
        self.executor = Forwarder(
            settings.name, settings.zone, self.local, rng
        )
        self.gateway = GatewayServer(self)
        self.follower = Follower(self)
        self.reachability = Reachability(self)
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        self.stopping = False
        self.entry_hosts: tuple[EntryHostRecord, ...] = ()
        self.successes = 0
        self.started_at = now()
        self.waiting_sessions: list[tuple[CallerSession, str]] = []

    # Life.

    async def start(self) -> None:
        """Accept callers and follow the coordinators.

        May be called again after an OSError for a port that is taken.
        """
        if self.settings.gateway_address and self.gateway.server is None:
            await self.gateway.start(self.settings.gateway_address)
        host, _, port = self.settings.callers_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, int(port), backlog=512
        )
        self.tasks = [
            asyncio.ensure_future(self.follower.run()),
            asyncio.ensure_future(self.reachability.run()),
            asyncio.ensure_future(self._upkeep()),
        ]

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.catalog is not None
            and not self.stopping
            and self.reachability.cut_off_since is None
        )

    @property
    def starting(self) -> bool:
        """Whether the first configuration is still expected."""
        return self.catalog is None and now() - self.started_at < START_WAIT_S

    def _greet_waiting(self) -> None:
        """Answer the callers that came before the first configuration."""
        waiting, self.waiting_sessions = self.waiting_sessions, []
        for session, database in waiting:
            session.greet(database)

    def _accept(self):
        session = CallerSession(self, self.callers)
        self.sessions.add(session)
        return session.channel

    async def stop(self) -> None:
        """Drain: not ready at once, then end sessions as they rest.

        Transactions get half of the grace period. What is idle is closed
        as soon as the balancer sends no new connections.
        """
        self.stopping = True
        self.gateway.leave()
        started = now()
        grace_s = self.settings.stop_grace_s
        log_event("drain_began", sessions=len(self.sessions))
        half = started + grace_s / 2
        while self._busy and now() < started + grace_s * 0.8:
            await asyncio.sleep(STOP_POLL_S)
            accepting = now() < started + ACCEPT_AFTER_STOP_S
            for session in list(self.sessions):
                if now() >= half:
                    session.abort_idle("the host is stopping")
                if session.idle and not accepting:
                    session.close()
        rest = started + ACCEPT_AFTER_STOP_S - now()
        if rest > 0:
            await asyncio.sleep(rest)
        log_event(
            "drain_ended",
            sessions=len(self.sessions),
            duration_s=now() - started,
        )
        self.server.close()
        for session in list(self.sessions):
            session.close()
        self.gateway.close()
        self.executor.close()
        for task in self.tasks:
            task.cancel()
        for endpoint in self.by_id.values():
            endpoint.close()
        await self.client.close()

    @property
    def _busy(self) -> bool:
        """Whether sessions or transactions of other hosts are open."""
        return bool(self.sessions or self.gateway.open_transactions)

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_PERIOD_S)
            time = now()
            for endpoint in self.by_id.values():
                endpoint.pool.trim(time)
            if not self.starting:
                self._greet_waiting()

    # Configuration and endpoints.

    def apply_catalog(self, catalog: Catalog) -> None:
        """Put a configuration into force; it never goes back."""
        if self.catalog is not None and (
            catalog.version <= self.catalog.version
        ):
            return
        self.catalog = catalog
        self.routes = {}
        for route in catalog.routes:
            self.routes.setdefault(route.database, route)
        self.max_connections = {
            options.name: options.max_connections
            for options in catalog.services
        }
        self._plan_gateways()
        self._greet_waiting()
        log_event(
            "catalog_in_force",
            version=catalog.version,
            routes=len(catalog.routes),
        )

    @property
    def idle_transaction_ms(self) -> int:
        """Time after which an idle transaction is rolled back."""
        return self.catalog.idle_transaction_ms if self.catalog else 0

    def route_of(self, database: str) -> Route | Failure:
        """Return the route in force for a database."""
        route = self.routes.get(database)
        if route is not None:
            return route
        if self.catalog is None:
            reason = "no configuration is known yet"
            return Failure(ErrorKind.NOT_READY, reason)
        reason = f"no route has the name {database}"
        return Failure(ErrorKind.UNKNOWN_DATABASE, reason)

    def service(self, name: str) -> Service:
        """Return a service, known or not."""
        service = self.services.get(name)
        if service is None:
            service = Service(name, self.settings.zone, self.rng)
            self.services[name] = service
        return service

    def apply_news(self, news: EndpointNews) -> None:
        """Take over what a coordinator tells of an endpoint."""
        beat = news.beat
        known = self.by_id.get(beat.endpoint)
        if known is not None and beat.order <= known.beat.order:
            return
        replaced = known is not None and (
            beat.gone
            or beat.born_ms != known.beat.born_ms
            or beat.address != known.beat.address
            or beat.service != known.beat.service
        )
        if replaced:
            self._forget(known)
            known = None
        if beat.gone:
            return
        if known is None:
            known = Endpoint(beat, self.endpoints)
            self.by_id[beat.endpoint] = known
            self.service(beat.service).endpoints[beat.endpoint] = known
            self._share_connections(known)
        known.beat = beat
        since = now() - news.primary_for_s
        known.primary_since = since if news.primary_for_s >= 0 else 0.0
        log_event(
            "endpoint_known",
            service=beat.service,
            endpoint=beat.endpoint,
            primary=beat.primary,
            draining=beat.draining,
            sequence=beat.sequence,
        )

    def _forget(self, endpoint: Endpoint) -> None:
        name = endpoint.beat.endpoint
        del self.by_id[name]
        self.service(endpoint.beat.service).endpoints.pop(name, None)
        endpoint.close()
        log_event("endpoint_forgotten", endpoint=name)

    def set_entry_hosts(self, hosts: tuple[EntryHostRecord, ...]) -> None:
        """Divide the connections among these entry hosts."""
        self.entry_hosts = hosts
        self._plan_gateways()

    def _plan_gateways(self) -> None:
        services = tuple(self.max_connections)
        names = {host.name for host in self.entry_hosts if host.address}
        names.add(self.settings.name)
        gateways = {
            service: gateways_of(
                service,
                services,
                names,
                _room(self.max_connections[service]),
                self.settings.direct_links,
                self.settings.gateway_links,
            )
            for service in services
        }
        self.executor.update(self.entry_hosts, gateways)
        for endpoint in self.by_id.values():
            self._share_connections(endpoint)

    def _share_connections(self, endpoint: Endpoint) -> None:
        service = endpoint.beat.service
        hosts = len(self.executor.gateways.get(service, ())) or 1
        accepted = self.max_connections.get(service, 0)
        pool = endpoint.pool
        pool.share, pool.limit = shares(accepted, hosts)

    # Sessions.

    def session_ended(self, session: CallerSession) -> None:
        """Forget a session."""
        self.sessions.discard(session)

    def count_refusal(self, failure: Failure) -> None:
        """Note a refused session."""
        COUNTERS.count("sessions_refused", failure.kind)
        log_decision(
            "session_refused", kind=failure.kind, reason=failure.reason
        )

    def note_outcome(
        self, session, statement, arrived_at, outcome, work
    ) -> None:
        """Log the decision on a statement; plain successes are sampled."""
        failed = is_failure(outcome)
        duration_s = now() - arrived_at
        route = None if is_failure(work) else work.route
        consistency = route.consistency if route else "none"
        COUNTERS.count("statements", outcome.kind if failed else "ok")
        COUNTERS.observe("statement", consistency, duration_s)
        if not failed:
            self.successes += 1
            if self.successes % SUCCESS_LOG_PERIOD:
                return
        log_decision(
            "statement_failed" if failed else "statement",
            request=statement.request_id,
            kind=statement.kind.name.lower(),
            database=session.database,
            service=route.service if route else "",
            outcome=outcome.kind if failed else "ok",
            reason=outcome.reason if failed else "",
            **_evidence(work),
            duration_s=duration_s,
            consistency=consistency,
            version=self.catalog.version if self.catalog else -1,
        )


def _room(accepted: int) -> int:
    """Return the connections to an endpoint that entry hosts share."""
    return max(1, accepted - RESERVED_CONNECTIONS)


def shares(accepted: int, hosts: int) -> tuple[int, int]:
    """Divide the connections of an endpoint among hosts.

    Parameters
    ----------
    accepted : int
        Connections that the endpoint accepts.
    hosts : int
        Hosts that are connected to it.

    Returns
    -------
    tuple of int
        Connections that one host keeps open, and that it may hold.
    """
    room = _room(accepted)
    standing = max(1, int(room * STANDING_SHARE) // hosts)
    even = max(1, room // hosts)
    largest = max(even, int(room * LARGEST_SHARE))
    return standing, max(standing, min(largest, GREATEST_MULTIPLE * even))


def _evidence(work) -> dict[str, object]:
    """Return what decided on a statement, for its log line."""
    if is_failure(work):
        return {}
    need = work.need
    return {
        "attempts": work.attempts,
        "endpoint": work.endpoint,
        "gateway": work.gateway,
        "need": f"{need.term}.{need.position}" if need else "",
        "proof_age_s": work.proof_age_s,
    }
