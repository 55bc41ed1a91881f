"""Probes that an entry host sends to the endpoints of watched services."""

import asyncio

from chivescale import clock, failover
from chivescale.errors import ErrorKind, is_failure
from chivescale.membership import watchers_of
from chivescale.messages import Accepted, EndpointStatus, HostRecord
from chivescale.settings import FailoverSettings
from chivescale.state import ClusterState

REPORT_TIMEOUT_S = 1.0


class Probes:
    """Runs a `Watcher` for each service that this host watches.

    Parameters
    ----------
    host : str
        Name of this host.
    client : Client
        Transport to the endpoints.
    calls : ControlLeaderClient
        Client of the control leader.
    settings : FailoverSettings
        Probe interval, minimum silence and number of watchers.
    on_status : callable
        Called with each status received from an endpoint.
    """

    def __init__(self, host, client, calls, settings, on_status):
        self.host = host
        self.client = client
        self.calls = calls
        self.settings: FailoverSettings = settings
        self.on_status = on_status
        self.watchers: dict[str, failover.Watcher] = {}
        self.hosts: list[HostRecord] = []
        self.watch_assignments: dict[str, bool] = {}
        self.tasks: set[asyncio.Task] = set()

    def update(self, state: ClusterState) -> None:
        """Apply a change of the replicated state."""
        hosts = list(state.hosts.values())
        if hosts != self.hosts:
            self.hosts = hosts
            self.watch_assignments.clear()
        grouped = state.endpoints_by_service()
        for name, record in state.services.items():
            if not self._is_watched(name):
                self.watchers.pop(name, None)
                continue
            watcher = self.watchers.get(name)
            if watcher is None:
                watcher = self.watchers[name] = self._make_watcher(name)
            endpoints = tuple(grouped.get(name, ()))
            event = failover.WatchService(record, endpoints)
            self._step(name, watcher, event)
        for name in set(self.watchers) - set(state.services):
            del self.watchers[name]
        for name in set(self.watch_assignments) - set(state.services):
            del self.watch_assignments[name]

    def _is_watched(self, service: str) -> bool:
        """Return whether this host watches a service.

        The result depends only on the set of hosts. It is cached because the
        assignment hashes every host for every service.
        """
        is_watching = self.watch_assignments.get(service)
        if is_watching is None:
            names = watchers_of(service, self.hosts, self.settings.watchers)
            is_watching = self.watch_assignments[service] = self.host in names
        return is_watching

    def _make_watcher(self, service: str) -> failover.Watcher:
        return failover.Watcher(
            self.host,
            service,
            interval_s=self.settings.probe_interval_ms / 1000,
            floor_s=self.settings.silence_floor_ms / 1000,
        )

    async def run(self) -> None:
        """Tick the watchers until cancelled."""
        # Ticks are more frequent than probes, so that a verdict is not
        # delayed until the next probe.
        interval_s = self.settings.probe_interval_ms / 4000
        delay_s = 0.0
        while True:
            for name, watcher in list(self.watchers.items()):
                self._step(name, watcher, failover.Tick(delay_s))
            scheduled_at = clock.now() + interval_s
            await asyncio.sleep(interval_s)
            delay_s = max(0.0, clock.now() - scheduled_at)

    def _step(self, service: str, watcher, event) -> None:
        for effect in watcher.step(event, clock.now()):
            if isinstance(effect, failover.Probe):
                self._spawn(self._probe(service, watcher, effect))
            else:
                self._spawn(self._report(effect.suspicion))

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, service, watcher, effect) -> None:
        status = await self.client.call(
            effect.address,
            "GET",
            "/v1/position",
            EndpointStatus,
            timeout_s=effect.timeout_s,
            fresh=effect.fresh,
        )
        if self.watchers.get(service) is not watcher:
            return
        if is_failure(status):
            connection_refused = status.kind is ErrorKind.UNREACHABLE
            event = failover.ProbeError(
                effect.endpoint, effect.probe, connection_refused
            )
        else:
            self.on_status(status)
            event = failover.ProbeReply(effect.endpoint, effect.probe, status)
        self._step(service, watcher, event)

    async def _report(self, suspicion) -> None:
        await self.calls.call(
            "POST",
            "/v1/suspicions",
            Accepted,
            suspicion,
            clock.now() + REPORT_TIMEOUT_S,
        )

    def close(self) -> None:
        """Cancel pending probes and reports."""
        for task in self.tasks:
            task.cancel()
