"""Entry host of the relay: life cycle, configuration and logging."""

import asyncio
import random

import msgspec

from chivescale.catalog import Catalog, Route
from chivescale.clock import now
from chivescale.dialect import CallerDialect, EndpointDialect
from chivescale.errors import Failure, is_failure
from chivescale.gateway import assign_gateways
from chivescale.httpio import HttpClient
from chivescale.messages import EndpointUpdate, EntryHostRecord
from chivescale.relay._access import Access, AccessTable
from chivescale.relay._coordinator_watcher import CoordinatorWatcher
from chivescale.relay._drain import drain
from chivescale.relay._endpoint import Endpoint, Service
from chivescale.relay._executor import Executor
from chivescale.relay._forwarder import Forwarder
from chivescale.relay._gateway import GatewayServer
from chivescale.relay._isolation import IsolationMonitor
from chivescale.relay._rate_limiter import RateLimiter
from chivescale.relay._session import ClientSession
from chivescale.relay._term_leases import TermLeases
from chivescale.stopping import StopSchedule
from chivescale.supervision import run_supervised
from chivescale.telemetry import COUNTERS, log_decision, log_event

MAINTENANCE_INTERVAL_S = 1.0
# Connections per endpoint left to coordinators and to connections that are
# being closed.
RESERVED_CONNECTIONS = 4
# Fraction of the connections of an endpoint that one host may hold while
# other hosts do not need them.
MAX_HOST_FRACTION = 0.25
# A host may also hold at most this multiple of an even share. Otherwise many
# hosts could together try to open many times the connection limit.
MAX_EVEN_SHARES = 4
# Fraction of the connections of an endpoint that all hosts together keep open
# while idle. After a power failure of hosts the endpoint still counts their
# dead connections for seconds; the rest remains available for new ones.
STANDING_FRACTION = 0.5
# One of this many successful statements is logged.
SUCCESS_LOG_INTERVAL = 200
# After a start, clients wait this long for the first configuration. An
# election and the transfer of the configuration take about 1 s; clients time
# out after 2 s.
STARTUP_WAIT_S = 1.5


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings of an entry host.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of the host.
    callers_address : str
        ``ip:port`` on which clients connect.
    seeds : tuple of str
        Addresses of coordinators.
    stop_grace_s : float
        Time between the request to stop and the kill of the process.
    gateway_address : str
        ``ip:port`` on which other entry hosts connect.
    min_direct_connections : int
        Every host connects to the endpoints of a service if each endpoint
        accepts this many connections per host.
    min_gateway_connections : int
        Minimum number of connections per gateway to an endpoint. Fewer
        gateways share their connections better: the endpoint is then not
        full of dead ones after a power failure of all hosts.
    min_workspace_gateway_connections : int
        The same where connections belong to workspaces. Fewer gateways have
        more of them idle for each workspace.
    endpoints_fenced : bool
        Whether an endpoint refuses writes as soon as another one was promoted
        in its place. If not, this host uses a primary only under a lease. If
        so, it needs leases only for writes to services with synchronous
        replicas.
    """

    name: str
    zone: str
    callers_address: str
    seeds: tuple[str, ...]
    stop_grace_s: float
    gateway_address: str = ""
    min_direct_connections: int = 1
    min_gateway_connections: int = 5
    min_workspace_gateway_connections: int = 10
    endpoints_fenced: bool = True


class RelayHost:
    """Entry host that relays statements between clients and endpoints.

    Parameters
    ----------
    settings : RelaySettings
        Name, zone and addresses.
    http_client : HttpClient
        Client for calls to coordinators.
    caller_dialect : CallerDialect
        Codec for messages of clients.
    endpoint_dialect : EndpointDialect
        Codec for messages of endpoints.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    by_id : dict of str to Endpoint
        Endpoints of all services by identifier.
    schedule : StopSchedule
        What the host still takes once it was asked to stop.
    waiting_sessions : list of (ClientSession, str)
        Sessions that wait for the first configuration, with their database.
    """

    def __init__(
        self,
        settings: RelaySettings,
        http_client: HttpClient,
        caller_dialect: CallerDialect,
        endpoint_dialect: EndpointDialect,
        rng: random.Random,
    ):
        self.settings = settings
        self.http_client = http_client
        self.caller_dialect = caller_dialect
        self.endpoint_dialect = endpoint_dialect
        self.rng = rng
        self.catalog: Catalog | None = None
        self.access = AccessTable()
        self.max_connections: dict[str, int] = {}
        self.services: dict[str, Service] = {}
        self.by_id: dict[str, Endpoint] = {}
        self.sessions: set[ClientSession] = set()
        self.leases = TermLeases(settings.endpoints_fenced)
        self.local_executor = Executor(self.service, self.leases)
        self.executor = Forwarder(
            settings.name, settings.zone, self.local_executor, rng
        )
        self.gateway = GatewayServer(self)
        self.follower = CoordinatorWatcher(self)
        self.rate_limiter = RateLimiter(self)
        self.isolation_monitor = IsolationMonitor(self)
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []
        self.schedule = StopSchedule()
        self.entry_hosts: tuple[EntryHostRecord, ...] = ()
        self.success_count = 0
        self.started_at = now()
        self.waiting_sessions: list[tuple[ClientSession, str]] = []

    # Life cycle.

    async def start(self) -> None:
        """Accept clients and watch the coordinators.

        May be called again after an OSError, for example if a port was in
        use.
        """
        if self.settings.gateway_address and self.gateway.server is None:
            await self.gateway.start(self.settings.gateway_address)
        host, _, port = self.settings.callers_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, int(port), backlog=512
        )
        self.tasks = [
            asyncio.ensure_future(run_supervised(name, run))
            for name, run in (
                ("watcher", self.follower.run),
                ("isolation_monitor", self.isolation_monitor.run),
                ("maintenance", self._maintain),
            )
        ]

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send clients to this host."""
        return (
            self.catalog is not None
            and not self.stopping
            and self.isolation_monitor.isolated_since is None
        )

    @property
    def stopping(self) -> bool:
        """Whether the host was asked to stop."""
        return self.schedule.begun

    @property
    def starting(self) -> bool:
        """Whether the first configuration is still expected."""
        return (
            self.catalog is None and now() - self.started_at < STARTUP_WAIT_S
        )

    def _open_waiting_sessions(self) -> None:
        """Open the sessions that waited for the first configuration."""
        waiting, self.waiting_sessions = self.waiting_sessions, []
        for session, database in waiting:
            session.accept(database)

    def _accept(self):
        session = ClientSession(self, self.caller_dialect)
        self.sessions.add(session)
        return session.channel

    async def stop(self) -> None:
        """Drain the host and stop.

        The host reports not ready immediately. What it still takes, and when
        it stops, is decided by its schedule.
        """
        began_at = now()
        self.schedule.begin(began_at, self.settings.stop_grace_s)
        self.gateway.announce_shutdown()
        log_event("drain_began", sessions=len(self.sessions))
        await drain(self)
        log_event(
            "drain_ended",
            sessions=len(self.sessions),
            duration_s=now() - began_at,
        )
        self.server.close()
        for session in list(self.sessions):
            session.close()
        self.gateway.close()
        self.rate_limiter.close()
        self.executor.close()
        for task in self.tasks:
            task.cancel()
        for endpoint in self.by_id.values():
            endpoint.close()
        if self.leases.needed:
            await self.follower.release_leases()
        await self.http_client.close()

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            time = now()
            for endpoint in self.by_id.values():
                endpoint.pool.trim(time)
            if not self.starting:
                self._open_waiting_sessions()

    # Configuration and endpoints.

    def apply_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration unless its version is not newer."""
        if self.catalog is not None and (
            catalog.version <= self.catalog.version
        ):
            return
        self.catalog = catalog
        self.access = AccessTable(catalog)
        self.rate_limiter.forget_removed()
        self.max_connections = {
            options.name: options.max_connections
            for options in catalog.services
        }
        self.leases.guard(
            options.name
            for options in catalog.services
            if options.sync_replicas
        )
        self._assign_gateways()
        self._open_waiting_sessions()
        log_event(
            "catalog_in_force",
            version=catalog.version,
            routes=len(catalog.routes),
            workspaces=len(self.access.callers.workspaces),
        )

    @property
    def idle_transaction_ms(self) -> int:
        """Time after which an idle transaction is rolled back."""
        return self.catalog.idle_transaction_ms if self.catalog else 0

    def resolve_access(self, database: str, digest: bytes) -> Access | Failure:
        """Return what the client with a key may use on a database."""
        return self.access.resolve(database, digest)

    def identify(self, digest: bytes, route: Route) -> str | Failure:
        """Return the workspace of the client with a key on a route."""
        return self.access.callers.identify(digest, route)

    def service(self, name: str) -> Service:
        """Return a service, creating it if it does not exist."""
        service = self.services.get(name)
        if service is None:
            service = Service(name, self.settings.zone, self.rng)
            self.services[name] = service
        return service

    def apply_endpoint_update(self, update: EndpointUpdate) -> None:
        """Apply an update of an endpoint received from a coordinator."""
        heartbeat = update.beat
        known = self.by_id.get(heartbeat.endpoint)
        if known is not None and heartbeat.order <= known.beat.order:
            return
        replaced = known is not None and (
            heartbeat.gone
            or heartbeat.born_ms != known.beat.born_ms
            or heartbeat.address != known.beat.address
            or heartbeat.service != known.beat.service
        )
        if replaced:
            self._remove_endpoint(known)
            known = None
        if heartbeat.gone:
            return
        if known is None:
            known = Endpoint(heartbeat, self.endpoint_dialect)
            self.by_id[heartbeat.endpoint] = known
            self.service(heartbeat.service).endpoints[heartbeat.endpoint] = (
                known
            )
            self._update_pool_limits(known)
        known.beat = heartbeat
        since = now() - update.primary_for_s
        known.primary_since = since if update.primary_for_s >= 0 else 0.0
        log_event(
            "endpoint_known",
            service=heartbeat.service,
            endpoint=heartbeat.endpoint,
            primary=heartbeat.primary,
            draining=heartbeat.draining,
            sequence=heartbeat.sequence,
        )

    def _remove_endpoint(self, endpoint: Endpoint) -> None:
        name = endpoint.beat.endpoint
        del self.by_id[name]
        self.service(endpoint.beat.service).endpoints.pop(name, None)
        endpoint.close()
        log_event("endpoint_forgotten", endpoint=name)

    def set_entry_hosts(self, hosts: tuple[EntryHostRecord, ...]) -> None:
        """Set the entry hosts that share the connections to endpoints."""
        self.entry_hosts = hosts
        self._assign_gateways()

    def _assign_gateways(self) -> None:
        zones = {h.name: h.zone for h in self.entry_hosts if h.address}
        zones[self.settings.name] = self.settings.zone
        gateways = assign_gateways(
            {
                service: _available_connections(accepted)
                for service, accepted in self.max_connections.items()
            },
            zones,
            self.settings.min_direct_connections,
            self._min_gateway_connections(),
        )
        self.executor.update(self.entry_hosts, gateways)
        for endpoint in self.by_id.values():
            self._update_pool_limits(endpoint)

    def _min_gateway_connections(self) -> int:
        if self.access.callers.identifies:
            return self.settings.min_workspace_gateway_connections
        return self.settings.min_gateway_connections

    def _update_pool_limits(self, endpoint: Endpoint) -> None:
        service = endpoint.beat.service
        hosts = len(self.executor.gateways.get(service, ())) or 1
        accepted = self.max_connections.get(service, 0)
        pool = endpoint.pool
        pool.guaranteed, pool.limit = connection_shares(accepted, hosts)

    # Sessions.

    def remove_session(self, session: ClientSession) -> None:
        """Remove a closed session."""
        self.sessions.discard(session)

    def record_refused_session(self, failure: Failure) -> None:
        """Count and log a refused session."""
        COUNTERS.count("sessions_refused", failure.kind)
        log_decision(
            "session_refused", kind=failure.kind, reason=failure.reason
        )

    def record_outcome(
        self, session, statement, arrived_at, outcome, statement_request
    ) -> None:
        """Count and log the outcome of a statement; successes are sampled."""
        failed = is_failure(outcome)
        duration_s = now() - arrived_at
        route = (
            None if is_failure(statement_request) else statement_request.route
        )
        consistency = route.consistency if route else "none"
        COUNTERS.count("statements", outcome.kind if failed else "ok")
        COUNTERS.observe("statement", consistency, duration_s)
        if not failed:
            self.success_count += 1
            if self.success_count % SUCCESS_LOG_INTERVAL:
                return
        log_decision(
            "statement_failed" if failed else "statement",
            request=statement.request_id,
            kind=statement.kind.name.lower(),
            database=session.database,
            service=route.service if route else "",
            outcome=outcome.kind if failed else "ok",
            reason=outcome.reason if failed else "",
            **_decision_fields(statement_request),
            duration_s=duration_s,
            consistency=consistency,
            version=self.catalog.version if self.catalog else -1,
        )


def _available_connections(accepted: int) -> int:
    """Return the number of connections that entry hosts may share."""
    return max(1, accepted - RESERVED_CONNECTIONS)


def connection_shares(accepted: int, hosts: int) -> tuple[int, int]:
    """Divide the connections of an endpoint among hosts.

    Parameters
    ----------
    accepted : int
        Connections that the endpoint accepts.
    hosts : int
        Number of hosts connected to the endpoint.

    Returns
    -------
    tuple of int
        Number of connections that one host may keep open while idle, and
        maximum number that it may hold.
    """
    available = _available_connections(accepted)
    standing = max(1, int(available * STANDING_FRACTION) // hosts)
    even = max(1, available // hosts)
    largest = max(even, int(available * MAX_HOST_FRACTION))
    return standing, max(standing, min(largest, MAX_EVEN_SHARES * even))


def _decision_fields(request) -> dict[str, object]:
    """Return the execution details of a statement for its log line."""
    if is_failure(request):
        return {}
    min_position = request.min_position
    return {
        "attempts": request.attempts,
        "endpoint": request.endpoint,
        "gateway": request.gateway,
        "need": f"{min_position.term}.{min_position.position}"
        if min_position
        else "",
        "proof_age_s": request.proof_age_s,
    }
