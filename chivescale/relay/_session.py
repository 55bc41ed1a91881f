"""Session of a client connected to the entry host."""

import asyncio
import collections

from chivescale.catalog import Route, key_digest
from chivescale.clock import now
from chivescale.dialect import (
    CallerDialect,
    OpenSession,
    Statement,
    StatementKind,
    Terminate,
    TransactionState,
)
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.lines import LineChannel
from chivescale.messages import Position
from chivescale.relay._access import Access
from chivescale.relay._prepare import PreparedStatement
from chivescale.relay._request import StatementRequest
from chivescale.relay._transaction import Transaction
from chivescale.telemetry import log_decision, log_event

# A client that pipelines more statements than this is disconnected.
MAX_QUEUED_STATEMENTS = 64
# Limits on the memory used by one session.
MAX_SESSION_VALUES = 200
MAX_PREPARED_PER_SESSION = 1000
BEGIN_KINDS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY})
# Statements that run on an endpoint.
ENDPOINT_STATEMENT_KINDS = frozenset(
    {
        StatementKind.READ,
        StatementKind.WRITE,
        StatementKind.EXECUTE,
    }
)


class ClientSession:
    """Session of a client; statements are handled in order.

    Parameters
    ----------
    host : RelayHost
        Host that executes the statements.
    dialect : CallerDialect
        Codec for messages of the client.

    Attributes
    ----------
    database : str
        Database of the session; empty until the session is open.
    key_digest : bytes
        Digest of the key that the client presented.
    values : dict of str to str
        Session variables acknowledged to the client.
    prepared_statements : dict of str to PreparedStatement
        Prepared statements by the name that the client chose.
    positions : dict of str to Position
        Position of the last commit of the session, by service.
    transaction : Transaction or None
        Open or failed transaction.
    """

    def __init__(self, host, dialect: CallerDialect):
        self.host = host
        self.dialect = dialect
        self.channel = LineChannel(
            self._on_line, self._on_disconnect, dialect.max_message_bytes
        )
        self.opened_at = now()
        self.database = ""
        self.key_digest = b""
        self.values: dict[str, str] = {}
        self.prepared_statements: dict[str, PreparedStatement] = {}
        self.positions: dict[str, Position] = {}
        self.transaction: Transaction | None = None
        self.queue: collections.deque[tuple[Statement, float]] = (
            collections.deque()
        )
        self.worker: asyncio.Task | None = None
        self.closed = False

    @property
    def state(self) -> TransactionState:
        """Transaction state reported to the client."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    @property
    def idle(self) -> bool:
        """Whether no statement runs or arrives and no transaction is open."""
        return (
            self.worker is None
            and self.transaction is None
            and not self.channel.buffer
        )

    def record_commit(self, service: str, position: Position | None) -> None:
        """Record a commit that later reads of the session must observe."""
        if position is None:
            return
        known = self.positions.get(service)
        if known is None or position > known:
            self.positions[service] = position

    # Input.

    def _on_line(self, line: bytes) -> None:
        message = self.dialect.decode(line)
        match message:
            case Statement() if self.database:
                self._enqueue(message)
            case OpenSession(database, key) if not self.database:
                self.key_digest = key_digest(key)
                self._on_open_session(database)
            case Terminate():
                self.channel.close()
                self._mark_closed("closed by the client")
            case Failure():
                self._reject_message(message)
            case _:
                reason = "message not allowed in the state of the session"
                self._reject_message(Failure(ErrorKind.BAD_REQUEST, reason))

    def _reject_message(self, failure: Failure) -> None:
        """Report an invalid message; close a session that is not yet open."""
        log_decision(
            "caller_message_invalid", "warning", reason=failure.reason
        )
        opened = bool(self.database)
        state = self.state if opened else None
        self.channel.send(self.dialect.encode_failure(failure, state))
        if not opened:
            self.close()

    def _on_open_session(self, database: str) -> None:
        if self.host.starting:
            # The first configuration is about to arrive. A refusal would make
            # all clients reconnect immediately.
            self.host.waiting_sessions.append((self, database))
            return
        self.accept(database)

    def accept(self, database: str) -> None:
        """Open the session, unless route or key are unknown."""
        if self.closed:
            return
        access = self.host.resolve_access(database, self.key_digest)
        if is_failure(access):
            self.host.record_refused_session(access)
            self.channel.send(self.dialect.encode_failure(access, None))
            self.close()
            return
        self.database = database
        self.channel.send(self.dialect.encode_ready(self.state))

    def _enqueue(self, statement: Statement) -> None:
        if len(self.queue) >= MAX_QUEUED_STATEMENTS:
            self.close()
            return
        self.queue.append((statement, now()))
        if self.transaction is not None:
            self.transaction.stop_timer()
        if self.worker is None:
            self.worker = asyncio.ensure_future(self._process_queue())

    async def _process_queue(self) -> None:
        try:
            while self.queue and not self.closed:
                statement, arrived_at = self.queue.popleft()
                response = await self._handle(statement, arrived_at)
                self.channel.send(response)
        except Exception as err:
            log_event("session_failed", "error", error=repr(err))
            self.close()
        finally:
            self.worker = None
            if self.closed:
                self._release_transaction()
            elif self.transaction is not None:
                self._start_timer()
            elif self.idle and self.host.schedule.closes_answered(now()):
                self.close()

    # Statements.

    async def _handle(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        kind = statement.kind
        if transaction is not None and transaction.failed:
            return self._handle_in_failed_transaction(transaction, kind)
        if kind in ENDPOINT_STATEMENT_KINDS:
            return await self._run(statement, arrived_at)
        if kind is StatementKind.COMMIT:
            return await self._commit(statement, arrived_at)
        failure = None
        if kind in BEGIN_KINDS:
            failure = await self._begin(statement, arrived_at)
        else:
            failure = self._handle_locally(statement)
        if failure is not None:
            return self.dialect.encode_failure(failure, self.state)
        return self.dialect.encode_done(self.state)

    def _handle_locally(self, statement: Statement) -> Failure | None:
        """Handle a statement that does not need an endpoint."""
        match statement.kind:
            case StatementKind.ROLLBACK:
                return self._roll_back()
            case StatementKind.SET:
                return self._set_value(statement)
            case StatementKind.PREPARE:
                return self._prepare(statement)
            case StatementKind.DEALLOCATE:
                if self.prepared_statements.pop(statement.name, None) is None:
                    return _unknown_statement_failure(statement.name)
        return None

    async def _begin(self, statement, arrived_at: float) -> Failure | None:
        if self.transaction is not None:
            reason = "a transaction is already open"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        refusal = self.host.schedule.refuse_begin(now())
        if refusal is not None:
            return refusal
        access = self.host.resolve_access(self.database, self.key_digest)
        if is_failure(access):
            return access
        refusal = await self.host.rate_limiter.admit(access.workspace)
        if refusal is not None:
            return refusal
        read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        self.transaction = Transaction(
            access.route, read_only, arrived_at, access.workspace
        )
        return None

    def _roll_back(self) -> Failure | None:
        if self.transaction is None:
            return Failure(ErrorKind.BAD_REQUEST, "no transaction is open")
        self._release_transaction()
        return None

    def _set_value(self, statement: Statement) -> Failure | None:
        if len(self.values) >= MAX_SESSION_VALUES and (
            statement.name not in self.values
        ):
            reason = f"more than {MAX_SESSION_VALUES} session variables"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        # Running statements keep the mapping that they were sent with.
        self.values = {**self.values, statement.name: statement.argument}
        return None

    def _prepare(self, statement: Statement) -> Failure | None:
        if len(self.prepared_statements) >= MAX_PREPARED_PER_SESSION:
            reason = (
                f"more than {MAX_PREPARED_PER_SESSION} prepared statements"
            )
            return Failure(ErrorKind.BAD_REQUEST, reason)
        self.prepared_statements[statement.name] = PreparedStatement(
            statement.writes, statement.argument
        )
        return None

    def _handle_in_failed_transaction(
        self, transaction, kind: StatementKind
    ) -> bytes:
        """Respond to a statement of a transaction already rolled back."""
        if kind is StatementKind.ROLLBACK:
            self._release_transaction()
            return self.dialect.encode_done(self.state)
        if kind is StatementKind.COMMIT:
            self._release_transaction()
            reason = "the transaction has failed and was rolled back"
            failure = Failure(ErrorKind.TRANSACTION_ABORTED, reason)
            return self.dialect.encode_failure(failure, self.state)
        failure = transaction.take_failure()
        return self.dialect.encode_failure(failure, self.state)

    def _make_request(
        self,
        statement: Statement,
        route: Route,
        workspace: str,
        arrived_at: float,
    ) -> StatementRequest | Failure:
        definition = None
        writes = statement.kind is StatementKind.WRITE
        if statement.kind is StatementKind.EXECUTE:
            definition = self.prepared_statements.get(statement.name)
            if definition is None:
                return _unknown_statement_failure(statement.name)
            writes = definition.writes
        return StatementRequest(
            statement,
            route,
            arrived_at,
            writes,
            self,
            self.values,
            self.host.schedule,
            definition,
            workspace,
        )

    def _resolve_access(self) -> Access | Failure:
        """Return the route and the workspace of the next statement.

        A transaction keeps its route, but ends with the key of its client.
        """
        transaction = self.transaction
        if transaction is None:
            return self.host.resolve_access(self.database, self.key_digest)
        workspace = self.host.identify(self.key_digest, transaction.route)
        if workspace == transaction.workspace:
            return Access(transaction.route, workspace)
        reason = "the key of the session was withdrawn"
        return Failure(ErrorKind.TRANSACTION_ABORTED, reason)

    async def _admit(
        self, statement: Statement, arrived_at: float
    ) -> StatementRequest | Failure:
        """Return the request of a statement, unless it must not run."""
        access = self._resolve_access()
        if is_failure(access):
            return access
        request = self._make_request(
            statement, access.route, access.workspace, arrived_at
        )
        if is_failure(request):
            return request
        refusal = self._refuse_if_stopping(request)
        if refusal is None and self.transaction is None:
            refusal = await self.host.rate_limiter.admit(access.workspace)
        return refusal or request

    async def _run(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        request = await self._admit(statement, arrived_at)
        if is_failure(request):
            outcome = request
            if transaction is not None:
                self.host.executor.abandon(transaction)
        elif transaction is not None:
            outcome = await self.host.executor.run_in_transaction(
                transaction, request
            )
            if is_failure(outcome):
                self.host.executor.abandon(transaction)
        else:
            outcome = await self.host.executor.run_single(request)
            self.host.rate_limiter.settle(request, outcome)
        return self._finish_statement(statement, arrived_at, outcome, request)

    def _refuse_if_stopping(self, request) -> Failure | None:
        """Return a failure if the host stops too soon for the statement."""
        schedule = self.host.schedule
        if self.transaction is not None:
            return schedule.refuse_in_transaction(now())
        return schedule.refuse_statement(now(), request.ends_by)

    async def _commit(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        if transaction is None:
            reason = "no transaction is open"
            failure = Failure(ErrorKind.BAD_REQUEST, reason)
            return self.dialect.encode_failure(failure, self.state)
        access = self._resolve_access()
        if is_failure(access):
            self._release_transaction()
            return self._finish_statement(
                statement, arrived_at, access, access
            )
        request = self._make_request(
            statement, access.route, access.workspace, arrived_at
        )
        outcome = self._refuse_if_stopping(request)
        if outcome is None:
            outcome = await self.host.executor.commit(transaction, request)
        self._release_transaction()
        return self._finish_statement(statement, arrived_at, outcome, request)

    def _finish_statement(
        self, statement, arrived_at, outcome, request
    ) -> bytes:
        self.host.record_outcome(self, statement, arrived_at, outcome, request)
        if is_failure(outcome):
            return self.dialect.encode_failure(outcome, self.state)
        return self.dialect.encode_reply(outcome, self.state)

    # Closing.

    def _start_timer(self) -> None:
        limit_ms = self.host.idle_transaction_ms
        if limit_ms and not self.transaction.failed:
            loop = asyncio.get_running_loop()
            self.transaction.timer = loop.call_later(
                limit_ms / 1000,
                self.abort_idle_transaction,
                "idle timeout",
            )

    def abort_idle_transaction(self, reason: str) -> None:
        """Roll back the open transaction unless a statement is running."""
        transaction = self.transaction
        if transaction is None or transaction.failed or self.worker:
            return
        log_event("transaction_ended", reason=reason, database=self.database)
        self.host.executor.abandon(transaction)
        transaction.unreported_abort = reason

    def _release_transaction(self) -> None:
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            if not transaction.reached_endpoint:
                self.host.rate_limiter.refund(transaction.workspace)
            self.host.executor.abandon(transaction)

    def _on_disconnect(self, reason: str) -> None:
        self._mark_closed(reason)

    def close(self) -> None:
        """Close the session and its connection."""
        self.channel.close()
        self._mark_closed("closed by this host")

    def _mark_closed(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self.queue.clear()
        if self.worker is None:
            self._release_transaction()
        self.host.remove_session(self)


def _unknown_statement_failure(name: str) -> Failure:
    reason = f"no prepared statement named {name}"
    return Failure(ErrorKind.UNKNOWN_STATEMENT, reason)
