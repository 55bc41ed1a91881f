"""Connecting to the primary and confirming results by a quorum."""

import asyncio

import msgspec

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.mysql import ClientConnection, QueryResult
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._gate import EndpointGate, run_statement
from chivescale.retry import FailedAttempt, RequestClass, backoff_s, may_resend
from chivescale.session import Confirmed, WriteAbsent

# Time that a replaced primary is given to deliver an answer that is already
# in transit, before its connection is closed.
REPLACED_PRIMARY_GRACE_S = 0.05
RETRY_INTERVAL_S = 0.1


class Primary(msgspec.Struct, frozen=True):
    """Connection to the primary of an established term."""

    gate: EndpointGate
    connection: ClientConnection
    term: int


async def connect_primary(call: Call) -> Primary | Failure:
    """Return a connection to the primary once a quorum has responded.

    Waits for a failover to complete, at most until the deadline. A failure
    means that the statement was not sent.
    """
    attempt = 0
    failure = Failure(ErrorKind.NO_PRIMARY, "no primary is established")
    while True:
        gate = _find_primary(call)
        if not is_failure(gate):
            primary = await _try_connect(call, gate)
            if not is_failure(primary):
                return primary
            if primary.kind in _NON_RETRYABLE_KINDS:
                return primary
            failure = primary
        else:
            failure = gate
        remaining_s = call.deadline - clock.now()
        if remaining_s <= 0:
            return _as_no_primary(failure)
        pause_s = RETRY_INTERVAL_S / 2 + backoff_s(
            attempt, call.environment.rng
        )
        attempt += 1
        await call.service.view.wait_for_update(
            clock.now() + min(remaining_s, pause_s)
        )


_NON_RETRYABLE_KINDS = {
    ErrorKind.NO_QUORUM,
    ErrorKind.DEADLINE_NOT_STARTED,
    ErrorKind.AUTHENTICATION_FAILED,
    ErrorKind.SERVICE_NOT_ALLOWED,
    ErrorKind.SHUTTING_DOWN,
}


def _find_primary(call: Call) -> EndpointGate | Failure:
    view = call.service.view
    record = view.record
    gate = call.service.primary()
    if record.term == 0 or gate is None:
        return Failure(ErrorKind.NO_PRIMARY, "no primary is established")
    if gate.leaving:
        reason = f"primary {record.primary} is leaving"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    if view.freshness.highest_promised_term > record.term:
        reason = f"primary {record.primary} is being replaced"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    return gate


async def _try_connect(call: Call, gate: EndpointGate) -> Primary | Failure:
    view = call.service.view
    term = view.record.term
    wait_s = call.environment.entry.barrier_timeout_ms / 1000
    barrier_deadline = min(call.deadline, clock.now() + wait_s)
    quorum_failure = await view.check_quorum(barrier_deadline)
    if quorum_failure is not None:
        return quorum_failure
    started_at = clock.now()
    connection = await gate.pool.acquire(call.deadline, call.session.workspace)
    call.environment.metrics.observe_pool_wait(
        gate.record.endpoint, clock.now() - started_at
    )
    if is_failure(connection):
        return connection
    if view.record.term != term or gate.leaving:
        gate.pool.release(connection)
        return Failure(ErrorKind.STALE_TERM, "the primary was replaced")
    return Primary(gate, connection, term)


def _as_no_primary(failure: Failure) -> Failure:
    if failure.kind in (ErrorKind.OVERLOADED, ErrorKind.NO_PRIMARY):
        return failure
    return Failure(ErrorKind.NO_PRIMARY, failure.reason)


async def run_until_replaced(call: Call, primary: Primary, work) -> Answer:
    """Run `work`, but cancel it shortly after the primary was replaced.

    Otherwise a frozen primary would block the caller until its deadline. If
    the statement gets no answer within the silence timeout, the idle
    connections to the primary are checked too, because connections may stop
    responding together.

    Parameters
    ----------
    call : Call
        The statement.
    primary : Primary
        Primary on which `work` runs.
    work : awaitable
        Returns the answer.

    Returns
    -------
    QueryResult or Failure
        ``TIMEOUT`` if the primary was replaced before it answered.
    """
    task = asyncio.ensure_future(work)
    view = call.service.view
    started_at = clock.now()
    silence_s = call.environment.pool.silence_timeout_ms / 1000
    silence_checked = False
    try:
        while not task.done():
            changed = asyncio.ensure_future(view.changed.wait())
            remaining_s = max(0.0, started_at + silence_s - clock.now())
            try:
                await asyncio.wait(
                    {task, changed},
                    timeout=None if silence_checked else remaining_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
            if not silence_checked and clock.now() >= started_at + silence_s:
                silence_checked = True
                _check_silence(primary.gate, task, started_at)
            if not task.done() and view.record.term > primary.term:
                await asyncio.wait({task}, timeout=REPLACED_PRIMARY_GRACE_S)
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


def _check_silence(gate: EndpointGate, task, started_at: float) -> None:
    """Close the idle connections if the endpoint has stopped answering.

    Otherwise every statement that takes one of them would hang until its own
    deadline. A slow statement alone has no effect while other statements are
    answered.
    """
    if not task.done() and gate.last_answer_at < started_at:
        gate.pool.retire_connections()


async def run_on_primary(call: Call, primary: Primary, sql: str) -> Answer:
    """Run a statement on a connection to the primary."""
    return await run_statement(
        primary.gate,
        primary.connection,
        call.session.workspace,
        sql,
        call.deadline,
        call.environment.metrics.observe_queue,
    )


async def run_begin(call: Call, primary: Primary, sql: str) -> Answer:
    """Run BEGIN; fail early if the connection seems to be unresponsive.

    BEGIN has no effect, so it is safe to retry. A slow endpoint cannot be
    told apart from an unresponsive connection, so failing early consumes the
    retry budget. Time spent in the admission queue is not counted; the
    connection is still usable during that time.
    """
    connection = primary.connection
    task = asyncio.ensure_future(run_on_primary(call, primary, sql))
    silence_s = call.environment.pool.silence_timeout_ms / 1000
    try:
        await asyncio.wait({task}, timeout=silence_s)
        remaining_s = call.deadline - clock.now()
        if (
            not task.done()
            and not connection.usable
            and remaining_s > silence_s
        ):
            if call.environment.retries.try_retry():
                return Failure(
                    ErrorKind.TIMEOUT, "connection stopped responding"
                )
        return await task
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


async def confirm(call: Call, result: QueryResult, term: int) -> Answer:
    """Return a result only once a quorum confirms it.

    Parameters
    ----------
    call : Call
        The statement.
    result : QueryResult
        Answer of the primary.
    term : int
        Term in which the statement was sent.

    Returns
    -------
    QueryResult or Failure
        ``DID_NOT_RUN`` or ``OUTCOME_UNKNOWN`` if it was not confirmed.
    """
    if result.commit is None:
        return await _confirm_read_only(call, result, term)
    return await confirm_position(call, result, result.commit)


async def confirm_position(
    call: Call, result: QueryResult, position: Position
) -> Answer:
    """Return `result` once a quorum holds `position`."""
    outcome = await call.service.view.confirm(position, call.deadline)
    if isinstance(outcome, Confirmed):
        call.state.position.record_write(position)
        return result
    if isinstance(outcome, WriteAbsent):
        return Failure(
            ErrorKind.DID_NOT_RUN,
            "the primary was replaced before the write was replicated",
        )
    reason = (
        f"no quorum confirmed position {position.position} before the deadline"
    )
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


async def _confirm_read_only(
    call: Call, result: QueryResult, term: int
) -> Answer:
    """Verify that the endpoint was still the primary when it answered.

    A replaced primary may have answered from outdated data. Nothing was
    written, so the caller may send the statement again.
    """
    barrier_result = await call.service.view.barrier(call.deadline)
    if is_failure(barrier_result):
        return Failure(ErrorKind.DID_NOT_RUN, barrier_result.reason)
    record = call.service.view.record
    if record.term != term or barrier_result.promised_term > term:
        return Failure(ErrorKind.DID_NOT_RUN, "the primary was replaced")
    return result


def was_not_executed(failure: Failure) -> bool:
    """Return whether a failed statement was certainly not executed."""
    attempt = FailedAttempt(
        RequestClass.WRITE,
        failure.kind,
        request_sent=failure.kind is ErrorKind.TIMEOUT,
        deadline=float("inf"),
        errno=failure.errno,
    )
    return may_resend(attempt, 0.0)
