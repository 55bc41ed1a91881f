"""Entry host process."""

import asyncio
import random
import secrets
import ssl

from chivescale import clock, mysql
from chivescale.entry._api import EntryStatus, entry_routes
from chivescale.entry._callers import Callers
from chivescale.entry._drain import drain
from chivescale.entry._heartbeat import ControlLeaderClient, send_heartbeats
from chivescale.entry._probes import Probes
from chivescale.entry._services import Services
from chivescale.entry._watch import StateWatch
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.limits import HOST_LEASE_FRACTION
from chivescale.messages import Heartbeat, HeartbeatReply, HostRecord
from chivescale.pipeline import Environment
from chivescale.retry import RetryBudget
from chivescale.settings import Settings, read_secret
from chivescale.telemetry import Metrics, log_event
from chivescale.transport import Client, Server, client_tls, server_tls


class EntryHost:
    """Entry host: accepts callers and forwards their statements.

    Parameters
    ----------
    settings : Settings
        Validated settings of the process.
    secret : bytes
        Shared secret that signs messages between processes.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, settings: Settings, secret: bytes, metrics: Metrics):
        self.settings = settings
        self.metrics = metrics
        self.incarnation = secrets.token_hex(8)
        tls, count = settings.tls, metrics.count_control
        self.client = Client(secret, client_tls(tls), count)
        control = [member.address for member in settings.cluster.control]
        self.calls = ControlLeaderClient(self.client, control)
        self.watch = StateWatch(
            self.client,
            control,
            self._on_state_change,
            settings.entry.watch_wait_ms,
        )
        self.endpoint_secret = ""
        self.services = Services(self.client, self._connect, settings.pool)
        self.probes = Probes(
            settings.host.name,
            self.client,
            self.calls,
            settings.failover,
            self.services.note_status,
        )
        self.environment = Environment(
            workspaces=self._workspace,
            service=self.services.by_name.get,
            limits=self._workspace_limits,
            entry=settings.entry,
            pool=settings.pool,
            metrics=metrics,
            retries=RetryBudget(settings.entry.retry_ratio),
            rng=random.Random(),
            zone=settings.host.zone,
        )
        self.callers = Callers(self.environment, self._is_synced)
        routes = entry_routes(self)
        self.api = Server(secret, routes, server_tls(tls), count)
        self.mysql: mysql.CallerServer | None = None
        self.tasks: list[asyncio.Task] = []
        self.drain_task: asyncio.Task | None = None

    @property
    def is_ready(self) -> bool:
        """Whether load balancers should route callers to this host."""
        return self._is_synced() and not self.environment.draining

    def _is_synced(self) -> bool:
        return self.watch.ready.is_set()

    def _workspace(self, name: str):
        return self.watch.state.workspaces.get(name)

    def _workspace_limits(self, workspace: str):
        return self.callers.limits_of(workspace)

    async def start(self) -> Failure | None:
        """Start serving.

        Callers are accepted once the replicated state has been synchronized.
        """
        tls_context = self._load_credentials()
        if is_failure(tls_context):
            return tls_context
        await self.api.start(self.settings.listen.api)
        self.mysql = mysql.CallerServer(
            self.callers.handlers(),
            tls_context,
            mysql.ServerOptions(
                max_packet_bytes=self.settings.entry.max_statement_bytes,
                max_connections=self.settings.entry.max_callers,
            ),
        )
        await self.mysql.start(self.settings.listen.mysql)
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._watch_state(),
                self.probes.run(),
                self.callers.sweep(),
                self._send_heartbeats(),
            )
        ]
        for task in self.tasks:
            task.add_done_callback(_log_task_failure)
        self._add_gauges()
        return None

    def _load_credentials(self) -> ssl.SSLContext | Failure | None:
        cluster = self.settings.cluster
        if cluster.endpoint_secret_file:
            secret = read_secret(cluster.endpoint_secret_file)
            if is_failure(secret):
                return secret
            self.endpoint_secret = secret.decode()
        return _caller_tls(self.settings)

    def _add_gauges(self) -> None:
        add = self.metrics.add_gauge
        add("pool_held", "endpoint", self._pool_held)
        add("pool_limit", "endpoint", self._pool_limits)
        add("callers", "", lambda: {"": len(self.callers.sessions)})
        add("state_index", "", lambda: {"": self.watch.state.index})

    def _pool_limits(self) -> dict[str, int]:
        return {
            gate.record.endpoint: gate.pool.state.limit
            for gate in self.services.gates()
        }

    def _pool_held(self) -> dict[str, int]:
        return {
            gate.record.endpoint: gate.pool.held
            for gate in self.services.gates()
        }

    async def _connect(self, record, deadline: float):
        connection = await mysql.connect(
            record.mysql_address,
            self.settings.cluster.endpoint_user,
            self.endpoint_secret,
            record.service,
            deadline,
        )
        if is_failure(connection):
            return connection
        return await check_incarnation(connection, record, deadline)

    async def _watch_state(self) -> None:
        await self.watch.initial_sync(self.settings.entry.start_grace_s)
        await asyncio.gather(self.watch.run(), self.watch.catch_up())

    def _on_state_change(self) -> None:
        state = self.watch.state
        self.services.update(state)
        self.probes.update(state)
        self.callers.on_state_change()
        own = state.hosts.get(self.settings.host.name)
        is_current = own is not None and own.incarnation == self.incarnation
        if is_current and own.draining:
            self.begin_drain()

    async def _send_heartbeats(self) -> None:
        await send_heartbeats(
            self.calls,
            self.settings.entry.heartbeat_ms / 1000,
            self._make_heartbeat,
            self._on_heartbeat_reply,
        )

    def _make_heartbeat(self) -> Heartbeat:
        self.services.expire_leases()
        listen = self.settings.listen
        record = HostRecord(
            host=self.settings.host.name,
            zone=self.settings.host.zone,
            api_address=listen.api,
            mysql_address=listen.mysql,
            incarnation=self.incarnation,
            draining=self.environment.draining,
        )
        return Heartbeat(
            record,
            self.watch.state.index,
            self.services.held(),
            self.services.wanted(),
        )

    def _on_heartbeat_reply(
        self, reply: HeartbeatReply, sent_at: float
    ) -> None:
        # The leader starts the lease after this host sent the heartbeat, so
        # the lease expires on this host first.
        expires_at = sent_at + HOST_LEASE_FRACTION * reply.lease_ms / 1000
        self.services.apply_leases(reply.leases, expires_at)
        self.watch.note_index(reply.index)

    def status(self) -> EntryStatus:
        """Return the status of the host for operators."""
        state = self.watch.state
        now = clock.now()
        ages = {
            name: service.view.freshness.proven_age_s(name, now)
            for service in self.services.by_name.values()
            for name in service.gates
        }
        return EntryStatus(
            host=self.settings.host.name,
            zone=self.settings.host.zone,
            index=state.index,
            sheet=state.sheet.number if state.sheet else 0,
            ready=self.is_ready,
            draining=self.environment.draining,
            callers=len(self.callers.sessions),
            transactions=sum(
                session.in_transaction for session in self.callers.sessions
            ),
            held=self._pool_held(),
            proven_age_ms={
                name: -1.0 if age is None else round(age * 1000, 1)
                for name, age in ages.items()
            },
            drained=self.drain_task is not None and self.drain_task.done(),
        )

    async def drain(self) -> bool:
        """Drain the host; it reports not ready immediately.

        What it still takes, and until when, is decided by its schedule. May
        be called again, also while it drains.

        Returns
        -------
        bool
            Whether all work ended before it had to be cut short.
        """
        return await asyncio.shield(self.begin_drain())

    def begin_drain(self) -> asyncio.Task:
        """Begin to drain the host, unless it drains already."""
        if self.drain_task is None:
            self.drain_task = asyncio.ensure_future(self._drain())
        return self.drain_task

    async def _drain(self) -> bool:
        schedule = self.environment.schedule
        schedule.begin(clock.now(), self.settings.entry.drain_timeout_s)
        log_event("draining", callers=len(self.callers.sessions))
        complete = await drain(self.callers, schedule)
        if self.mysql is not None:
            self.mysql.stop_accepting()
        return complete

    async def stop(self) -> None:
        """Cancel background tasks and close servers and connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.mysql is not None:
            await self.mysql.close()
        self.probes.close()
        self.services.close()
        await self.api.close()
        await self.client.close()


async def check_incarnation(connection, record, deadline: float):
    """Return the connection if the endpoint has the expected incarnation.

    The known position of an endpoint applies to one incarnation. An endpoint
    that lost its data restarts at the same address; until its announcement
    has been applied on this host, it would serve reads that miss confirmed
    writes.

    Returns
    -------
    ClientConnection or Failure
        ``UNREACHABLE`` if the incarnation differs; the connection is closed.
    """
    answer = await connection.query("SELECT @@server_uuid", deadline)
    found = "no answer"
    if not is_failure(answer) and answer.rows:
        value = answer.rows[0][0]
        found = value.decode() if isinstance(value, bytes) else str(value)
    if found == record.incarnation:
        return connection
    connection.close()
    reason = f"{record.endpoint}: unexpected incarnation: {found}"
    return Failure(ErrorKind.UNREACHABLE, reason)


def _caller_tls(settings: Settings) -> ssl.SSLContext | Failure | None:
    tls = settings.tls
    if not tls.caller_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.caller_certificate, tls.caller_key)
    except (OSError, ssl.SSLError) as err:
        reason = f"tls.caller_certificate: {err}"
        return Failure(ErrorKind.SETTINGS_INVALID, reason)
    return context


def _log_task_failure(task: asyncio.Task) -> None:
    """Log the exception of a failed background task."""
    if task.cancelled() or task.exception() is None:
        return
    log_event("task_failed", "error", error=repr(task.exception()))
