"""What writes and transactions share: the primary and confirmation."""

import asyncio

import msgspec

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.mysql import ClientConnection, QueryResult
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._gate import EndpointGate, run_statement
from chivescale.retry import Attempt, Request, backoff_s, may_resend
from chivescale.session import Confirmed, ProvedAbsent

# After a newer term is published, an answer already on its way gets this
# long before the connection to the replaced primary is closed.
REPLACED_GRACE_S = 0.05
RECHECK_S = 0.1


class Primary(msgspec.Struct, frozen=True):
    """A connection to the primary of an established term."""

    gate: EndpointGate
    connection: ClientConnection
    term: int


async def connect_primary(call: Call) -> Primary | Failure:
    """Return a connection to the primary once a quorum is proven.

    Waits through a failover until the deadline; every failure here means
    that the statement was not sent.
    """
    attempt = 0
    reason = Failure(ErrorKind.NO_PRIMARY, "no primary is established")
    while True:
        gate = _usable_primary(call)
        if not is_failure(gate):
            found = await _try_connect(call, gate)
            if not is_failure(found):
                return found
            if found.kind in _FINAL:
                return found
            reason = found
        else:
            reason = gate
        left = call.deadline - clock.now()
        if left <= 0:
            return _not_started(reason)
        pause = RECHECK_S / 2 + backoff_s(attempt, call.environment.rng)
        attempt += 1
        await call.service.view.wait_change(clock.now() + min(left, pause))


_FINAL = {
    ErrorKind.NO_QUORUM,
    ErrorKind.DEADLINE_NOT_STARTED,
    ErrorKind.AUTHENTICATION_FAILED,
    ErrorKind.SERVICE_NOT_ALLOWED,
    ErrorKind.SHUTTING_DOWN,
}


def _usable_primary(call: Call) -> EndpointGate | Failure:
    view = call.service.view
    record = view.record
    gate = call.service.primary()
    if record.term == 0 or gate is None:
        return Failure(ErrorKind.NO_PRIMARY, "no primary is established")
    if gate.leaving:
        reason = f"primary {record.primary} is leaving"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    if view.freshness.highest_promised > record.term:
        reason = f"primary {record.primary} is being replaced"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    return gate


async def _try_connect(call: Call, gate: EndpointGate) -> Primary | Failure:
    view = call.service.view
    term = view.record.term
    wait_s = call.environment.entry.barrier_timeout_ms / 1000
    until = min(call.deadline, clock.now() + wait_s)
    missing = await view.check_quorum(until)
    if missing is not None:
        return missing
    started = clock.now()
    connection = await gate.pool.acquire(call.deadline, call.session.workspace)
    call.environment.metrics.observe_pool_wait(
        gate.record.endpoint, clock.now() - started
    )
    if is_failure(connection):
        return connection
    if view.record.term != term or gate.leaving:
        gate.pool.release(connection)
        return Failure(ErrorKind.STALE_TERM, "the primary was replaced")
    return Primary(gate, connection, term)


def _not_started(reason: Failure) -> Failure:
    if reason.kind in (ErrorKind.OVERLOADED, ErrorKind.NO_PRIMARY):
        return reason
    return Failure(ErrorKind.NO_PRIMARY, reason.reason)


async def watch_term(call: Call, primary: Primary, work) -> Answer:
    """Run `work`, but give it up soon after the primary was replaced.

    A frozen primary would otherwise hold the caller until its deadline. A
    statement without an answer also makes the idle connections to the
    primary suspect, since they may have gone silent together.
    """
    task = asyncio.ensure_future(work)
    view = call.service.view
    started = clock.now()
    silence_s = call.environment.pool.silence_timeout_ms / 1000
    judged = False
    try:
        while not task.done():
            changed = asyncio.ensure_future(view.changed.wait())
            left_s = max(0.0, started + silence_s - clock.now())
            try:
                await asyncio.wait(
                    {task, changed},
                    timeout=None if judged else left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
            if not judged and clock.now() >= started + silence_s:
                judged = True
                _judge_silence(primary.gate, task, started)
            if not task.done() and view.record.term > primary.term:
                await asyncio.wait({task}, timeout=REPLACED_GRACE_S)
                break
        if task.done():
            return task.result()
        return Failure(
            ErrorKind.TIMEOUT, f"{primary.gate.record.endpoint} was replaced"
        )
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


def _judge_silence(gate: EndpointGate, task, started: float) -> None:
    """Drop the idle connections if the endpoint answered nothing lately.

    Otherwise every statement that takes one of them would hang until its
    own deadline. A slow statement beside others that are answered does not
    count.
    """
    if not task.done() and gate.answered_at < started:
        gate.pool.suspect_silence()


async def run_on_primary(call: Call, primary: Primary, sql: str) -> Answer:
    """Run a statement of the call on its connection to the primary."""
    return await run_statement(
        primary.gate,
        primary.connection,
        call.session.workspace,
        sql,
        call.deadline,
        call.environment.metrics.observe_queue,
    )


async def run_begin(call: Call, primary: Primary, sql: str) -> Answer:
    """Run BEGIN; give up a connection that seems to be silent.

    BEGIN has no effect that repeating it could double. A slow endpoint looks
    like a silent connection, so giving up draws on the retry budget. Time in
    the queue of the gate does not count: the connection is still usable then.
    """
    connection = primary.connection
    task = asyncio.ensure_future(run_on_primary(call, primary, sql))
    silence_s = call.environment.pool.silence_timeout_ms / 1000
    try:
        await asyncio.wait({task}, timeout=silence_s)
        left_s = call.deadline - clock.now()
        if not task.done() and not connection.usable and left_s > silence_s:
            if call.environment.retries.try_retry():
                return Failure(ErrorKind.TIMEOUT, "connection went silent")
        return await task
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


async def confirm(call: Call, result: QueryResult, term: int) -> Answer:
    """Acknowledge a result only once it is proven to last.

    Parameters
    ----------
    call : Call
        The statement.
    result : QueryResult
        Answer of the primary.
    term : int
        Term in which the statement was sent.
    """
    if result.commit is None:
        return await _confirm_unchanged(call, result, term)
    return await confirm_position(call, result, result.commit)


async def confirm_position(
    call: Call, result: QueryResult, position: Position
) -> Answer:
    """Return `result` once a quorum holds `position`."""
    outcome = await call.service.view.confirm(position, call.deadline)
    if isinstance(outcome, Confirmed):
        call.state.position.write_confirmed(position)
        return result
    if isinstance(outcome, ProvedAbsent):
        return Failure(
            ErrorKind.DID_NOT_RUN,
            "the primary was replaced before the write was replicated",
        )
    reason = f"no quorum held position {position.position} in time"
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


async def _confirm_unchanged(
    call: Call, result: QueryResult, term: int
) -> Answer:
    """Prove that the primary was still in office when it answered.

    A replaced primary may have answered from old data; nothing was written,
    so the caller may send the statement again.
    """
    ready = await call.service.view.barrier(call.deadline)
    if is_failure(ready):
        return Failure(ErrorKind.DID_NOT_RUN, ready.reason)
    record = call.service.view.record
    if record.term != term or ready.promised_term > term:
        return Failure(ErrorKind.DID_NOT_RUN, "the primary was replaced")
    return result


def was_refused(failure: Failure) -> bool:
    """Tell whether a statement was provably not executed."""
    attempt = Attempt(
        Request.WRITE,
        failure.kind,
        bytes_sent=failure.kind is ErrorKind.TIMEOUT,
        deadline=float("inf"),
        errno=failure.errno,
    )
    return may_resend(attempt, 0.0)
