"""Writes with an idempotency key outside transactions."""

import asyncio

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import EndpointStatus
from chivescale.mysql import QueryResult
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._primary import (
    Primary,
    confirm,
    confirm_position,
    connect_primary,
    run_begin,
    run_on_primary,
    run_until_replaced,
    was_not_executed,
)
from chivescale.retry import backoff_s
from chivescale.routing import may_commit
from chivescale.session import (
    CREATE_REQUEST_TABLE,
    StatementKey,
    StoredResult,
    statement_digest,
)

DUPLICATE_ERRNO = 1062
NO_TABLE_ERRNO = 1146
LOCK_ERRNOS = frozenset({1205, 1213})
LOOKUP_RETRY_INTERVAL_S = 0.1


async def keyed_write(call: Call) -> Answer:
    """Run a write and record its idempotency key in one transaction."""
    call.latency_class = "write"
    key = make_key(call, call.sql)
    attempt = 0
    while True:
        primary = await connect_primary(call)
        if is_failure(primary):
            return primary
        answer = await _attempt(call, key, primary)
        if answer is not None:
            return answer
        if clock.now() >= call.deadline:
            return Failure(
                ErrorKind.KEY_IN_PROGRESS,
                f"key {key.key} is used by another request",
            )
        await asyncio.sleep(backoff_s(attempt, call.environment.rng))
        attempt += 1


def make_key(call: Call, text: str) -> StatementKey:
    """Return the key of a call, with the digest of the request `text`."""
    digest = statement_digest(f"{call.session.service}\n{text}")
    return StatementKey(call.session.workspace, call.hints.key, digest)


async def _attempt(
    call: Call, key: StatementKey, primary: Primary
) -> Answer | None:
    """Run one attempt; return None if it should be repeated."""
    connection = primary.connection
    progress = _Progress()
    try:
        outcome = await run_until_replaced(
            call, primary, _transaction(call, key, primary, progress)
        )
    finally:
        if connection.in_transaction:
            connection.close()
        if not connection.usable:
            primary.gate.pool.retire_connections()
        primary.gate.pool.release(connection)
    if not is_failure(outcome):
        return await _confirm_commit(call, key, primary, outcome)
    if outcome.errno == DUPLICATE_ERRNO and outcome.reason == _KEY_RECORDED:
        return await lookup_result(call, key)
    if outcome.kind is ErrorKind.TIMEOUT and progress.commit_sent:
        # This includes a primary that was replaced before it answered COMMIT.
        return await resolve_commit(call, key, primary)
    if outcome.errno in LOCK_ERRNOS or was_not_executed(outcome):
        return None
    if outcome.kind is ErrorKind.TIMEOUT:
        # COMMIT was not sent, so the endpoint rolls back.
        if not progress.begun and clock.now() < call.deadline:
            return None
        return Failure(ErrorKind.DID_NOT_RUN, outcome.reason)
    return outcome


class _Progress:
    """Progress of the transaction of a keyed write."""

    begun = False
    commit_sent = False


_KEY_RECORDED = "key is already recorded"


async def _confirm_commit(call, key, primary, result: QueryResult) -> Answer:
    answer = await confirm(call, result, primary.term)
    if is_failure(answer) and answer.kind is ErrorKind.OUTCOME_UNKNOWN:
        return await resolve_commit(call, key, primary)
    return answer


async def _transaction(
    call, key: StatementKey, primary: Primary, progress: _Progress
) -> Answer:
    """Record the key, run the statement, store its result and commit."""

    async def run(sql: str) -> Answer:
        return await run_on_primary(call, primary, sql)

    begin_answer = await run_begin(call, primary, "BEGIN")
    if is_failure(begin_answer):
        return begin_answer
    progress.begun = True
    recorded = await record_key(run, key)
    if is_failure(recorded):
        return recorded
    progress.commit_sent = may_commit(call.sql)
    result = await run(call.sql)
    if is_failure(result):
        await run("ROLLBACK")
        return result
    stored = await run(
        key.update_sql(result.affected_rows, result.last_insert_id)
    )
    if is_failure(stored):
        return stored
    progress.commit_sent = True
    committed = await run("COMMIT")
    if is_failure(committed):
        return committed
    result.commit = committed.commit
    return result


async def record_key(run, key: StatementKey) -> Answer:
    """Insert the key; create the table of keys if it does not exist."""
    recorded = await run(key.insert_sql())
    if is_failure(recorded) and recorded.errno == NO_TABLE_ERRNO:
        # CREATE TABLE commits implicitly; the transaction is still empty.
        for sql in ("ROLLBACK", CREATE_REQUEST_TABLE, "BEGIN"):
            answer = await run(sql)
            if is_failure(answer):
                return answer
        recorded = await run(key.insert_sql())
    if is_failure(recorded) and recorded.errno == DUPLICATE_ERRNO:
        await run("ROLLBACK")
        return Failure(
            ErrorKind.STATEMENT_FAILED, _KEY_RECORDED, DUPLICATE_ERRNO, "23000"
        )
    return recorded


def is_key_recorded(answer: Answer) -> bool:
    """Return whether `record_key` found the key already recorded."""
    return is_failure(answer) and answer.reason == _KEY_RECORDED


async def lookup_result(call: Call, key: StatementKey) -> Answer | None:
    """Return the stored result of a key once a quorum holds it.

    Returns
    -------
    QueryResult, Failure or None
        None if the key is not recorded on the current primary.
    """
    primary = await connect_primary(call)
    if is_failure(primary):
        return Failure(ErrorKind.OUTCOME_UNKNOWN, primary.reason)
    return await _lookup_on(call, key, primary)


async def _lookup_on(
    call: Call, key: StatementKey, primary: Primary
) -> Answer | None:
    selected = await _select(call, key, primary)
    if is_failure(selected):
        if selected.errno == NO_TABLE_ERRNO:
            return None
        return Failure(ErrorKind.OUTCOME_UNKNOWN, selected.reason)
    row = selected.rows[0] if selected.rows else None
    stored_result = key.interpret(row)
    if stored_result is None or is_failure(stored_result):
        return stored_result
    return await _confirm_stored(call, primary, stored_result)


async def _select(call: Call, key: StatementKey, primary: Primary) -> Answer:
    try:
        return await run_until_replaced(
            call,
            primary,
            run_on_primary(call, primary, key.select_sql()),
        )
    finally:
        primary.gate.pool.release(primary.connection)


async def _confirm_stored(
    call: Call, primary: Primary, stored: StoredResult
) -> Answer:
    """Confirm the position of the primary after the row was read.

    The position of the write is not higher, so a quorum that holds the
    position of the primary also holds the write.
    """
    status = await call.service.view.fetch_status(primary.gate.record.endpoint)
    if status is None or not _is_still_primary(status, primary):
        reason = "the primary was replaced during the lookup"
        return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
    result = QueryResult(
        affected_rows=stored.affected_rows,
        last_insert_id=stored.last_insert_id,
    )
    answer = await confirm_position(call, result, status.last)
    if is_failure(answer):
        return Failure(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
    return answer


def _is_still_primary(status: EndpointStatus, primary: Primary) -> bool:
    return status.last.term == primary.term and status.role == "primary"


async def resolve_commit(
    call: Call, key: StatementKey, previous: Primary
) -> Answer:
    """Determine whether a commit whose answer was lost took effect.

    A recorded key proves that it did. A missing key proves that it did not
    only if it is missing on a primary of a later term that is another
    endpoint: on the same endpoint the commit could still be pending.

    Parameters
    ----------
    call : Call
        The write or COMMIT.
    key : StatementKey
        Key that was recorded in the transaction.
    previous : Primary
        Primary to which the commit was sent.
    """
    while clock.now() < call.deadline:
        primary = await connect_primary(call)
        if is_failure(primary):
            break
        answer = await _lookup_on(call, key, primary)
        if answer is None and _supersedes(primary, previous):
            reason = f"key {key.key} is not recorded in term {primary.term}"
            return Failure(ErrorKind.DID_NOT_RUN, reason)
        if answer is not None and not _is_unknown(answer):
            return answer
        await call.service.view.wait_for_update(
            min(call.deadline, clock.now() + LOOKUP_RETRY_INTERVAL_S)
        )
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN,
        f"could not determine whether key {key.key} was committed",
    )


def _supersedes(primary: Primary, previous: Primary) -> bool:
    before, after = previous.gate.record, primary.gate.record
    return primary.term > previous.term and before.endpoint != after.endpoint


def _is_unknown(answer: Answer) -> bool:
    return is_failure(answer) and answer.kind is ErrorKind.OUTCOME_UNKNOWN
