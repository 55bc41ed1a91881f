"""Callers of an entry host: login, statements, draining."""

import asyncio

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.limits import WorkspaceLimits
from chivescale.messages import WorkspaceRecord
from chivescale.mysql import CallerHandlers, CallerSession
from chivescale.pipeline import (
    Call,
    CallerState,
    Environment,
    build_request_path,
    close_transaction,
    find_binding,
    resolve_access,
)
from chivescale.telemetry import log_event

SWEEP_INTERVAL_S = 0.1


class Callers:
    """Connections of callers and what they may do.

    Parameters
    ----------
    environment : Environment
        Shared by all calls.
    ready : callable
        Whether the host has a state to serve from.
    """

    def __init__(self, environment: Environment, ready):
        self.environment = environment
        self.ready = ready
        self.run_call = build_request_path()
        self.sessions: dict[CallerSession, None] = {}
        self.limits: dict[str, WorkspaceLimits] = {}

    def handlers(self) -> CallerHandlers:
        """Return the functions that the MySQL server calls."""
        return CallerHandlers(
            secret_hash=self.secret_hash,
            opened=self.opened,
            execute=self.execute,
            closed=self.closed,
            use=self.use,
            admit=self.admit,
        )

    def limits_of(self, workspace: str) -> WorkspaceLimits:
        """Return the limits of a workspace."""
        limits = self.limits.get(workspace)
        if limits is None:
            record = self.environment.workspaces(workspace)
            limits = WorkspaceLimits(record or WorkspaceRecord(workspace, ""))
            self.limits[workspace] = limits
        return limits

    def state_changed(self) -> None:
        """Apply changed limits and removals of workspaces."""
        for name, limits in list(self.limits.items()):
            record = self.environment.workspaces(name)
            if record is not None:
                limits.update(record)
            elif not limits.connections:
                del self.limits[name]
        for session in list(self.sessions):
            self._end_removed(session)

    def _end_removed(self, session: CallerSession) -> None:
        """End idle sessions without access.

        Running statements finish; an open transaction ends at its next
        statement.
        """
        found = resolve_access(self.environment, session)
        if not is_failure(found) or not session.service:
            return
        if not session.executing and not session.in_transaction:
            session.kill(found)

    async def admit(self) -> Failure | None:
        """Refuse connections that could not be served."""
        if self.environment.draining:
            return Failure(ErrorKind.SHUTTING_DOWN, "host is draining")
        if not self.ready():
            return Failure(ErrorKind.NOT_READY, "host is starting")
        return None

    def secret_hash(self, workspace: str) -> str | None:
        """Return the secret hash of a workspace."""
        record = self.environment.workspaces(workspace)
        return record.secret_hash if record is not None else None

    async def opened(self, session: CallerSession) -> Failure | None:
        """Accept a connection after its login."""
        record = self.environment.workspaces(session.workspace)
        if record is None:
            reason = f"workspace {session.workspace} is not in the sheet"
            return Failure(ErrorKind.AUTHENTICATION_FAILED, reason)
        if session.service:
            denied = await self.use(session, session.service)
            if denied is not None:
                return denied
        refused = self.limits_of(session.workspace).open_connection()
        if refused is not None:
            return refused
        session.data = CallerState()
        session.data.last_used_at = clock.now()
        self.sessions[session] = None
        return None

    async def use(self, session: CallerSession, service: str):
        """Check the access to a service that becomes the default."""
        if session.in_transaction:
            reason = "the service cannot change inside a transaction"
            return Failure(ErrorKind.UNSUPPORTED, reason)
        record = self.environment.workspaces(session.workspace)
        if record is None or find_binding(record, service) is None:
            reason = (
                f"workspace {session.workspace} has no access to service "
                f"'{service}'"
            )
            return Failure(ErrorKind.SERVICE_NOT_ALLOWED, reason)
        return None

    async def execute(self, session: CallerSession, sql: str, attrs: dict):
        """Run one statement."""
        call = Call(self.environment, session, sql, attrs, clock.now())
        try:
            answer = await self.run_call(call)
        finally:
            if call.state.pinned is None:
                session.in_transaction = False
        if is_failure(answer) and answer.kind in _ENDS_SESSION:
            session.kill(answer)
        return answer

    async def closed(self, session: CallerSession) -> None:
        """Release what a connection held."""
        self.sessions.pop(session, None)
        close_transaction(session.data, session)
        self.limits_of(session.workspace).close_connection()

    async def sweep(self) -> None:
        """End transactions that their callers left idle."""
        while True:
            now = clock.now()
            for session in list(self.sessions):
                self._end_idle(session, now)
            await asyncio.sleep(SWEEP_INTERVAL_S * 10)

    def _end_idle(self, session: CallerSession, now: float) -> None:
        state = session.data
        limit_s = self.environment.entry.transaction_idle_s
        if state.pinned is None or session.executing:
            return
        if now - state.last_used_at >= limit_s:
            close_transaction(state, session)
            state.abort_failure = Failure(
                ErrorKind.TRANSACTION_ABORTED,
                f"transaction was idle for {limit_s:g} s",
            )
            log_event("transaction_idle", workspace=session.workspace)

    async def drain(self, timeout_s: float) -> bool:
        """Let work end, then close; tell whether all ended in time."""
        self.environment.draining = True
        until = clock.now() + timeout_s
        while self.sessions and clock.now() < until:
            for session in list(self.sessions):
                if not session.executing and not session.in_transaction:
                    session.kill(_DRAINING)
            await asyncio.sleep(SWEEP_INTERVAL_S / 2)
        left = list(self.sessions)
        for session in left:
            session.kill(_DRAINING)
        return not left


_DRAINING = Failure(ErrorKind.SHUTTING_DOWN, "host is draining")
_ENDS_SESSION = frozenset({ErrorKind.WORKSPACE_REMOVED})
