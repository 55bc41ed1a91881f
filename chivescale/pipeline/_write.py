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
    run_until_replaced,
    was_not_executed,
)
from chivescale.retry import backoff_s


async def write(call: Call) -> Answer:
    """Run a write on the primary and confirm it by a quorum.

    The write is retried only if the endpoint rejected it or if nothing of it
    can have left this host.
    """
    call.latency_class = "write"
    attempt = 0
    while True:
        primary = await connect_primary(call)
        if is_failure(primary):
            return primary
        answer = await _send(call, primary)
        if not is_failure(answer):
            return await confirm(call, answer, primary.term)
        if not was_not_executed(answer):
            return _as_write_failure(answer)
        if clock.now() >= call.deadline:
            return Failure(ErrorKind.DID_NOT_RUN, answer.reason)
        await asyncio.sleep(backoff_s(attempt, call.environment.rng))
        attempt += 1


async def _send(call: Call, primary: Primary) -> Answer:
    try:
        return await run_until_replaced(
            call,
            primary,
            run_on_primary(call, primary, call.sql),
        )
    finally:
        # The connection becomes unusable only if it stopped responding or the
        # primary is frozen. Both may affect the other connections as well.
        if not primary.connection.usable:
            primary.gate.pool.retire_connections()
        primary.gate.pool.release(primary.connection)


def _as_write_failure(failure: Failure) -> Failure:
    """Convert the failure of a write that was sent.

    The outcome of a write that timed out is unknown.
    """
    if failure.kind is ErrorKind.TIMEOUT:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
    return failure
