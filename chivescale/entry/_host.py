"""The entry role."""

import asyncio
import random
import secrets
import ssl

from chivescale import clock, mysql
from chivescale.entry._api import EntryStatus, entry_routes
from chivescale.entry._callers import Callers
from chivescale.entry._heartbeat import LeaderCalls, send_heartbeats
from chivescale.entry._probes import Probes
from chivescale.entry._services import Services
from chivescale.entry._watch import StateWatch
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.limits import HOST_LEASE_SHARE
from chivescale.messages import Heartbeat, HeartbeatReply, HostRecord
from chivescale.pipeline import Environment
from chivescale.retry import RetryBudget
from chivescale.settings import Settings, read_secret
from chivescale.telemetry import Metrics, log_event
from chivescale.transport import Client, Server, client_tls, server_tls


class EntryHost:
    """Serves callers of one host.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    secret : bytes
        Secret that signs messages between processes.
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
        self.calls = LeaderCalls(self.client, control)
        self.watch = StateWatch(
            self.client,
            control,
            self._state_changed,
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
            limits=self._limits,
            entry=settings.entry,
            pool=settings.pool,
            metrics=metrics,
            retries=RetryBudget(settings.entry.retry_ratio),
            rng=random.Random(),
            zone=settings.host.zone,
        )
        self.callers = Callers(self.environment, self._has_state)
        routes = entry_routes(self)
        self.api = Server(secret, routes, server_tls(tls), count)
        self.mysql: mysql.CallerServer | None = None
        self.tasks: list[asyncio.Task] = []
        self.drain_task: asyncio.Task | None = None

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send callers here."""
        return self._has_state() and not self.environment.draining

    def _has_state(self) -> bool:
        return self.watch.ready.is_set()

    def _workspace(self, name: str):
        return self.watch.state.workspaces.get(name)

    def _limits(self, workspace: str):
        return self.callers.limits_of(workspace)

    async def start(self) -> Failure | None:
        """Start serving; callers are admitted once the state is synced."""
        prepared = self._prepare()
        if is_failure(prepared):
            return prepared
        await self.api.start(self.settings.listen.api)
        self.mysql = mysql.CallerServer(
            self.callers.handlers(),
            prepared,
            mysql.ServerOptions(
                max_packet_bytes=self.settings.entry.max_statement_bytes,
                max_connections=self.settings.entry.max_callers,
            ),
        )
        await self.mysql.start(self.settings.listen.mysql)
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._follow_state(),
                self.probes.run(),
                self.callers.sweep(),
                self._send_heartbeats(),
            )
        ]
        for task in self.tasks:
            task.add_done_callback(_report_end)
        self._add_gauges()
        return None

    def _prepare(self) -> ssl.SSLContext | Failure | None:
        cluster = self.settings.cluster
        if cluster.endpoint_secret_file:
            found = read_secret(cluster.endpoint_secret_file)
            if is_failure(found):
                return found
            self.endpoint_secret = found.decode()
        return _caller_tls(self.settings)

    def _add_gauges(self) -> None:
        add = self.metrics.add_gauge
        add("pool_held", "endpoint", self._held)
        add("pool_limit", "endpoint", self._pool_limits)
        add("callers", "", lambda: {"": len(self.callers.sessions)})
        add("state_index", "", lambda: {"": self.watch.state.index})

    def _pool_limits(self) -> dict[str, int]:
        return {
            gate.record.endpoint: gate.pool.state.limit
            for gate in self.services.gates()
        }

    def _held(self) -> dict[str, int]:
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

    async def _follow_state(self) -> None:
        await self.watch.first_sync(self.settings.entry.start_grace_s)
        await asyncio.gather(self.watch.run(), self.watch.catch_up())

    def _state_changed(self) -> None:
        state = self.watch.state
        self.services.update(state)
        self.probes.update(state)
        self.callers.state_changed()
        own = state.hosts.get(self.settings.host.name)
        ordered = own is not None and own.incarnation == self.incarnation
        if ordered and own.draining and self.drain_task is None:
            self.drain_task = asyncio.ensure_future(self.drain())

    async def _send_heartbeats(self) -> None:
        await send_heartbeats(
            self.calls,
            self.settings.entry.heartbeat_ms / 1000,
            self._heartbeat,
            self._heard,
        )

    def _heartbeat(self) -> Heartbeat:
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

    def _heard(self, reply: HeartbeatReply, sent_at: float) -> None:
        # The leader counts the lease from a later moment than the sending
        # of the heartbeat, so this host gives it up first.
        until = sent_at + HOST_LEASE_SHARE * reply.lease_ms / 1000
        self.services.apply_leases(reply.leases, until)
        self.watch.note_index(reply.index)

    def status(self) -> EntryStatus:
        """Return the state of the host for operators."""
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
            held=self._held(),
            proven_age_ms={
                name: -1.0 if age is None else round(age * 1000, 1)
                for name, age in ages.items()
            },
        )

    async def drain(self) -> bool:
        """Stop taking work and wait for open work to end."""
        self.environment.draining = True
        log_event("draining", callers=len(self.callers.sessions))
        if self.mysql is not None:
            self.mysql.stop_accepting()
        timeout_s = self.settings.entry.drain_timeout_s
        return await self.callers.drain(timeout_s)

    async def stop(self) -> None:
        """Close everything."""
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
    """Return the connection if it leads to the known incarnation.

    What is known of an endpoint's position holds for one incarnation. An
    endpoint that lost its data comes back at the same address and would
    serve reads that miss confirmed writes until its announcement is in
    force here.
    """
    answer = await connection.query("SELECT @@server_uuid", deadline)
    found = "no answer"
    if not is_failure(answer) and answer.rows:
        value = answer.rows[0][0]
        found = value.decode() if isinstance(value, bytes) else str(value)
    if found == record.incarnation:
        return connection
    connection.close()
    reason = f"{record.endpoint}: incarnation {found}"
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


def _report_end(task: asyncio.Task) -> None:
    """Log a background task that ended by an error."""
    if task.cancelled() or task.exception() is None:
        return
    log_event("task_failed", "error", error=repr(task.exception()))
