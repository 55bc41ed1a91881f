"""Replicas that terminated and may have held the only copy of a commit.

A commit is acknowledged once `sync_replicas` replicas have received it. One
of them may terminate before the others have received it too. Until they have,
a terminated replica counts like one that does not answer.
"""

import asyncio
import collections.abc

from chivescale.clock import now
from chivescale.registry import EndpointBeat
from chivescale.telemetry import log_event

# Interval between two comparisons of the replicas with the primary.
POLL_S = 0.1
# A coordinator that begins to lead takes earlier terminations for settled,
# unless its predecessor has told it otherwise.
INHERITED_S = 5.0


class Departures:
    """Terminated replicas whose commits are not known to be held elsewhere.

    Parameters
    ----------
    promoter : Promoter
        Access to the registry and to the endpoints.

    Attributes
    ----------
    awaited : dict of (str, int) to EndpointBeat
        Last heartbeats of these replicas, by identifier and start. The
        leader shares them, so that the next one does not take them for
        settled.
    settled : set of (str, int)
        Terminated endpoints whose commits enough other replicas hold.
    shared : tuple of EndpointBeat
        What the other coordinators were told last.
    """

    def __init__(self, promoter):
        self.promoter = promoter
        self.awaited: dict[tuple[str, int], EndpointBeat] = {}
        self.settled: set[tuple[str, int]] = set()
        self.tasks: dict[str, asyncio.Task] = {}
        self.shared: tuple[EndpointBeat, ...] = ()

    def begin(self) -> None:
        """Take over what the former leader knew."""
        self.end()
        registry, time = self.promoter.host.registry, now()
        self.settled = {
            _key(entry.heartbeat)
            for entry in registry.entries.values()
            if entry.heartbeat.gone and time - entry.received_at > INHERITED_S
        } - self.awaited.keys()

    def end(self) -> None:
        """Cancel all comparisons."""
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()

    def learn(self, beats: collections.abc.Iterable[EndpointBeat]) -> None:
        """Replace the known terminations by those of the leader."""
        self.awaited = {_key(beat): beat for beat in beats}
        self.shared = tuple(self.awaited.values())

    def update(self, service: str) -> None:
        """Record new terminations; forget replicas that run again.

        Other replicas hold what a terminated primary acknowledged. A replica
        that was forgotten after a long silence is not recorded: it counted
        as silent for that time.
        """
        registry = self.promoter.host.registry
        for beat in registry.deregistered(service):
            if not beat.primary and _key(beat) not in self.settled:
                self.awaited[_key(beat)] = beat
        for key, beat in list(self.awaited.items()):
            entry = registry.entries.get(beat.endpoint)
            if entry is not None and not entry.heartbeat.gone:
                del self.awaited[key]

    def share(self, guarded: collections.abc.Container[str]) -> None:
        """Tell the other coordinators of changes.

        Parameters
        ----------
        guarded : container of str
            Services on which replicas have to acknowledge commits. The
            replicas of others are forgotten.
        """
        for key, beat in list(self.awaited.items()):
            if beat.service not in guarded:
                del self.awaited[key]
        awaited = tuple(self.awaited.values())
        if awaited != self.shared:
            self.shared = awaited
            self.promoter.host.distributor.share_departures(awaited)

    def unsettled(self, service: str) -> list[EndpointBeat]:
        """Return the terminated replicas that may hold the only copy.

        The log of a replica that announced its end is transferred to the
        server that takes over its address.
        """
        self.update(service)
        taken = {
            entry.heartbeat.address
            for entry in self.promoter.host.registry.service_endpoints(service)
        }
        return [
            beat
            for beat in self.awaited.values()
            if beat.service == service
            and not (beat.draining and beat.address in taken)
        ]

    def check(self, service: str, primary: str) -> None:
        """Compare the replicas with the primary if one has terminated."""
        task = self.tasks.get(service)
        if task is not None and not task.done():
            return
        beats = self.unsettled(service)
        if beats:
            self.tasks[service] = asyncio.ensure_future(
                self._settle(service, primary, beats)
            )

    async def _settle(
        self, service: str, primary: str, beats: list[EndpointBeat]
    ) -> None:
        """Settle terminations once the other replicas have caught up.

        Whatever a terminated replica acknowledged is in the log that the
        primary reports now.
        """
        promoter, registry = self.promoter, self.promoter.host.registry
        text = promoter.dialect.state_text()
        state = await promoter.query_state(primary, text)
        needed = promoter.host.sync_replicas(service)
        while state is not None and state.primary:
            names = [
                entry.heartbeat.endpoint
                for entry in registry.service_endpoints(service)
                if entry.heartbeat.endpoint != primary
            ]
            replicas = await asyncio.gather(
                *(promoter.query_state(name, text) for name in names)
            )
            holders = [
                replica
                for replica in replicas
                if replica is not None and replica.received >= state.received
            ]
            if len(holders) >= needed:
                keys = {_key(beat) for beat in beats}
                for key in keys:
                    self.awaited.pop(key, None)
                self.settled = {
                    key
                    for key in self.settled | keys
                    if key[0] in registry.entries
                }
                log_event(
                    "departures_settled",
                    service=service,
                    endpoints=",".join(beat.endpoint for beat in beats),
                )
                return
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(POLL_S)


def _key(beat: EndpointBeat) -> tuple[str, int]:
    return beat.endpoint, beat.born_ms
