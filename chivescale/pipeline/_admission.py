"""First filters: may this caller run a statement now, and which one."""

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import ServiceBinding, WorkspaceRecord
from chivescale.pipeline._call import Answer, Call, Environment, Step
from chivescale.pipeline._transaction import close_transaction
from chivescale.routing import Hints, classify, parse_hints
from chivescale.session import SessionPosition

_TRANSACTION_END = ("commit", "rollback")


def find_binding(
    workspace: WorkspaceRecord, service: str
) -> ServiceBinding | None:
    """Return the workspace's binding to a service."""
    for binding in workspace.bindings:
        if binding.service == service:
            return binding
    return None


async def measure(call: Call, following: Step) -> Answer:
    """Record latency and failures of a statement."""
    metrics = call.environment.metrics
    answer = await following(call)
    if is_failure(answer):
        metrics.count_failure(answer.kind.value)
    if call.measured and call.workspace is not None:
        elapsed = clock.now() - call.started
        metrics.observe_statement(call.workspace.name, call.measured, elapsed)
    return answer


async def authenticate(call: Call, following: Step) -> Answer:
    """Check workspace and service against the sheet in force."""
    found = resolve(call.environment, call.session)
    if is_failure(found):
        if call.state.pinned is None:
            return found
        close_transaction(call.state, call.session)
        return Failure(ErrorKind.TRANSACTION_ABORTED, found.reason)
    call.workspace, call.binding = found
    call.service = call.environment.service(call.session.service)
    position = call.state.position
    if position is None or position.service != call.session.service:
        call.state.position = SessionPosition(
            call.session.service, call.binding.session_scope
        )
    else:
        position.scope = call.binding.session_scope
    return await following(call)


def resolve(environment: Environment, session):
    """Return workspace and binding of a session, or a `Failure`."""
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


async def read_hints(call: Call, following: Step) -> Answer:
    """Merge hints of the statement with those of the session."""
    own = parse_hints(call.sql, call.attrs)
    if is_failure(own):
        return own
    held = parse_hints("", call.session.variables)
    if is_failure(held):
        return held
    call.hints = _overlay(own, held)
    if call.hints.deadline_ms is not None:
        call.deadline = call.started + call.hints.deadline_ms / 1000
    return await following(call)


def _overlay(own: Hints, held: Hints) -> Hints:
    def first(name):
        value = getattr(own, name)
        return getattr(held, name) if value is None else value

    return Hints(
        first("staleness_ms"),
        first("key"),
        first("deadline_ms"),
        first("token"),
    )


async def classify_statement(call: Call, following: Step) -> Answer:
    """Find the class of the statement."""
    limit = call.environment.entry.max_statement_bytes
    if len(call.sql) > limit:
        reason = f"statement over {limit} bytes"
        return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)
    call.kind = classify(call.sql)
    return await following(call)


async def admit(call: Call, following: Step) -> Answer:
    """Apply draining and the limits of the workspace."""
    open_transaction = call.state.pinned is not None
    if call.environment.draining and not open_transaction:
        return Failure(ErrorKind.SHUTTING_DOWN, "host is draining")
    call.environment.retries.record_request()
    limits = call.environment.limits(call.workspace.name)
    if open_transaction and call.kind in _TRANSACTION_END:
        # Refusing the end of a transaction would only hold its connection.
        return await following(call)
    refused = limits.start_statement(call.started)
    if refused is not None:
        call.environment.metrics.count_shed(refused.kind.value)
        return refused
    try:
        return await following(call)
    finally:
        limits.finish_statement()
