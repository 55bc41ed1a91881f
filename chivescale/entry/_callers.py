"""Caller connections of an entry host: login and statements."""

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
    interrupted,
    resolve_access,
)
from chivescale.telemetry import log_event

SWEEP_INTERVAL_S = 0.1


class Callers:
    """Handlers and sessions of caller connections.

    Parameters
    ----------
    environment : Environment
        Dependencies shared by all calls.
    is_synced : callable
        Returns whether the replicated state has been synchronized.

    Attributes
    ----------
    sessions : dict of CallerSession
        Open sessions in order of login; the values are unused.
    limits : dict of WorkspaceLimits
        Limits by workspace name.
    """

    def __init__(self, environment: Environment, is_synced):
        self.environment = environment
        self.is_synced = is_synced
        self.run_call = build_request_path()
        self.sessions: dict[CallerSession, None] = {}
        self.limits: dict[str, WorkspaceLimits] = {}

    def handlers(self) -> CallerHandlers:
        """Return the handlers for the MySQL server."""
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

    def on_state_change(self) -> None:
        """Apply changed limits and removed workspaces and bindings."""
        for name, limits in list(self.limits.items()):
            record = self.environment.workspaces(name)
            if record is not None:
                limits.update(record)
            elif not limits.connections:
                del self.limits[name]
        for session in list(self.sessions):
            self._close_if_removed(session)

    def _close_if_removed(self, session: CallerSession) -> None:
        """Close an idle session that has lost its access.

        A running statement completes; an open transaction is aborted at its
        next statement.
        """
        access = resolve_access(self.environment, session)
        if not is_failure(access) or not session.service:
            return
        if not session.executing and not session.in_transaction:
            session.kill(access)

    async def admit(self) -> Failure | None:
        """Reject a new connection that could not be served."""
        if not self.is_synced():
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
            access_failure = await self.use(session, session.service)
            if access_failure is not None:
                return access_failure
        rejection = self.limits_of(session.workspace).open_connection()
        if rejection is not None:
            return rejection
        session.data = CallerState()
        session.data.last_used_at = clock.now()
        self.sessions[session] = None
        return None

    async def use(self, session: CallerSession, service: str):
        """Check the access to the service that a session selects."""
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

    async def execute(
        self, session: CallerSession, sql: str, query_attributes: dict
    ):
        """Run one statement."""
        call = Call(
            self.environment, session, sql, query_attributes, clock.now()
        )
        in_transaction = session.in_transaction or not session.autocommit
        try:
            answer = await self.run_call(call)
        except asyncio.CancelledError:
            if session.killed is None:
                raise
            answer = interrupted(call, in_transaction, session.killed.reason)
        finally:
            if call.state.pinned is None:
                session.in_transaction = False
        if is_failure(answer) and answer.kind in _SESSION_ENDING_KINDS:
            session.kill(answer)
        return answer

    async def closed(self, session: CallerSession) -> None:
        """Release the resources of a closed connection."""
        self.sessions.pop(session, None)
        close_transaction(session.data, session)
        self.limits_of(session.workspace).close_connection()

    async def sweep(self) -> None:
        """Abort idle transactions periodically until cancelled."""
        while True:
            now = clock.now()
            for session in list(self.sessions):
                self._abort_if_idle(session, now)
            await asyncio.sleep(SWEEP_INTERVAL_S * 10)

    def _abort_if_idle(self, session: CallerSession, now: float) -> None:
        limit_s = self.environment.entry.transaction_idle_s
        if now - session.data.last_used_at >= limit_s:
            reason = f"transaction was idle for {limit_s:g} s"
            self.abort_transaction(session, reason, "transaction_idle")

    def abort_transaction(
        self, session: CallerSession, reason: str, event: str
    ) -> bool:
        """Roll back the open transaction unless a statement is running.

        Returns
        -------
        bool
            Whether it was rolled back; the next statement is told.
        """
        state = session.data
        if state.pinned is None or session.executing:
            return False
        close_transaction(state, session)
        state.abort_failure = Failure(ErrorKind.TRANSACTION_ABORTED, reason)
        log_event(event, workspace=session.workspace)
        return True


# An answer of these kinds is the last one of its connection.
_SESSION_ENDING_KINDS = frozenset(
    {ErrorKind.WORKSPACE_REMOVED, ErrorKind.SHUTTING_DOWN}
)
