"""Soft state and duties of the control leader."""

import asyncio
import collections
import random
import typing

from chivescale import clock, membership
from chivescale import failover as fo
from chivescale.control._requests import execute
from chivescale.errors import is_failure
from chivescale.limits import LeaseBook
from chivescale.messages import (
    Batch,
    BeginTerm,
    Command,
    EndpointStatus,
    EstablishTerm,
    Heartbeat,
    Lease,
    ServiceRecord,
    Suspicion,
    encode,
)
from chivescale.settings import Settings
from chivescale.state import ClusterState, TermBegun, TermEstablished
from chivescale.telemetry import log_event
from chivescale.transport import Client

LEASE_S = 3.0

# Running attempts and suspected services are served at this interval. It
# adds at most its length to a failover and costs little, since there are
# few of them at a time.
BUSY_TICK_S = 0.01

# Every other service gets a tick once in this time, spread evenly.
IDLE_ROUND_S = 1.0

# Membership changes may wait; they are sent again when they fail.
PROPOSE_TIMEOUT_S = 1.0


class Leadership:
    """Everything that lives as long as this host leads.

    Nothing of it is durable: a new leader rebuilds it from heartbeats,
    announcements and suspicions.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    state : ClusterState
        Applied state, changed by the owner only.
    client : Client
        Transport to endpoints.
    submit : callable
        ``async (bytes, deadline) -> Outcome or Failure`` of the log.
    metrics : Metrics, optional
        Receives the duration of failovers.
    """

    def __init__(
        self,
        settings: Settings,
        state: ClusterState,
        client: Client,
        submit: typing.Any,
        metrics: typing.Any = None,
        rng: random.Random | None = None,
    ):
        now = clock.now()
        self.settings = settings
        self.state = state
        self.client = client
        self.submit = submit
        self.metrics = metrics
        self.rng = rng or random.Random()
        self.since = now
        self.hosts = membership.HostTable(now)
        self.endpoints = membership.EndpointTable(now)
        self.verdicts = fo.Verdicts()
        self.leases = LeaseBook(LEASE_S, started_at=now)
        self.failovers: dict[str, fo.Failover] = {}
        self.budgets: dict[str, int] = {}
        self.watchers: dict[str, tuple[str, ...]] = {}
        self.idle: collections.deque[str] = collections.deque()
        self.idle_credit = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.closed = False
        self.counts: collections.Counter[str] = collections.Counter()
        failover = settings.failover
        self.timing = fo.Timing(
            failover.promise_timeout_ms / 1000,
            failover.attempt_timeout_ms / 1000,
            failover.silence_floor_ms / 1000,
        )

    def start(self) -> None:
        """Take over the applied state and begin to work."""
        self.state_changed(set(self.state.services), True, True)
        self._spawn(self._run())

    def close(self) -> None:
        """Stop at once; answers that still arrive have no effect."""
        self.closed = True
        now = clock.now()
        for failover in self.failovers.values():
            failover.step(fo.LeadershipLost(), now)
        for task in list(self.tasks):
            task.cancel()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self) -> None:
        last = clock.now()
        while not self.closed:
            await asyncio.sleep(BUSY_TICK_S)
            now = clock.now()
            try:
                self._tick(now, now - last)
            except Exception as err:  # without ticks nothing would fail over
                log_event("leader_error", "error", error=repr(err))
            last = now

    def _tick(self, now: float, elapsed_s: float) -> None:
        self._execute_batches(self.hosts.step(membership.Tick(), now))
        self._execute_batches(self.endpoints.step(membership.Tick(), now))
        self.verdicts.forget(now)
        busy = {name for name, f in self.failovers.items() if f.attempt}
        busy.update(self.verdicts.services())
        for service in busy:
            self._judge(service, now)
            self._drive(service, fo.Tick(), now)
        self.idle_credit += elapsed_s / IDLE_ROUND_S * len(self.failovers)
        while self.idle_credit >= 1 and self.idle:
            self.idle_credit -= 1
            service = self.idle.popleft()
            if service in self.failovers:
                self.idle.append(service)
                self._drive(service, fo.Tick(), now)

    # applied state

    def state_changed(
        self, services: set[str], hosts: bool, endpoints: bool
    ) -> None:
        """Pass on a change of the applied state.

        Parameters
        ----------
        services : set of str
            Services whose record or endpoints changed.
        hosts, endpoints : bool
            Whether any host, or any endpoint or voter, changed.
        """
        now = clock.now()
        state = self.state
        if hosts:
            self.watchers.clear()
            event = membership.HostsApplied(tuple(state.hosts.values()))
            self._execute_batches(self.hosts.step(event, now))
        if endpoints:
            self.budgets = {
                record.endpoint: record.connection_limit
                for record in state.endpoints.values()
            }
            event = membership.EndpointsApplied(
                tuple(state.endpoints.values()),
                tuple(state.services.values()),
            )
            self._execute_batches(self.endpoints.step(event, now))
        zones = collections.Counter(r.zone for r in state.hosts.values())
        by_service = collections.defaultdict(list)
        for record in state.endpoints.values():
            if record.service in services:
                by_service[record.service].append(record)
        for service in services:
            self._show(service, tuple(by_service[service]), zones, now)

    def _show(self, service, endpoints, zones, now: float) -> None:
        record = self.state.services.get(service)
        if record is None:
            gone = self.failovers.pop(service, None)
            if gone is not None:
                gone.step(fo.LeadershipLost(), now)
            return
        if service not in self.failovers:
            self.failovers[service] = fo.Failover(
                service, self.timing, self.rng, now
            )
            if service not in self.idle:
                self.idle.append(service)
        event = fo.StateApplied(record, endpoints, dict(zones))
        self._drive(service, event, now)

    # messages

    def heartbeat(self, heartbeat: Heartbeat) -> tuple[Lease, ...]:
        """Take in a heartbeat and return the leases of the host."""
        now = clock.now()
        event = membership.HostHeartbeat(heartbeat)
        self._execute_batches(self.hosts.step(event, now))
        return self.leases.heartbeat(
            heartbeat.record.host,
            heartbeat.held,
            heartbeat.wanted,
            self.budgets,
            now,
        )

    def announce(self, status: EndpointStatus) -> None:
        """Take in an announcement."""
        now = clock.now()
        if self.endpoints.is_stale(status, now):
            self.counts["stale_announcements"] += 1
            return
        event = membership.EndpointAnnounced(status)
        self._execute_batches(self.endpoints.step(event, now))
        self._drive(status.service, fo.Announced(status), now)

    def suspect(self, suspicion: Suspicion) -> None:
        """Take in the verdict of a watcher."""
        now = clock.now()
        self.counts["suspicions"] += 1
        self.verdicts.record(suspicion, now)
        self._judge(suspicion.service, now)

    def live_hosts(self) -> tuple[str, ...]:
        """Return the entry hosts with a recent heartbeat."""
        now = clock.now()
        return tuple(
            sorted(
                name
                for name, live in self.hosts.live.items()
                if now - live.heard_at <= self.hosts.lost_after_s
            )
        )

    def _judge(self, service: str, now: float) -> None:
        """Tell the failover when a majority of the watchers agrees."""
        record = self.state.services.get(service)
        if record is None or record.term == 0:
            return
        watchers = self.watchers.get(service)
        if watchers is None:
            watchers = self.watchers[service] = membership.watchers_of(
                service,
                self.state.hosts.values(),
                self.settings.failover.watchers,
            )
        alive = tuple(h for h in watchers if self.hosts.alive(h, now))
        agreed = self.verdicts.agreed(
            service, record.term, record.primary, alive, now
        )
        if agreed is None:
            return
        event = fo.VerdictReached(
            record.term,
            record.primary,
            agreed.verdict,
            agreed.since,
            agreed.needs_probe,
        )
        self._drive(service, event, now)

    # effects

    def _drive(self, service: str, event: object, now: float) -> None:
        failover = self.failovers.get(service)
        if failover is None or self.closed:
            return
        try:
            effects = failover.step(event, now)
        except Exception as err:  # one service must not stop the others
            self._restart(service, repr(err), now)
            return
        for effect in effects:
            self._execute(service, effect)

    def _restart(self, service: str, reason: str, now: float) -> None:
        """Begin anew after a fault, as a new leader would.

        Nothing of the earlier attempt is resumed, so whatever was wrong in
        it cannot establish its term.
        """
        self.counts["failover_errors"] += 1
        log_event("failover_error", "error", service=service, reason=reason)
        old = self.failovers[service]
        new = fo.Failover(service, self.timing, self.rng, now, old.group)
        new.not_before = now + self.timing.attempt_timeout_s
        self.failovers[service] = new

    def _execute(self, service: str, effect: object) -> None:
        if isinstance(effect, fo.LogPhase):
            self._log_phase(effect)
        elif isinstance(effect, fo.Propose):
            self._spawn(self._propose(service, effect.command))
        else:
            self._spawn(self._request(service, effect))

    def _log_phase(self, effect: fo.LogPhase) -> None:
        self.counts[f"failover_{effect.phase}"] += 1
        level = "warning" if effect.phase == "failed" else "info"
        log_event(
            f"failover_{effect.phase}",
            level,
            service=effect.service,
            **effect.fields,
        )
        if effect.phase != "established" or self.metrics is None:
            return
        for name, value in effect.fields.items():
            if name.endswith("_ms"):
                phase = name.removesuffix("_ms").replace("total", "gap")
                self.metrics.observe_gap(phase, value / 1000)

    async def _request(self, service: str, effect) -> None:
        event = await execute(self.client, service, effect)
        if isinstance(event, fo.PositionAnswered) and not self.closed:
            # As good as an announcement, and those can get lost.
            heard = membership.EndpointAnnounced(event.status)
            now = clock.now()
            self._execute_batches(self.endpoints.step(heard, now))
        if event is not None:
            self._drive(service, event, clock.now())

    async def _propose(
        self, service: str, command: BeginTerm | EstablishTerm
    ) -> None:
        deadline = clock.now() + self.timing.attempt_timeout_s
        outcome = await self.submit(encode(command), deadline)
        if is_failure(outcome):
            log_event(
                "proposal_failed",
                "warning",
                service=service,
                term=command.term,
                reason=outcome.reason,
            )
            event = fo.ProposalFailed(command)
        else:
            event = self._committed(service, command, outcome.result)
        self._drive(service, event, clock.now())

    def _committed(self, service: str, command, result) -> fo.Committed:
        if isinstance(result, TermBegun | TermEstablished):
            return fo.Committed(command, True, result.record)
        record = self.state.services.get(service, ServiceRecord(service))
        return fo.Committed(command, False, record)

    def _execute_batches(self, effects) -> None:
        for effect in effects:
            commands = effect.commands
            command = commands[0] if len(commands) == 1 else Batch(commands)
            self.counts["membership_commands"] += len(commands)
            self._spawn(self._propose_membership(command))

    async def _propose_membership(self, command: Command) -> None:
        deadline = clock.now() + PROPOSE_TIMEOUT_S
        outcome = await self.submit(encode(command), deadline)
        if is_failure(outcome):
            # The tables propose it again while it is needed.
            reason = outcome.reason
            log_event("membership_not_committed", "warning", reason=reason)
