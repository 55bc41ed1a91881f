"""Carries out the planned stop of an entry host."""

import asyncio

from chivescale.clock import now
from chivescale.stopping import REASON
from chivescale.telemetry import log_event

POLL_INTERVAL_S = 0.05
# Interval at which the host looks whether all statements are answered.
ANSWER_CHECK_S = 0.005


async def drain(host) -> None:
    """Serve what arrives until the schedule of the stop has ended.

    Parameters
    ----------
    host : RelayHost
        Host whose schedule has begun.
    """
    schedule = host.schedule
    while not schedule.has_ended(now(), is_busy(host)):
        left_s = schedule.statements_until - now()
        await asyncio.sleep(min(POLL_INTERVAL_S, left_s))
        time = now()
        if schedule.ends_transactions(time):
            host.gateway.abort_idle_transactions()
        for session in list(host.sessions):
            if schedule.ends_transactions(time):
                session.abort_idle_transaction(REASON)
            if session.idle and schedule.closes_idle(time, session.opened_at):
                session.close()
    if is_running(host):
        await interrupt(host)


async def interrupt(host) -> None:
    """Interrupt the statements that still run and wait for their answers.

    An endpoint or a gateway may have run them; each client is told what is
    known of its statement.
    """
    log_event("statements_interrupted", "warning")
    host.executor.disconnect(REASON)
    for endpoint in host.by_id.values():
        endpoint.pool.close()
        for running in list(endpoint.running):
            running.link.abort()
    while is_running(host) and now() < host.schedule.answers_until:
        await asyncio.sleep(ANSWER_CHECK_S)


def is_running(host) -> bool:
    """Return whether statements of clients or of other hosts run."""
    return bool(host.gateway.in_flight or any(s.worker for s in host.sessions))


def is_busy(host) -> bool:
    """Return whether sessions or work of other hosts are left."""
    gateway = host.gateway
    return bool(
        host.sessions or gateway.open_transactions or gateway.in_flight
    )
