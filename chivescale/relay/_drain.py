"""Carries out the planned stop of an entry host."""

import asyncio

from chivescale.clock import now
from chivescale.relay._stop_schedule import REASON

POLL_INTERVAL_S = 0.05


async def drain(host) -> None:
    """Serve what arrives until the schedule of the stop has ended.

    Parameters
    ----------
    host : RelayHost
        Host whose schedule has begun.
    """
    schedule = host.schedule
    while not schedule.has_ended(now(), is_busy(host)):
        await asyncio.sleep(POLL_INTERVAL_S)
        time = now()
        for session in list(host.sessions):
            if schedule.ends_transactions(time):
                session.abort_idle_transaction(REASON)
            if session.idle and schedule.closes_idle(time, session.opened_at):
                session.close()


def is_busy(host) -> bool:
    """Return whether sessions or work of other hosts are left."""
    gateway = host.gateway
    return bool(
        host.sessions or gateway.open_transactions or gateway.in_flight
    )
