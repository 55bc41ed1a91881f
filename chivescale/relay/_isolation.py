"""Detection of a host that is isolated from coordinators and primaries."""

import asyncio

from chivescale.clock import now
from chivescale.telemetry import log_event

CHECK_INTERVAL_S = 0.1
# The load balancer stops sending clients after two failed probes, one second
# apart. Idle sessions are closed only after that, so that their clients
# reconnect to another host.
BALANCER_DETECTION_S = 2.2


class IsolationMonitor:
    """Detects that this host has lost both coordinators and primaries.

    A host that has lost only the coordinators can still serve all requests,
    and a host that has lost only a primary learns of the new primary from the
    coordinators. A host that has lost both serves its clients worse than any
    other host and therefore reports not ready.

    Parameters
    ----------
    host : RelayHost
        Host to monitor.

    Attributes
    ----------
    isolated_since : float or None
        Time since which the host is isolated.
    """

    def __init__(self, host):
        self.host = host
        self.isolated_since: float | None = None

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            time = now()
            for endpoint in self.host.by_id.values():
                endpoint.check_timeouts(time)
            self.host.executor.check_timeouts(time)
            if self.host.follower.connected:
                self._set_isolated(False)
            elif self.host.catalog is not None:
                self._set_isolated(await self._any_service_unreachable())
            if self.isolated_since is not None:
                self.close_idle_sessions(time)

    async def _any_service_unreachable(self) -> bool:
        """Return whether any service is unreachable."""
        host = self.host
        results = await asyncio.gather(
            *(host.executor.can_reach(name) for name in host.max_connections)
        )
        return not all(results)

    def _set_isolated(self, isolated: bool) -> None:
        if isolated == (self.isolated_since is not None):
            return
        self.isolated_since = now() if isolated else None
        log_event("reachability", "warning", cut_off=isolated)

    def close_idle_sessions(self, time: float) -> None:
        """Close idle sessions opened before the load balancer reacted."""
        detected_at = self.isolated_since + BALANCER_DETECTION_S
        if time < detected_at:
            return
        for session in list(self.host.sessions):
            if session.idle and session.opened_at < detected_at:
                session.close()
