"""Replicas that terminated and may have held the only copy of a commit.

A commit is acknowledged once `sync_replicas` replicas have received it. One
of them may terminate before the others have received it too. Until they have,
a terminated replica counts like one that does not answer.
"""

import asyncio

from chivescale.clock import now
from chivescale.registry import EndpointBeat
from chivescale.telemetry import log_event

# Interval between two comparisons of the replicas with the primary.
POLL_S = 0.1
# A coordinator that begins to lead takes earlier terminations for settled: the
# commits of that time have arrived, or the predecessor waited for them.
INHERITED_S = 5.0


class Departures:
    """Terminated replicas whose commits are not known to be held elsewhere.

    Parameters
    ----------
    promoter : Promoter
        Access to the registry and to the endpoints.

    Attributes
    ----------
    settled : set of (str, int)
        Terminated endpoints, by identifier and start, whose commits enough
        other replicas hold.
    """

    def __init__(self, promoter):
        self.promoter = promoter
        self.settled: set[tuple[str, int]] = set()
        self.tasks: dict[str, asyncio.Task] = {}

    def begin(self) -> None:
        """Forget what this host observed when it led before."""
        self.end()
        registry, time = self.promoter.host.registry, now()
        self.settled = {
            _key(entry.heartbeat)
            for entry in registry.entries.values()
            if entry.heartbeat.gone and time - entry.received_at > INHERITED_S
        }

    def end(self) -> None:
        """Cancel all comparisons."""
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()

    def unsettled(self, service: str) -> list[EndpointBeat]:
        """Return the terminated replicas that may hold the only copy.

        Other replicas hold what a terminated primary acknowledged. The log of
        a replica that announced its end is transferred to the server that
        takes over its address. One that was forgotten after a long silence is
        not among them: it counted as silent for that time.
        """
        registry = self.promoter.host.registry
        taken = {
            entry.heartbeat.address
            for entry in registry.service_endpoints(service)
        }
        return [
            beat
            for beat in registry.deregistered(service)
            if not beat.primary
            and not (beat.draining and beat.address in taken)
            and _key(beat) not in self.settled
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
        promoter = self.promoter
        text = promoter.dialect.state_text()
        state = await promoter.query_state(primary, text)
        needed = promoter.host.sync_replicas(service)
        while state is not None and state.primary:
            names = [
                entry.heartbeat.endpoint
                for entry in promoter.host.registry.service_endpoints(service)
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
                self.settled |= {_key(beat) for beat in beats}
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
