"""One caller's connection."""

import asyncio
import collections

from chivescale.catalog import Route
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
from chivescale.relay._prepare import Definition
from chivescale.relay._transaction import Transaction
from chivescale.relay._work import Work
from chivescale.telemetry import log_decision, log_event

# A caller that sends more statements without waiting is cut off.
MAX_QUEUED = 64
# Bounds the memory of one session.
MAX_VALUES = 200
MAX_DEFINITIONS = 1000
# A caller's statement that takes this long in a transaction is not idle.
RUNNING_KINDS = frozenset(
    {
        StatementKind.READ,
        StatementKind.WRITE,
        StatementKind.EXECUTE,
    }
)


class CallerSession:
    """State of a caller's session; statements are handled in order.

    Parameters
    ----------
    host : RelayHost
        Owner.
    dialect : CallerDialect
        How the caller speaks.

    Attributes
    ----------
    database : str
        Database that the session was opened for; empty before.
    values : dict of str to str
        Session values acknowledged to the caller.
    definitions : dict of str to Definition
        Statements prepared by the caller, under its names.
    positions : dict of str to Position
        Last commit of the session, by service.
    transaction : Transaction or None
        Open or failed transaction.
    """

    def __init__(self, host, dialect: CallerDialect):
        self.host = host
        self.dialect = dialect
        self.channel = LineChannel(
            self._on_line, self._on_lost, dialect.max_message_bytes
        )
        self.opened_at = now()
        self.database = ""
        self.values: dict[str, str] = {}
        self.definitions: dict[str, Definition] = {}
        self.positions: dict[str, Position] = {}
        self.transaction: Transaction | None = None
        self.queue: collections.deque[tuple[Statement, float]] = (
            collections.deque()
        )
        self.worker: asyncio.Task | None = None
        self.closed = False

    @property
    def state(self) -> TransactionState:
        """State that the caller is told."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    @property
    def idle(self) -> bool:
        """Whether no statement runs and no transaction is open."""
        return self.worker is None and self.transaction is None

    def note_commit(self, service: str, position: Position | None) -> None:
        """Note a commit that later reads of the session must include."""
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
            case OpenSession(database) if not self.database:
                self._open(database)
            case Terminate():
                self.channel.close()
                self._end("ended by the caller")
            case Failure():
                self._refuse_input(message)
            case _:
                reason = "message does not fit the state of the session"
                self._refuse_input(Failure(ErrorKind.BAD_REQUEST, reason))

    def _refuse_input(self, failure: Failure) -> None:
        """Answer what cannot be read; before the start, close as well."""
        log_decision(
            "caller_message_invalid", "warning", reason=failure.reason
        )
        opened = bool(self.database)
        state = self.state if opened else None
        self.channel.send(self.dialect.encode_failure(failure, state))
        if not opened:
            self.close()

    def _open(self, database: str) -> None:
        if self.host.starting:
            # The configuration is on its way; a refusal would only make
            # every caller come back at once.
            self.host.waiting_sessions.append((self, database))
            return
        self.greet(database)

    def greet(self, database: str) -> None:
        """Accept or refuse the session."""
        if self.closed:
            return
        route = self.host.route_of(database)
        if is_failure(route):
            self.host.count_refusal(route)
            self.channel.send(self.dialect.encode_failure(route, None))
            self.close()
            return
        self.database = database
        self.channel.send(self.dialect.encode_ready(self.state))

    def _enqueue(self, statement: Statement) -> None:
        if len(self.queue) >= MAX_QUEUED:
            self.close()
            return
        self.queue.append((statement, now()))
        if self.transaction is not None:
            self.transaction.stop_timer()
        if self.worker is None:
            self.worker = asyncio.ensure_future(self._work())

    async def _work(self) -> None:
        try:
            while self.queue and not self.closed:
                statement, arrived_at = self.queue.popleft()
                answer = await self._handle(statement, arrived_at)
                self.channel.send(answer)
        except Exception as err:
            log_event("session_failed", "error", error=repr(err))
            self.close()
        finally:
            self.worker = None
            if self.closed:
                self._release_transaction()
            elif self.transaction is not None:
                self._start_timer()

    # Statements.

    async def _handle(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        kind = statement.kind
        if transaction is not None and transaction.failed:
            return self._end_failed(transaction, kind)
        if kind in RUNNING_KINDS:
            return await self._run(statement, arrived_at)
        if kind is StatementKind.COMMIT:
            return await self._commit(statement, arrived_at)
        failure = self._keep(statement, arrived_at)
        if failure is not None:
            return self.dialect.encode_failure(failure, self.state)
        return self.dialect.encode_done(self.state)

    def _keep(self, statement: Statement, arrived_at: float) -> Failure | None:
        """Handle a statement that needs no endpoint."""
        match statement.kind:
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                return self._begin(statement, arrived_at)
            case StatementKind.ROLLBACK:
                return self._roll_back()
            case StatementKind.SET:
                return self._set_value(statement)
            case StatementKind.PREPARE:
                return self._prepare(statement)
            case StatementKind.DEALLOCATE:
                if self.definitions.pop(statement.name, None) is None:
                    return _unknown_name(statement.name)
        return None

    def _begin(self, statement, arrived_at: float) -> Failure | None:
        if self.transaction is not None:
            reason = "a transaction is open already"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        route = self.host.route_of(self.database)
        if is_failure(route):
            return route
        read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        self.transaction = Transaction(route, read_only, arrived_at)
        return None

    def _roll_back(self) -> Failure | None:
        if self.transaction is None:
            return Failure(ErrorKind.BAD_REQUEST, "no transaction is open")
        self._release_transaction()
        return None

    def _set_value(self, statement: Statement) -> Failure | None:
        if len(self.values) >= MAX_VALUES and (
            statement.name not in self.values
        ):
            reason = f"more than {MAX_VALUES} session values"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        self.values[statement.name] = statement.argument
        return None

    def _prepare(self, statement: Statement) -> Failure | None:
        if len(self.definitions) >= MAX_DEFINITIONS:
            reason = f"more than {MAX_DEFINITIONS} prepared statements"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        self.definitions[statement.name] = Definition(
            statement.writes, statement.argument
        )
        return None

    def _end_failed(self, transaction, kind: StatementKind) -> bytes:
        """Answer within a transaction that is rolled back already."""
        if kind is StatementKind.ROLLBACK:
            self._release_transaction()
            return self.dialect.encode_done(self.state)
        if kind is StatementKind.COMMIT:
            self._release_transaction()
            reason = "the transaction had failed before"
            failure = Failure(ErrorKind.TRANSACTION_ABORTED, reason)
            return self.dialect.encode_failure(failure, self.state)
        reason = "the transaction has failed and has to be ended"
        failure = Failure(ErrorKind.TRANSACTION_FAILED, reason)
        return self.dialect.encode_failure(failure, self.state)

    def _work_for(
        self, statement: Statement, route: Route, arrived_at: float
    ) -> Work | Failure:
        definition = None
        writes = statement.kind is StatementKind.WRITE
        if statement.kind is StatementKind.EXECUTE:
            definition = self.definitions.get(statement.name)
            if definition is None:
                return _unknown_name(statement.name)
            writes = definition.writes
        return Work(statement, route, arrived_at, writes, self, definition)

    async def _run(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        route = transaction.route if transaction else None
        if route is None:
            route = self.host.route_of(self.database)
        work = (
            route
            if is_failure(route)
            else self._work_for(statement, route, arrived_at)
        )
        if is_failure(work):
            outcome = work
            if transaction is not None:
                self.host.executor.abandon(transaction)
        elif transaction is not None:
            outcome = await self.host.executor.run_in_transaction(
                transaction, work
            )
            if is_failure(outcome):
                self.host.executor.abandon(transaction)
        else:
            outcome = await self.host.executor.run_single(work)
        return self._answer(statement, arrived_at, outcome, work)

    async def _commit(self, statement: Statement, arrived_at: float) -> bytes:
        transaction = self.transaction
        if transaction is None:
            reason = "no transaction is open"
            failure = Failure(ErrorKind.BAD_REQUEST, reason)
            return self.dialect.encode_failure(failure, self.state)
        work = self._work_for(statement, transaction.route, arrived_at)
        outcome = await self.host.executor.commit(transaction, work)
        self._release_transaction()
        return self._answer(statement, arrived_at, outcome, work)

    def _answer(self, statement, arrived_at, outcome, work) -> bytes:
        self.host.note_outcome(self, statement, arrived_at, outcome, work)
        if is_failure(outcome):
            return self.dialect.encode_failure(outcome, self.state)
        return self.dialect.encode_reply(outcome, self.state)

    # End.

    def _start_timer(self) -> None:
        limit_ms = self.host.idle_transaction_ms
        if limit_ms and not self.transaction.failed:
            loop = asyncio.get_running_loop()
            self.transaction.timer = loop.call_later(
                limit_ms / 1000, self.abort_idle, "idle for too long"
            )

    def abort_idle(self, reason: str) -> None:
        """Roll back the open transaction of a caller that rests in it."""
        transaction = self.transaction
        if transaction is None or transaction.failed or self.worker:
            return
        log_event("transaction_ended", reason=reason, database=self.database)
        self.host.executor.abandon(transaction)

    def _release_transaction(self) -> None:
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            self.host.executor.abandon(transaction)

    def _on_lost(self, reason: str) -> None:
        self._end(reason)

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()
        self._end("closed by this host")

    def _end(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self.queue.clear()
        if self.worker is None:
            self._release_transaction()
        self.host.session_ended(self)


def _unknown_name(name: str) -> Failure:
    reason = f"no prepared statement is named {name}"
    return Failure(ErrorKind.UNKNOWN_STATEMENT, reason)
