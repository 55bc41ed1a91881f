"""Transactions: one connection from BEGIN to the answer of COMMIT."""

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql import QueryResult
from chivescale.pipeline._call import Answer, Call, CallerState, Pinned
from chivescale.pipeline._keyed import (
    claim,
    is_claimed,
    lookup,
    make_key,
    resolve_commit,
)
from chivescale.pipeline._primary import (
    Primary,
    confirm,
    connect_primary,
    run_begin,
    run_on_primary,
    was_refused,
    watch_term,
)
from chivescale.routing import (
    StatementClass,
    may_commit,
    transaction_modes,
)

# Bounds the memory that one open transaction takes for the digest of its key.
MAX_DIGEST_STATEMENTS = 1000


async def begin(call: Call, sql: str = "BEGIN") -> Answer:
    """Open a transaction on the primary.

    The barrier proves that the primary is in office after the caller asked,
    so that the transaction sees every write confirmed before.
    """
    call.measured = "transaction"
    if call.state.pinned is not None:
        ended = await commit(call)
        if is_failure(ended):
            return ended
    while True:
        primary = await _current_primary(call)
        if is_failure(primary):
            return primary
        started = run_begin(call, primary, sql)
        answer = await watch_term(call, primary, started)
        if not is_failure(answer):
            _pin(call, primary)
            return answer
        if answer.kind is ErrorKind.TIMEOUT:
            primary.gate.pool.suspect_silence()
        _drop(primary)
        # BEGIN has no effect that could be repeated.
        again = was_refused(answer) or answer.kind is ErrorKind.TIMEOUT
        if not again or clock.now() >= call.deadline:
            return Failure(ErrorKind.DID_NOT_RUN, answer.reason)


async def _current_primary(call: Call) -> Primary | Failure:
    while True:
        ready = await call.service.view.barrier(call.deadline)
        if is_failure(ready):
            return ready
        primary = await connect_primary(call)
        if is_failure(primary):
            return primary
        if ready.promised_term <= primary.term:
            return primary
        primary.gate.pool.release(primary.connection)


def _pin(call: Call, primary: Primary) -> None:
    call.state.pinned = Pinned(
        primary.connection, primary.gate, call.service, primary.term
    )
    call.session.in_transaction = True


def _drop(primary: Primary) -> None:
    primary.connection.close()
    primary.gate.pool.release(primary.connection)


async def _run(call: Call, primary: Primary, sql: str) -> Answer:
    return await watch_term(
        call,
        primary,
        run_on_primary(call, primary, sql),
    )


def _primary_of(pinned: Pinned) -> Primary:
    return Primary(pinned.gate, pinned.connection, pinned.term)


async def in_transaction(call: Call) -> Answer:
    """Run a statement on the connection of the open transaction."""
    call.measured = "transaction"
    pinned = call.state.pinned
    if pinned.service.view.record.term != pinned.term:
        return abort(call, "the primary was replaced")
    answer = await _guarded(call, call.sql)
    if is_failure(answer):
        return _after_failure(call, answer)
    if call.kind is not StatementClass.READ:
        pinned.wrote = True
        _remember(pinned, call.sql)
    if not pinned.connection.in_transaction:
        # The statement ended the transaction, as DDL does.
        unpin(call.state, call.session)
        return await confirm(call, answer, pinned.term)
    return answer


async def _guarded(call: Call, sql: str) -> Answer:
    """Run on the pinned connection; a cancelled call ends it."""
    try:
        return await _run(call, _primary_of(call.state.pinned), sql)
    except BaseException:
        close_transaction(call.state, call.session)
        raise


def _after_failure(call: Call, failure: Failure) -> Failure:
    connection = call.state.pinned.connection
    if failure.kind is ErrorKind.STATEMENT_FAILED and connection.usable:
        if not connection.in_transaction:
            unpin(call.state, call.session)
        return failure
    if connection.usable and connection.in_transaction:
        # Refused by the gate; the transaction is intact.
        return failure
    if failure.kind is ErrorKind.TIMEOUT and may_commit(call.sql):
        close_transaction(call.state, call.session)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
    return abort(call, failure.reason)


def abort(call: Call, reason: str) -> Failure:
    """End the open transaction; nothing of it took effect."""
    close_transaction(call.state, call.session)
    return Failure(ErrorKind.TRANSACTION_ABORTED, reason)


def close_transaction(state: CallerState, session) -> None:
    """Close the pinned connection; the endpoint rolls back."""
    pinned = state.pinned
    if pinned is not None:
        pinned.connection.close()
        unpin(state, session)


def unpin(state: CallerState, session) -> None:
    """Give the pinned connection back; only a clean one is kept."""
    pinned, state.pinned = state.pinned, None
    session.in_transaction = False
    if pinned is not None:
        pinned.gate.pool.release(pinned.connection)


def _remember(pinned: Pinned, sql: str) -> None:
    if len(pinned.statements) < MAX_DIGEST_STATEMENTS:
        pinned.statements.append(sql)


async def commit(call: Call) -> Answer:
    """Commit and confirm the open transaction."""
    call.measured = "transaction"
    pinned = call.state.pinned
    if pinned is None:
        return QueryResult()
    chain = transaction_modes(call.sql).chain
    if pinned.service.view.record.term != pinned.term:
        return abort(call, "the primary was replaced")
    key = None
    if call.hints.key is not None and pinned.wrote:
        key = make_key(call, "\n".join(pinned.statements))
        refused = await _claim_key(call, key)
        if refused is not None:
            return refused
    answer = await _commit(call, pinned, key)
    if chain and not is_failure(answer):
        begun = await begin(call)
        # The commit took effect, whatever becomes of the next transaction.
        call.session.in_transaction = not is_failure(begun)
    return answer


async def _claim_key(call: Call, key) -> Answer | None:
    """Record the key; a recorded one replaces this transaction."""

    async def run(sql: str) -> Answer:
        return await _guarded(call, sql)

    claimed = await claim(run, key)
    if is_claimed(claimed):
        unpin(call.state, call.session)
        found = await lookup(call, key)
        if found is None:
            reason = f"key {key.key} is in use"
            return Failure(ErrorKind.KEY_IN_PROGRESS, reason)
        return found
    if not is_failure(claimed):
        claimed = await run(key.update_sql(0, 0))
    if is_failure(claimed):
        return abort(call, claimed.reason)
    return None


async def _commit(call: Call, pinned: Pinned, key) -> Answer:
    answer = await _guarded(call, "COMMIT")
    if is_failure(answer) and answer.kind is ErrorKind.TIMEOUT:
        close_transaction(call.state, call.session)
        if key is not None:
            return await resolve_commit(call, key, _primary_of(pinned))
        return Failure(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
    if is_failure(answer):
        if answer.kind is not ErrorKind.STATEMENT_FAILED:
            # The gate refused it; COMMIT was not sent.
            return abort(call, answer.reason)
        close_transaction(call.state, call.session)
        if was_refused(answer):
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
    """Roll the open transaction back."""
    call.measured = "transaction"
    if call.state.pinned is None:
        return QueryResult()
    chain = transaction_modes(call.sql).chain
    answer = await _guarded(call, "ROLLBACK")
    if is_failure(answer):
        # Closing the connection rolls back as well.
        close_transaction(call.state, call.session)
    else:
        unpin(call.state, call.session)
    if chain:
        return await begin(call)
    return QueryResult()
