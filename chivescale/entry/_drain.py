"""Carries out the planned stop of an entry host."""

import asyncio

from chivescale import clock
from chivescale.entry._callers import Callers
from chivescale.errors import ErrorKind, Failure
from chivescale.stopping import REASON, StopSchedule
from chivescale.telemetry import log_event

POLL_INTERVAL_S = 0.05
STOPPING = Failure(ErrorKind.SHUTTING_DOWN, REASON)


async def drain(callers: Callers, schedule: StopSchedule) -> bool:
    """Serve what arrives until the schedule of the stop has ended.

    Returns
    -------
    bool
        Whether no transaction was rolled back and no statement interrupted.
    """
    complete = True
    while not schedule.has_ended(clock.now(), bool(callers.sessions)):
        left_s = schedule.statements_until - clock.now()
        await asyncio.sleep(min(POLL_INTERVAL_S, left_s))
        now = clock.now()
        for session in list(callers.sessions):
            if schedule.ends_transactions(now):
                complete &= not callers.abort_transaction(
                    session, REASON, "transaction_ended"
                )
            if _is_idle(session) and schedule.closes_idle(
                now, session.data.last_used_at
            ):
                session.kill(STOPPING)
    if callers.sessions:
        complete &= not any(s.executing for s in callers.sessions)
        await _interrupt(callers, schedule)
    return complete


async def _interrupt(callers: Callers, schedule: StopSchedule) -> None:
    """Interrupt the statements that still run and wait for their answers."""
    running = sum(session.executing for session in callers.sessions)
    if running:
        log_event("statements_interrupted", "warning", statements=running)
    for session in list(callers.sessions):
        session.kill(STOPPING)
    while callers.sessions and clock.now() < schedule.answers_until:
        await asyncio.sleep(POLL_INTERVAL_S / 10)


def _is_idle(session) -> bool:
    """Return whether nothing runs and the caller has nothing to learn."""
    return not (
        session.executing
        or session.in_transaction
        or session.data.abort_failure
    )
