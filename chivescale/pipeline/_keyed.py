"""Writes with an idempotency key."""

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
    was_refused,
    watch_term,
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
LOCKED_ERRNOS = frozenset({1205, 1213})
LOOKUP_PAUSE_S = 0.1


async def keyed_write(call: Call) -> Answer:
    """Run a write whose key is recorded in the same transaction."""
    call.measured = "write"
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
                ErrorKind.KEY_IN_PROGRESS, f"key {key.key} is in use"
            )
        await asyncio.sleep(backoff_s(attempt, call.environment.rng))
        attempt += 1


def make_key(call: Call, text: str) -> StatementKey:
    """Return the key of a call; `text` is what it stands for."""
    digest = statement_digest(f"{call.session.service}\n{text}")
    return StatementKey(call.session.workspace, call.hints.key, digest)


async def _attempt(
    call: Call, key: StatementKey, primary: Primary
) -> Answer | None:
    """Run one attempt; None asks for another one."""
    connection = primary.connection
    progress = _Progress()
    try:
        outcome = await watch_term(
            call, primary, _transaction(call, key, primary, progress)
        )
    finally:
        if connection.in_transaction:
            connection.close()
        if not connection.usable:
            primary.gate.pool.suspect_silence()
        primary.gate.pool.release(connection)
    if not is_failure(outcome):
        return await _finish(call, key, primary, outcome)
    if outcome.errno == DUPLICATE_ERRNO and outcome.reason == _CLAIM:
        return await lookup(call, key)
    if outcome.kind is ErrorKind.TIMEOUT and progress.commit_sent:
        # Also when the primary was replaced before it answered COMMIT.
        return await resolve_commit(call, key, primary)
    if outcome.errno in LOCKED_ERRNOS or was_refused(outcome):
        return None
    if outcome.kind is ErrorKind.TIMEOUT:
        # COMMIT was not sent, so the endpoint rolls back.
        if not progress.begun and clock.now() < call.deadline:
            return None
        return Failure(ErrorKind.DID_NOT_RUN, outcome.reason)
    return outcome


class _Progress:
    """How far the transaction of a keyed write came."""

    begun = False
    commit_sent = False


_CLAIM = "key is already recorded"


async def _finish(call, key, primary, result: QueryResult) -> Answer:
    answer = await confirm(call, result, primary.term)
    if is_failure(answer) and answer.kind is ErrorKind.OUTCOME_UNKNOWN:
        return await resolve_commit(call, key, primary)
    return answer


async def _transaction(
    call, key: StatementKey, primary: Primary, progress: _Progress
) -> Answer:
    """Record the key, run the statement, store its result, commit."""

    async def run(sql: str) -> Answer:
        return await run_on_primary(call, primary, sql)

    begun = await run_begin(call, primary, "BEGIN")
    if is_failure(begun):
        return begun
    progress.begun = True
    claimed = await claim(run, key)
    if is_failure(claimed):
        return claimed
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


async def claim(run, key: StatementKey) -> Answer:
    """Insert the key, creating its table at first use."""
    claimed = await run(key.insert_sql())
    if is_failure(claimed) and claimed.errno == NO_TABLE_ERRNO:
        # Creating a table ends the transaction, which is still empty.
        for sql in ("ROLLBACK", CREATE_REQUEST_TABLE, "BEGIN"):
            done = await run(sql)
            if is_failure(done):
                return done
        claimed = await run(key.insert_sql())
    if is_failure(claimed) and claimed.errno == DUPLICATE_ERRNO:
        await run("ROLLBACK")
        return Failure(
            ErrorKind.STATEMENT_FAILED, _CLAIM, DUPLICATE_ERRNO, "23000"
        )
    return claimed


def is_claimed(answer: Answer) -> bool:
    """Tell whether `claim` found the key recorded."""
    return is_failure(answer) and answer.reason == _CLAIM


async def lookup(call: Call, key: StatementKey) -> Answer | None:
    """Return the recorded result of a key, once it is proven to last.

    Returns
    -------
    QueryResult, Failure or None
        None if the key is not recorded on the present primary.
    """
    primary = await connect_primary(call)
    if is_failure(primary):
        return Failure(ErrorKind.OUTCOME_UNKNOWN, primary.reason)
    return await _lookup_on(call, key, primary)


async def _lookup_on(
    call: Call, key: StatementKey, primary: Primary
) -> Answer | None:
    found = await _select(call, key, primary)
    if is_failure(found):
        if found.errno == NO_TABLE_ERRNO:
            return None
        return Failure(ErrorKind.OUTCOME_UNKNOWN, found.reason)
    row = found.rows[0] if found.rows else None
    meaning = key.interpret(row)
    if meaning is None or is_failure(meaning):
        return meaning
    return await _confirm_stored(call, primary, meaning)


async def _select(call: Call, key: StatementKey, primary: Primary) -> Answer:
    try:
        return await watch_term(
            call,
            primary,
            run_on_primary(call, primary, key.select_sql()),
        )
    finally:
        primary.gate.pool.release(primary.connection)


async def _confirm_stored(
    call: Call, primary: Primary, stored: StoredResult
) -> Answer:
    """Confirm the primary's position after the row was read.

    The write itself lies at or below that position, so a quorum that holds
    the position holds the write.
    """
    status = await call.service.view.status_of(primary.gate.record.endpoint)
    if status is None or not _in_office(status, primary):
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


def _in_office(status: EndpointStatus, primary: Primary) -> bool:
    return status.last.term == primary.term and status.role == "primary"


async def resolve_commit(
    call: Call, key: StatementKey, sent_to: Primary
) -> Answer:
    """Find out whether a commit whose answer was lost took effect.

    A recorded key proves that it did. A missing key proves that it did not
    only on a primary of a later term that is another endpoint: on the same
    endpoint the commit could still be waiting to run.
    """
    while clock.now() < call.deadline:
        primary = await connect_primary(call)
        if is_failure(primary):
            break
        answer = await _lookup_on(call, key, primary)
        if answer is None and _supersedes(primary, sent_to):
            reason = f"key {key.key} is absent in term {primary.term}"
            return Failure(ErrorKind.DID_NOT_RUN, reason)
        if answer is not None and not _is_unknown(answer):
            return answer
        await call.service.view.wait_change(
            min(call.deadline, clock.now() + LOOKUP_PAUSE_S)
        )
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN, f"the commit of key {key.key} is in doubt"
    )


def _supersedes(primary: Primary, sent_to: Primary) -> bool:
    before, after = sent_to.gate.record, primary.gate.record
    return primary.term > sent_to.term and before.endpoint != after.endpoint


def _is_unknown(answer: Answer) -> bool:
    return is_failure(answer) and answer.kind is ErrorKind.OUTCOME_UNKNOWN
