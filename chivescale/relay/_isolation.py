"""Tells whether this host can serve what callers ask for."""

import asyncio

from chivescale.clock import now
from chivescale.telemetry import log_event

PERIOD_S = 0.1
# The balancer needs two failed probes, a second apart, to stop sending
# callers here. Sessions that rest are closed only after that, so that they
# come back on another host.
BALANCER_S = 2.2


class Reachability:
    """Notices when this host is cut off from coordinators and primaries.

    A host that has lost the coordinators alone still serves everything, and
    one that has lost a primary alone is told by the coordinators where the
    next one is. A host that has lost both serves its callers worse than any
    other one, so it reports not ready.

    Parameters
    ----------
    host : RelayHost
        Owner.

    Attributes
    ----------
    cut_off_since : float or None
        Since when the host is cut off.
    """

    def __init__(self, host):
        self.host = host
        self.cut_off_since: float | None = None

    async def run(self) -> None:
        """Check at intervals."""
        while True:
            await asyncio.sleep(PERIOD_S)
            time = now()
            for endpoint in self.host.by_id.values():
                endpoint.check_silence(time)
            self.host.executor.check_silence(time)
            if self.host.follower.connected:
                self._note(False)
            elif self.host.catalog is not None:
                self._note(await self._primary_lost())
            if self.cut_off_since is not None:
                self.move_sessions(time)

    async def _primary_lost(self) -> bool:
        """Tell whether some service is out of reach."""
        host = self.host
        answers = await asyncio.gather(
            *(host.executor.reaches(name) for name in host.max_connections)
        )
        return not all(answers)

    def _note(self, cut_off: bool) -> None:
        if cut_off == (self.cut_off_since is not None):
            return
        self.cut_off_since = now() if cut_off else None
        log_event("reachability", "warning", cut_off=cut_off)

    def move_sessions(self, time: float) -> None:
        """Close resting sessions that came before the balancer noticed."""
        noticed = self.cut_off_since + BALANCER_S
        if time < noticed:
            return
        for session in list(self.host.sessions):
            if session.idle and session.opened_at < noticed:
                session.close()
