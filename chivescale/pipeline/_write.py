"""Writes outside transactions."""

import asyncio

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._primary import (
    Primary,
    confirm,
    connect_primary,
    run_on_primary,
    was_refused,
    watch_term,
)
from chivescale.retry import backoff_s


async def write(call: Call) -> Answer:
    """Run a write on the primary and confirm it by a quorum.

    The write is sent again only if the endpoint refused it or no byte of
    it can have left this host.
    """
    call.measured = "write"
    attempt = 0
    while True:
        primary = await connect_primary(call)
        if is_failure(primary):
            return primary
        answer = await _send(call, primary)
        if not is_failure(answer):
            return await confirm(call, answer, primary.term)
        if not was_refused(answer):
            return in_doubt(answer)
        if clock.now() >= call.deadline:
            return Failure(ErrorKind.DID_NOT_RUN, answer.reason)
        await asyncio.sleep(backoff_s(attempt, call.environment.rng))
        attempt += 1


async def _send(call: Call, primary: Primary) -> Answer:
    try:
        return await watch_term(
            call,
            primary,
            run_on_primary(call, primary, call.sql),
        )
    finally:
        # The driver gives no answer in time only if the connection is
        # silent or the primary frozen; both concern its other connections.
        if not primary.connection.usable:
            primary.gate.pool.suspect_silence()
        primary.gate.pool.release(primary.connection)


def in_doubt(failure: Failure) -> Failure:
    """Translate the failure of a write that was sent."""
    if failure.kind is ErrorKind.TIMEOUT:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
    return failure
