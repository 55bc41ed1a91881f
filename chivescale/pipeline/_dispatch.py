"""Last step of the request pipeline: handlers of the statement classes."""

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql import (
    TYPE_LONGLONG,
    TYPE_VAR_STRING,
    Column,
    QueryResult,
)
from chivescale.pipeline._call import Answer, Call, Step
from chivescale.pipeline._keyed import keyed_write
from chivescale.pipeline._read import read
from chivescale.pipeline._transaction import (
    begin,
    commit,
    rollback,
    run_in_transaction,
)
from chivescale.pipeline._write import write
from chivescale.routing import (
    SessionState,
    StatementClass,
    local_answer,
    needs_session,
    parse_hints,
    parse_set,
)
from chivescale.session import format_token, parse_token

_SERVICE_CLASSES = frozenset(
    {StatementClass.READ, StatementClass.WRITE, StatementClass.BEGIN}
)


async def track_session(call: Call, next_step: Step) -> Answer:
    """Report aborted transactions and update the state of the session."""
    state = call.state
    if state.abort_failure is not None:
        failure, state.abort_failure = state.abort_failure, None
        if call.statement_class is not StatementClass.ROLLBACK:
            return failure
    answer = await next_step(call)
    state.last_used_at = clock.now()
    if not is_failure(answer):
        if not answer.columns:
            state.row_count = answer.affected_rows
        if answer.last_insert_id:
            state.last_insert_id = answer.last_insert_id
    if _uses_key(call) and not _may_be_resent(answer):
        # A key identifies one request. It is kept only if the caller may
        # have to send that request again.
        call.session.variables.pop("chivescale_key", None)
    return answer


def _uses_key(call: Call) -> bool:
    writes = (StatementClass.WRITE, StatementClass.COMMIT)
    return call.hints.key is not None and call.statement_class in writes


def _may_be_resent(answer: Answer) -> bool:
    return is_failure(answer) and answer.kind is not ErrorKind.KEY_REUSED


async def dispatch(call: Call) -> Answer:
    """Run the handler of the statement class."""
    if call.statement_class in _SERVICE_CLASSES and call.service is None:
        reason = f"service {call.session.service} is not available yet"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    handler = _HANDLERS[call.statement_class]
    return await handler(call)


async def _read_or_write(call: Call) -> Answer:
    if call.state.pinned is None and not call.session.autocommit:
        begin_answer = await begin(call)
        if is_failure(begin_answer):
            return begin_answer
    if call.state.pinned is not None:
        return await run_in_transaction(call)
    if call.statement_class is StatementClass.READ:
        return await read(call)
    if needs_session(call.sql):
        reason = "user variables and locks require a transaction"
        return Failure(ErrorKind.UNSUPPORTED, reason)
    if call.hints.key is not None:
        return await keyed_write(call)
    return await write(call)


async def _begin(call: Call) -> Answer:
    return await begin(call, call.sql)


async def _savepoint(call: Call) -> Answer:
    if call.state.pinned is None:
        return QueryResult()
    return await run_in_transaction(call)


async def _set_session(call: Call) -> Answer:
    assignments = parse_set(call.sql)
    if is_failure(assignments):
        return assignments
    variables = dict(call.session.variables)
    for name, value in assignments:
        name = name.removeprefix("@")
        if value is None or value == "":
            variables.pop(name, None)
        else:
            variables[name] = value
    hints = parse_hints("", variables)
    if is_failure(hints):
        return hints
    if hints.token is not None:
        token = parse_token(hints.token, call.session.service)
        if is_failure(token):
            return token
    call.session.variables = variables
    return QueryResult()


async def _set_autocommit(call: Call) -> Answer:
    assignments = parse_set(call.sql)
    if is_failure(assignments):
        return assignments
    value = str(dict(assignments).get("autocommit")).lower()
    if value not in _BOOLEAN_VALUES:
        return Failure(
            ErrorKind.BAD_REQUEST, f"invalid value for autocommit: {value}"
        )
    if _BOOLEAN_VALUES[value] and call.state.pinned is not None:
        commit_answer = await commit(call)
        if is_failure(commit_answer):
            return commit_answer
    call.session.autocommit = _BOOLEAN_VALUES[value]
    return QueryResult()


_BOOLEAN_VALUES = {"1": True, "on": True, "true": True} | {
    "0": False,
    "off": False,
    "false": False,
}


async def _set_other(call: Call) -> Answer:
    if call.state.pinned is not None:
        return await run_in_transaction(call)
    reason = "session variables can be set only inside a transaction"
    return Failure(ErrorKind.UNSUPPORTED, reason)


async def _unsupported(call: Call) -> Answer:
    keyword = call.sql.split(None, 1)[0][:20] if call.sql.strip() else ""
    return Failure(
        ErrorKind.UNSUPPORTED, f"statement {keyword} is not supported"
    )


async def _local(call: Call) -> Answer:
    answer = local_answer(call.sql, _session_facts(call))
    if is_failure(answer):
        return answer
    if not answer.columns:
        return QueryResult()
    first_row = (
        answer.rows[0] if answer.rows else (None,) * len(answer.columns)
    )
    columns = tuple(
        Column(name, _column_type(value))
        for name, value in zip(answer.columns, first_row, strict=True)
    )
    return QueryResult(columns, list(answer.rows))


def _column_type(value: object) -> int:
    return TYPE_LONGLONG if isinstance(value, int) else TYPE_VAR_STRING


def _session_facts(call: Call) -> SessionState:
    token = call.state.position.token()
    return SessionState(
        workspace=call.session.workspace,
        service=call.session.service,
        connection_id=call.session.connection_id,
        autocommit=call.session.autocommit,
        token=format_token(token) if token else "",
        last_insert_id=call.state.last_insert_id,
        row_count=call.state.row_count,
    )


_HANDLERS = {
    StatementClass.READ: _read_or_write,
    StatementClass.WRITE: _read_or_write,
    StatementClass.BEGIN: _begin,
    StatementClass.COMMIT: commit,
    StatementClass.ROLLBACK: rollback,
    StatementClass.SAVEPOINT: _savepoint,
    StatementClass.SET_SESSION: _set_session,
    StatementClass.SET_AUTOCOMMIT: _set_autocommit,
    StatementClass.SET_OTHER: _set_other,
    StatementClass.LOCAL: _local,
    StatementClass.UNSUPPORTED: _unsupported,
}
