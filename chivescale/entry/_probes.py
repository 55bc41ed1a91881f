"""Probes of an entry host that watches services."""

import asyncio

from chivescale import clock, failover
from chivescale.errors import ErrorKind, is_failure
from chivescale.membership import watchers_of
from chivescale.messages import Accepted, EndpointStatus, HostRecord
from chivescale.settings import FailoverSettings
from chivescale.state import ClusterState

REPORT_TIMEOUT_S = 1.0


class Probes:
    """Drives a `Watcher` for each service that this host watches.

    Parameters
    ----------
    host : str
        Name of this host.
    client : Client
        Transport to the endpoints.
    calls : LeaderCalls
        Path to the control leader.
    settings : FailoverSettings
        Intervals and floors.
    on_status : callable
        Called with each status that an endpoint answered.
    """

    def __init__(self, host, client, calls, settings, on_status):
        self.host = host
        self.client = client
        self.calls = calls
        self.settings: FailoverSettings = settings
        self.on_status = on_status
        self.watchers: dict[str, failover.Watcher] = {}
        self.hosts: list[HostRecord] = []
        self.chosen: dict[str, bool] = {}
        self.tasks: set[asyncio.Task] = set()

    def update(self, state: ClusterState) -> None:
        """Take over a changed state."""
        hosts = list(state.hosts.values())
        if hosts != self.hosts:
            self.hosts = hosts
            self.chosen.clear()
        grouped = state.endpoints_by_service()
        for name, record in state.services.items():
            if not self._is_chosen(name):
                self.watchers.pop(name, None)
                continue
            watcher = self.watchers.get(name)
            if watcher is None:
                watcher = self.watchers[name] = self._make(name)
            endpoints = tuple(grouped.get(name, ()))
            event = failover.WatchService(record, endpoints)
            self._step(name, watcher, event)
        for name in set(self.watchers) - set(state.services):
            del self.watchers[name]
        for name in set(self.chosen) - set(state.services):
            del self.chosen[name]

    def _is_chosen(self, service: str) -> bool:
        """Tell whether this host watches a service.

        The answer changes only with the hosts; it is kept because the
        choice hashes every host, for every service.
        """
        chosen = self.chosen.get(service)
        if chosen is None:
            names = watchers_of(service, self.hosts, self.settings.watchers)
            chosen = self.chosen[service] = self.host in names
        return chosen

    def _make(self, service: str) -> failover.Watcher:
        return failover.Watcher(
            self.host,
            service,
            interval_s=self.settings.probe_interval_ms / 1000,
            floor_s=self.settings.silence_floor_ms / 1000,
        )

    async def run(self) -> None:
        """Tick the watchers until cancelled."""
        # Ticks are finer than probes so that a verdict does not wait for
        # the next probe.
        interval_s = self.settings.probe_interval_ms / 4000
        late_s = 0.0
        while True:
            for name, watcher in list(self.watchers.items()):
                self._step(name, watcher, failover.Tick(late_s))
            due = clock.now() + interval_s
            await asyncio.sleep(interval_s)
            late_s = max(0.0, clock.now() - due)

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
            refused = status.kind is ErrorKind.UNREACHABLE
            event = failover.ProbeError(effect.endpoint, effect.probe, refused)
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
        """Cancel probes and reports under way."""
        for task in self.tasks:
            task.cancel()
