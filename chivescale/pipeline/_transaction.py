"""Transactions, which use one connection to the primary until they end."""

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql import QueryResult
from chivescale.pipeline._call import (
    Answer,
    Call,
    CallerState,
    PinnedTransaction,
)
from chivescale.pipeline._keyed import (
    is_key_recorded,
    lookup_result,
    make_key,
    record_key,
    resolve_commit,
)
from chivescale.pipeline._primary import (
    Primary,
    confirm,
    connect_primary,
    run_begin,
    run_on_primary,
    run_until_replaced,
    was_not_executed,
)
from chivescale.routing import (
    StatementClass,
    may_commit,
    transaction_modes,
)

# Limits the memory used for the digest of an idempotency key.
MAX_DIGEST_STATEMENTS = 1000


async def begin(call: Call, sql: str = "BEGIN") -> Answer:
    """Open a transaction on the primary.

    A barrier proves that the endpoint was still the primary after the request
    arrived, so the transaction sees every write confirmed before it.
    """
    call.latency_class = "transaction"
    if call.state.pinned is not None:
        commit_answer = await commit(call)
        if is_failure(commit_answer):
            return commit_answer
    while True:
        primary = await _current_primary(call)
        if is_failure(primary):
            return primary
        begin_work = run_begin(call, primary, sql)
        answer = await run_until_replaced(call, primary, begin_work)
        if not is_failure(answer):
            _pin(call, primary)
            return answer
        if answer.kind is ErrorKind.TIMEOUT:
            primary.gate.pool.retire_connections()
        _discard(primary)
        # BEGIN has no effect, so it is safe to retry.
        retry = was_not_executed(answer) or answer.kind is ErrorKind.TIMEOUT
        if not retry or clock.now() >= call.deadline:
            return Failure(ErrorKind.DID_NOT_RUN, answer.reason)


async def _current_primary(call: Call) -> Primary | Failure:
    while True:
        barrier_result = await call.service.view.barrier(call.deadline)
        if is_failure(barrier_result):
            return barrier_result
        primary = await connect_primary(call)
        if is_failure(primary):
            return primary
        if barrier_result.promised_term <= primary.term:
            return primary
        primary.gate.pool.release(primary.connection)


def _pin(call: Call, primary: Primary) -> None:
    call.state.pinned = PinnedTransaction(
        primary.connection, primary.gate, call.service, primary.term
    )
    call.session.in_transaction = True


def _discard(primary: Primary) -> None:
    primary.connection.close()
    primary.gate.pool.release(primary.connection)


async def _run(call: Call, primary: Primary, sql: str) -> Answer:
    return await run_until_replaced(
        call,
        primary,
        run_on_primary(call, primary, sql),
    )


def _primary_of(pinned: PinnedTransaction) -> Primary:
    return Primary(pinned.gate, pinned.connection, pinned.term)


async def run_in_transaction(call: Call) -> Answer:
    """Run a statement on the connection of the open transaction."""
    call.latency_class = "transaction"
    pinned = call.state.pinned
    if pinned.service.view.record.term != pinned.term:
        return abort(call, "the primary was replaced")
    answer = await _run_pinned(call, call.sql)
    if is_failure(answer):
        return _handle_failure(call, answer)
    if call.statement_class is not StatementClass.READ:
        pinned.wrote = True
        _record_statement(pinned, call.sql)
    if not pinned.connection.in_transaction:
        # The statement committed implicitly, as DDL does.
        unpin(call.state, call.session)
        return await confirm(call, answer, pinned.term)
    return answer


async def _run_pinned(call: Call, sql: str) -> Answer:
    """Run on the pinned connection; close it if the call is cancelled."""
    try:
        return await _run(call, _primary_of(call.state.pinned), sql)
    except BaseException:
        close_transaction(call.state, call.session)
        raise


def _handle_failure(call: Call, failure: Failure) -> Failure:
    connection = call.state.pinned.connection
    if failure.kind is ErrorKind.STATEMENT_FAILED and connection.usable:
        if not connection.in_transaction:
            unpin(call.state, call.session)
        return failure
    if connection.usable and connection.in_transaction:
        # Rejected by admission control; the transaction is still open.
        return failure
    if failure.kind is ErrorKind.TIMEOUT and may_commit(call.sql):
        close_transaction(call.state, call.session)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
    return abort(call, failure.reason)


def abort(call: Call, reason: str) -> Failure:
    """Abort the open transaction, which has had no effect."""
    close_transaction(call.state, call.session)
    return Failure(ErrorKind.TRANSACTION_ABORTED, reason)


def close_transaction(state: CallerState, session) -> None:
    """Close the pinned connection, so that the endpoint rolls back."""
    pinned = state.pinned
    if pinned is not None:
        pinned.connection.close()
        unpin(state, session)


def unpin(state: CallerState, session) -> None:
    """Return the pinned connection to the pool.

    The pool closes a connection that cannot be reused.
    """
    pinned, state.pinned = state.pinned, None
    session.in_transaction = False
    if pinned is not None:
        pinned.gate.pool.release(pinned.connection)


def _record_statement(pinned: PinnedTransaction, sql: str) -> None:
    if len(pinned.statements) < MAX_DIGEST_STATEMENTS:
        pinned.statements.append(sql)


async def commit(call: Call) -> Answer:
    """Commit and confirm the open transaction."""
    call.latency_class = "transaction"
    pinned = call.state.pinned
    if pinned is None:
        return QueryResult()
    chain = transaction_modes(call.sql).chain
    if pinned.service.view.record.term != pinned.term:
        return abort(call, "the primary was replaced")
    key = None
    if call.hints.key is not None and pinned.wrote:
        key = make_key(call, "\n".join(pinned.statements))
        key_answer = await _record_key(call, key)
        if key_answer is not None:
            return key_answer
    answer = await _commit(call, pinned, key)
    if chain and not is_failure(answer):
        begin_answer = await begin(call)
        # The commit took effect even if the chained BEGIN failed.
        call.session.in_transaction = not is_failure(begin_answer)
    return answer


async def _record_key(call: Call, key) -> Answer | None:
    """Record the idempotency key in the open transaction.

    Returns
    -------
    QueryResult, Failure or None
        None if the key was recorded. Otherwise the transaction was ended, and
        the stored result of the key or a failure is returned.
    """

    async def run(sql: str) -> Answer:
        return await _run_pinned(call, sql)

    recorded = await record_key(run, key)
    if is_key_recorded(recorded):
        unpin(call.state, call.session)
        stored_answer = await lookup_result(call, key)
        if stored_answer is None:
            reason = f"key {key.key} is used by another request"
            return Failure(ErrorKind.KEY_IN_PROGRESS, reason)
        return stored_answer
    if not is_failure(recorded):
        recorded = await run(key.update_sql(0, 0))
    if is_failure(recorded):
        return abort(call, recorded.reason)
    return None


async def _commit(call: Call, pinned: PinnedTransaction, key) -> Answer:
    answer = await _run_pinned(call, "COMMIT")
    if is_failure(answer) and answer.kind is ErrorKind.TIMEOUT:
        close_transaction(call.state, call.session)
        if key is not None:
            return await resolve_commit(call, key, _primary_of(pinned))
        return Failure(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
    if is_failure(answer):
        if answer.kind is not ErrorKind.STATEMENT_FAILED:
            # Rejected by admission control; COMMIT was not sent.
            return abort(call, answer.reason)
        close_transaction(call.state, call.session)
        if was_not_executed(answer):
            return Failure(ErrorKind.TRANSACTION_ABORTED, answer.reason)
        return answer
    unpin(call.state, call.session)
    outcome = await confirm(call, answer, pinned.term)
    in_doubt = (
        is_failure(outcome) and outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    )
    if in_doubt and key is not None:
        return await resolve_commit(call, key, _primary_of(pinned))
    return outcome


async def rollback(call: Call) -> Answer:
    """Roll back the open transaction."""
    call.latency_class = "transaction"
    if call.state.pinned is None:
        return QueryResult()
    chain = transaction_modes(call.sql).chain
    answer = await _run_pinned(call, "ROLLBACK")
    if is_failure(answer):
        # Closing the connection also rolls back.
        close_transaction(call.state, call.session)
    else:
        unpin(call.state, call.session)
    if chain:
        return await begin(call)
    return QueryResult()
