"""Filters for metrics, access control, hints, classification and limits."""

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import ServiceBinding, WorkspaceRecord
from chivescale.pipeline._call import Answer, Call, Environment, Step
from chivescale.pipeline._transaction import close_transaction
from chivescale.routing import (
    Hints,
    StatementClass,
    classify,
    parse_hints,
)
from chivescale.session import SessionPosition

_TRANSACTION_END_CLASSES = ("commit", "rollback")
_ENDPOINT_CLASSES = frozenset({StatementClass.READ, StatementClass.WRITE})


def find_binding(
    workspace: WorkspaceRecord, service: str
) -> ServiceBinding | None:
    """Return the binding of a workspace to a service, if any."""
    for binding in workspace.bindings:
        if binding.service == service:
            return binding
    return None


async def record_metrics(call: Call, next_step: Step) -> Answer:
    """Record the latency of a statement and count its failure."""
    metrics = call.environment.metrics
    answer = await next_step(call)
    if is_failure(answer):
        metrics.count_failure(answer.kind.value)
    if call.latency_class and call.workspace is not None:
        elapsed_s = clock.now() - call.started_at
        metrics.observe_statement(
            call.workspace.name, call.latency_class, elapsed_s
        )
    return answer


async def authenticate(call: Call, next_step: Step) -> Answer:
    """Check the access of the session against the current sheet."""
    access = resolve_access(call.environment, call.session)
    if is_failure(access):
        if call.state.pinned is None:
            return access
        close_transaction(call.state, call.session)
        return Failure(ErrorKind.TRANSACTION_ABORTED, access.reason)
    call.workspace, call.binding = access
    call.service = call.environment.service(call.session.service)
    position = call.state.position
    if position is None or position.service != call.session.service:
        call.state.position = SessionPosition(
            call.session.service, call.binding.session_scope
        )
    else:
        position.scope = call.binding.session_scope
    return await next_step(call)


def resolve_access(environment: Environment, session):
    """Look up the workspace and the binding of a session.

    Returns
    -------
    tuple of (WorkspaceRecord, ServiceBinding) or Failure
    """
    workspace = environment.workspaces(session.workspace)
    if workspace is None:
        reason = f"workspace {session.workspace} is not in the sheet"
        return Failure(ErrorKind.WORKSPACE_REMOVED, reason)
    binding = find_binding(workspace, session.service)
    if binding is None:
        reason = (
            f"workspace {workspace.name} has no access to service "
            f"'{session.service}'"
        )
        return Failure(ErrorKind.SERVICE_NOT_ALLOWED, reason)
    return workspace, binding


async def read_hints(call: Call, next_step: Step) -> Answer:
    """Combine the hints of the statement with those of the session.

    A hint of the statement overrides the same hint of the session.
    """
    statement_hints = parse_hints(call.sql, call.query_attributes)
    if is_failure(statement_hints):
        return statement_hints
    session_hints = parse_hints("", call.session.variables)
    if is_failure(session_hints):
        return session_hints
    call.hints = _merge_hints(statement_hints, session_hints)
    if call.hints.deadline_ms is not None:
        call.deadline = call.started_at + call.hints.deadline_ms / 1000
    return await next_step(call)


def _merge_hints(statement_hints: Hints, session_hints: Hints) -> Hints:
    def select(name):
        value = getattr(statement_hints, name)
        return getattr(session_hints, name) if value is None else value

    return Hints(
        select("staleness_ms"),
        select("key"),
        select("deadline_ms"),
        select("token"),
    )


async def classify_statement(call: Call, next_step: Step) -> Answer:
    """Determine the statement class; reject oversized statements."""
    limit = call.environment.entry.max_statement_bytes
    if len(call.sql) > limit:
        reason = f"statement exceeds {limit} bytes"
        return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)
    call.statement_class = classify(call.sql)
    return await next_step(call)


async def admit(call: Call, next_step: Step) -> Answer:
    """Reject statements of a stopping host or above the workspace limits."""
    in_transaction = call.state.pinned is not None
    refusal = _refuse_if_stopping(call)
    if refusal is not None:
        if in_transaction:
            close_transaction(call.state, call.session)
        return refusal
    call.environment.retries.record_request()
    limits = call.environment.limits(call.workspace.name)
    if in_transaction and call.statement_class in _TRANSACTION_END_CLASSES:
        # Rejecting COMMIT or ROLLBACK would only keep the connection of the
        # transaction in use for longer.
        return await next_step(call)
    rejection = limits.start_statement(call.started_at)
    if rejection is not None:
        call.environment.metrics.count_shed(rejection.kind.value)
        return rejection
    try:
        return await next_step(call)
    finally:
        limits.finish_statement()


def _refuse_if_stopping(call: Call) -> Failure | None:
    """Return a failure if the host stops too soon for a statement."""
    schedule = call.environment.schedule
    now = clock.now()
    kind = call.statement_class
    if call.state.abort_failure is not None:
        # The caller must learn first that its transaction was rolled back.
        return None
    if call.state.pinned is not None:
        if kind is StatementClass.ROLLBACK:
            return None
        return schedule.refuse_in_transaction(now)
    if kind is StatementClass.BEGIN:
        return schedule.refuse_begin(now)
    if kind not in _ENDPOINT_CLASSES:
        return None
    if not call.session.autocommit:
        return schedule.refuse_begin(now)
    return schedule.refuse_statement(now, call.deadline)
