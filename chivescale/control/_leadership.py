"""Duties of the control leader and the soft state that they need."""

import asyncio
import collections
import random
import typing

from chivescale import clock, failover, membership
from chivescale.control._requests import send_request
from chivescale.errors import is_failure
from chivescale.limits import LeaseManager
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

LEASE_DURATION_S = 3.0

# Tick interval of services that are suspected or have a failover attempt in
# progress. It delays a failover by at most one interval and costs little,
# since few services are in this state at a time.
ACTIVE_TICK_INTERVAL_S = 0.01

# Period in which every other service receives one tick; the ticks are spread
# evenly over it.
IDLE_TICK_INTERVAL_S = 1.0

# Membership changes are not urgent; a failed proposal is repeated.
MEMBERSHIP_TIMEOUT_S = 1.0


class Leadership:
    """Duties and soft state of the control leader during one leadership.

    The state is not durable: a new leader rebuilds it from heartbeats,
    announcements and suspicions.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    state : ClusterState
        Applied state; changed only by the control host.
    client : Client
        HTTP client for requests to endpoints.
    submit : callable
        ``async (bytes, deadline) -> Outcome or Failure``; replicates an
        encoded command and applies it.
    metrics : Metrics, optional
        Receives the duration of failover phases.
    rng : random.Random, optional
        Source of jitter.
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
        self.leader_since = now
        self.hosts = membership.HostTable(now)
        self.endpoints = membership.EndpointTable(now)
        self.verdicts = failover.Verdicts()
        self.leases = LeaseManager(LEASE_DURATION_S, started_at=now)
        self.failovers: dict[str, failover.Failover] = {}
        self.connection_limits: dict[str, int] = {}
        self.watchers: dict[str, tuple[str, ...]] = {}
        # Services in the order of their next tick, and the number of ticks
        # that are due.
        self.tick_queue: collections.deque[str] = collections.deque()
        self.due_ticks = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.closed = False
        self.counts: collections.Counter[str] = collections.Counter()
        timeouts = settings.failover
        self.timing = failover.Timing(
            timeouts.promise_timeout_ms / 1000,
            timeouts.attempt_timeout_ms / 1000,
            timeouts.silence_floor_ms / 1000,
        )

    def start(self) -> None:
        """Process the applied state and start the periodic ticks."""
        self.state_changed(set(self.state.services), True, True)
        self._spawn(self._run())

    def close(self) -> None:
        """Stop immediately; replies that arrive later have no effect."""
        self.closed = True
        now = clock.now()
        for machine in self.failovers.values():
            machine.step(failover.LeadershipLost(), now)
        for task in list(self.tasks):
            task.cancel()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self) -> None:
        previous = clock.now()
        while not self.closed:
            await asyncio.sleep(ACTIVE_TICK_INTERVAL_S)
            now = clock.now()
            try:
                self._tick(now, now - previous)
            except Exception as err:  # failover depends on further ticks
                log_event("leader_error", "error", error=repr(err))
            previous = now

    def _tick(self, now: float, elapsed_s: float) -> None:
        self._propose_batches(self.hosts.step(membership.Tick(), now))
        self._propose_batches(self.endpoints.step(membership.Tick(), now))
        self.verdicts.forget(now)
        active = {
            name for name, machine in self.failovers.items() if machine.attempt
        }
        active.update(self.verdicts.services())
        for service in active:
            self._evaluate_verdicts(service, now)
            self._step_failover(service, failover.Tick(), now)
        self.due_ticks += (
            elapsed_s / IDLE_TICK_INTERVAL_S * len(self.failovers)
        )
        while self.due_ticks >= 1 and self.tick_queue:
            self.due_ticks -= 1
            service = self.tick_queue.popleft()
            if service in self.failovers:
                self.tick_queue.append(service)
                self._step_failover(service, failover.Tick(), now)

    # Applied state.

    def state_changed(
        self, services: set[str], hosts: bool, endpoints: bool
    ) -> None:
        """Process a change of the applied state.

        Parameters
        ----------
        services : set of str
            Services whose record or endpoints changed.
        hosts : bool
            Whether an entry host changed.
        endpoints : bool
            Whether an endpoint or a voter changed.
        """
        now = clock.now()
        state = self.state
        if hosts:
            self.watchers.clear()
            event = membership.HostsApplied(tuple(state.hosts.values()))
            self._propose_batches(self.hosts.step(event, now))
        if endpoints:
            self.connection_limits = {
                record.endpoint: record.connection_limit
                for record in state.endpoints.values()
            }
            event = membership.EndpointsApplied(
                tuple(state.endpoints.values()),
                tuple(state.services.values()),
            )
            self._propose_batches(self.endpoints.step(event, now))
        zones = collections.Counter(r.zone for r in state.hosts.values())
        by_service = collections.defaultdict(list)
        for record in state.endpoints.values():
            if record.service in services:
                by_service[record.service].append(record)
        for service in services:
            self._update_failover(
                service, tuple(by_service[service]), zones, now
            )

    def _update_failover(self, service, endpoints, zones, now: float) -> None:
        record = self.state.services.get(service)
        if record is None:
            removed = self.failovers.pop(service, None)
            if removed is not None:
                removed.step(failover.LeadershipLost(), now)
            return
        if service not in self.failovers:
            self.failovers[service] = failover.Failover(
                service, self.timing, self.rng, now
            )
            if service not in self.tick_queue:
                self.tick_queue.append(service)
        event = failover.StateApplied(record, endpoints, dict(zones))
        self._step_failover(service, event, now)

    # Messages.

    def heartbeat(self, heartbeat: Heartbeat) -> tuple[Lease, ...]:
        """Process a heartbeat and return the leases of the entry host."""
        now = clock.now()
        event = membership.HostHeartbeat(heartbeat)
        self._propose_batches(self.hosts.step(event, now))
        return self.leases.heartbeat(
            heartbeat.record.host,
            heartbeat.held,
            heartbeat.wanted,
            self.connection_limits,
            now,
        )

    def announce(self, status: EndpointStatus) -> None:
        """Process the announcement of an endpoint."""
        now = clock.now()
        if self.endpoints.is_stale(status, now):
            self.counts["stale_announcements"] += 1
            return
        event = membership.EndpointAnnounced(status)
        self._propose_batches(self.endpoints.step(event, now))
        self._step_failover(status.service, failover.Announced(status), now)

    def suspect(self, suspicion: Suspicion) -> None:
        """Process the verdict of a watcher."""
        now = clock.now()
        self.counts["suspicions"] += 1
        self.verdicts.record(suspicion, now)
        self._evaluate_verdicts(suspicion.service, now)

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

    def _evaluate_verdicts(self, service: str, now: float) -> None:
        """Notify the failover if the watchers agree that the primary fails."""
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
        event = failover.VerdictReached(
            record.term,
            record.primary,
            agreed.verdict,
            agreed.since,
            agreed.needs_probe,
        )
        self._step_failover(service, event, now)

    # Effects.

    def _step_failover(self, service: str, event: object, now: float) -> None:
        machine = self.failovers.get(service)
        if machine is None or self.closed:
            return
        try:
            effects = machine.step(event, now)
        except Exception as err:  # one service must not stop the others
            self._reset_failover(service, repr(err), now)
            return
        for effect in effects:
            self._execute(service, effect)

    def _reset_failover(self, service: str, reason: str, now: float) -> None:
        """Replace a state machine that raised an exception.

        Like a new leader, the replacement does not resume an earlier
        attempt, so an attempt with an inconsistent state cannot establish its
        term.
        """
        self.counts["failover_errors"] += 1
        log_event("failover_error", "error", service=service, reason=reason)
        failed = self.failovers[service]
        machine = failover.Failover(
            service, self.timing, self.rng, now, failed.group
        )
        machine.not_before = now + self.timing.attempt_timeout_s
        self.failovers[service] = machine

    def _execute(self, service: str, effect: object) -> None:
        if isinstance(effect, failover.LogPhase):
            self._log_phase(effect)
        elif isinstance(effect, failover.Propose):
            self._spawn(self._propose_term(service, effect.command))
        else:
            self._spawn(self._send_request(service, effect))

    def _log_phase(self, effect: failover.LogPhase) -> None:
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

    async def _send_request(self, service: str, effect) -> None:
        event = await send_request(self.client, service, effect)
        if isinstance(event, failover.PositionAnswered) and not self.closed:
            # The reply carries the same status as an announcement, which can
            # get lost.
            announcement = membership.EndpointAnnounced(event.status)
            now = clock.now()
            self._propose_batches(self.endpoints.step(announcement, now))
        if event is not None:
            self._step_failover(service, event, clock.now())

    async def _propose_term(
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
            event = failover.ProposalFailed(command)
        else:
            event = self._committed_event(service, command, outcome.result)
        self._step_failover(service, event, clock.now())

    def _committed_event(
        self, service: str, command, result
    ) -> failover.Committed:
        if isinstance(result, TermBegun | TermEstablished):
            return failover.Committed(command, True, result.record)
        record = self.state.services.get(service, ServiceRecord(service))
        return failover.Committed(command, False, record)

    def _propose_batches(self, effects) -> None:
        for effect in effects:
            commands = effect.commands
            command = commands[0] if len(commands) == 1 else Batch(commands)
            self.counts["membership_commands"] += len(commands)
            self._spawn(self._propose_membership(command))

    async def _propose_membership(self, command: Command) -> None:
        deadline = clock.now() + MEMBERSHIP_TIMEOUT_S
        outcome = await self.submit(encode(command), deadline)
        if is_failure(outcome):
            # The membership tables repeat the proposal while it is needed.
            reason = outcome.reason
            log_event("membership_not_committed", "warning", reason=reason)
