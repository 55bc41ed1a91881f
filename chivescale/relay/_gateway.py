"""Server side of statement forwarding between entry hosts."""

import asyncio

import msgspec

from chivescale.catalog import Consistency, Route
from chivescale.clock import now
from chivescale.dialect import Statement, StatementKind
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway import (
    MAX_FRAME_BYTES,
    GatewayRequest,
    GoAway,
    Hello,
    Ping,
    Pong,
    RollbackRequest,
    RunRequest,
    RunResponse,
)
from chivescale.lines import LineChannel
from chivescale.messages import Position, decode, encode
from chivescale.relay._prepare import PreparedStatement
from chivescale.relay._request import StatementRequest
from chivescale.relay._transaction import Transaction
from chivescale.stopping import StopSchedule
from chivescale.telemetry import log_event

# The forwarding host rolls back idle transactions itself. If it fails to,
# for example because it is frozen, the gateway does after this extra time.
IDLE_TIMEOUT_MARGIN_S = 1.0


class ForwardedSession:
    """State of a session on another host, as needed by one statement.

    Attributes
    ----------
    positions : dict of str to Position
        Position of the last commit of the session, by service.
    transaction : Transaction or None
        Open transaction.
    commit_position : Position or None
        Position of the commit made by the statement.
    """

    __slots__ = ("commit_position", "positions", "transaction")

    def __init__(self, message: RunRequest, transaction: Transaction | None):
        self.positions: dict[str, Position] = {}
        if message.session_position is not None:
            self.positions[message.service] = message.session_position
        self.transaction = transaction
        self.commit_position: Position | None = None

    def record_commit(self, service: str, position: Position | None) -> None:
        """Store the position to be returned to the forwarding host."""
        self.commit_position = position


class ForwardedTransaction(msgspec.Struct, eq=False):
    """Transaction run on behalf of another host.

    Attributes
    ----------
    running : bool
        Whether one of its statements is running.
    rollback_pending : bool
        Whether to roll it back once that statement has finished.
    """

    transaction: Transaction
    running: bool = False
    rollback_pending: bool = False
    timer: asyncio.TimerHandle | None = None


class GatewayServer:
    """Accepts connections of other entry hosts and runs their statements.

    Parameters
    ----------
    host : RelayHost
        Host that executes the statements.

    Attributes
    ----------
    in_flight : int
        Statements that are running or queued.
    """

    def __init__(self, host):
        self.host = host
        self.server: asyncio.Server | None = None
        self.connections: set[ForwarderConnection] = set()
        self.in_flight = 0

    async def start(self, address: str) -> None:
        """Start listening."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, int(port), backlog=256
        )

    def _accept(self):
        connection = ForwarderConnection(self)
        self.connections.add(connection)
        return connection.channel

    @property
    def open_transactions(self) -> int:
        """Number of open transactions of other hosts."""
        return sum(len(c.transactions) for c in self.connections)

    @property
    def isolated(self) -> bool:
        """Whether this host has lost coordinators and primaries."""
        return self.host.isolation_monitor.isolated_since is not None

    def announce_shutdown(self) -> None:
        """Notify the other hosts to send no new statements."""
        for connection in self.connections:
            connection.send(GoAway())

    def abort_idle_transactions(self) -> None:
        """Roll back the open transactions that run no statement."""
        for connection in self.connections:
            connection.abort_idle_transactions()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.channel.close()


class ForwarderConnection:
    """Connection of another entry host that forwards statements."""

    def __init__(self, server: GatewayServer):
        self.server = server
        self.peer = ""
        self.channel = LineChannel(
            self._on_line, self._on_disconnect, MAX_FRAME_BYTES
        )
        self.transactions: dict[int, ForwardedTransaction] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, message) -> None:
        """Send a message; ignored if the connection is closed."""
        self.channel.send(encode(message) + b"\r\n")

    def _on_line(self, line: bytes) -> None:
        message = decode(line, GatewayRequest)
        match message:
            case Hello(host):
                self.peer = host
            case Ping():
                self.send(Pong(isolated=self.server.isolated))
            case RollbackRequest(number):
                self._end(number)
            case RunRequest():
                task = asyncio.ensure_future(self._run(message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case Failure():
                log_event(
                    "gateway_message_invalid",
                    "warning",
                    peer=self.peer,
                    reason=message.reason,
                )
                self.channel.abort()
                self._on_disconnect("cannot decode message")

    def _on_disconnect(self, reason: str) -> None:
        """Roll back the open transactions of the other host."""
        self.server.connections.discard(self)
        for number in list(self.transactions):
            self._end(number)

    def abort_idle_transactions(self) -> None:
        """Roll back the open transactions that run no statement."""
        for number, forwarded in list(self.transactions.items()):
            if not forwarded.running:
                self._end(number)

    def _end(self, number: int) -> None:
        forwarded = self.transactions.pop(number, None)
        if forwarded is None:
            return
        if forwarded.timer is not None:
            forwarded.timer.cancel()
        forwarded.rollback_pending = True
        if not forwarded.running:
            self.server.host.local_executor.abandon(forwarded.transaction)

    async def _run(self, message: RunRequest) -> None:
        self.server.in_flight += 1
        try:
            response = await self._handle(message)
        except Exception as err:
            log_event("gateway_failed", "error", error=repr(err))
            response = RunResponse(
                message.number, kind=ErrorKind.INTERNAL, reason=repr(err)
            )
        finally:
            self.server.in_flight -= 1
        self.send(response)

    async def _handle(self, message: RunRequest) -> RunResponse:
        schedule = self.server.host.schedule
        if message.transaction:
            forwarded = self._get_or_begin(message)
        else:
            timeout_s = message.statement_timeout_ms / 1000
            ends_by = now() - message.age_s + timeout_s
            forwarded = schedule.refuse_statement(now(), ends_by)
        if is_failure(forwarded):
            return RunResponse(
                message.number, kind=forwarded.kind, reason=forwarded.reason
            )
        transaction = forwarded.transaction if forwarded else None
        session = ForwardedSession(message, transaction)
        request = _make_request(message, session, schedule)
        outcome = await self._execute(request, forwarded, message.transaction)
        failed = is_failure(outcome)
        return RunResponse(
            message.number,
            rows=[] if failed else outcome.rows,
            signature="" if failed else outcome.signature,
            kind=outcome.kind if failed else None,
            reason=outcome.reason if failed else "",
            commit=session.commit_position,
            endpoint=request.endpoint,
            attempts=request.attempts,
            min_position=request.min_position,
            proof_age_s=request.proof_age_s,
            waiting=self.server.in_flight,
        )

    def _get_or_begin(
        self, message: RunRequest
    ) -> ForwardedTransaction | Failure:
        """Return the transaction of a statement, or begin it."""
        schedule = self.server.host.schedule
        forwarded = self.transactions.get(message.transaction)
        if forwarded is not None:
            refusal = schedule.refuse_in_transaction(now())
            if refusal is not None:
                self._end(message.transaction)
                return refusal
            if forwarded.timer is not None:
                forwarded.timer.cancel()
            return forwarded
        if not message.begins:
            # A statement must never run in a different transaction from the
            # one in which the client sent it.
            reason = "the gateway has rolled back the transaction"
            return Failure(ErrorKind.TRANSACTION_ABORTED, reason)
        refusal = schedule.refuse_begin(now())
        if refusal is not None:
            return refusal
        begun_at = now() - message.begun_age_s
        forwarded = ForwardedTransaction(
            Transaction(_make_route(message), message.read_only, begun_at)
        )
        self.transactions[message.transaction] = forwarded
        return forwarded

    async def _execute(
        self,
        request: StatementRequest,
        forwarded: ForwardedTransaction | None,
        number: int,
    ):
        executor = self.server.host.local_executor
        if forwarded is None:
            return await executor.run_single(request)
        transaction = forwarded.transaction
        forwarded.running = True
        try:
            if request.statement.kind is StatementKind.COMMIT:
                self.transactions.pop(number, None)
                return await executor.commit(transaction, request)
            outcome = await executor.run_in_transaction(transaction, request)
        finally:
            forwarded.running = False
        if is_failure(outcome) or forwarded.rollback_pending:
            self.transactions.pop(number, None)
            executor.abandon(transaction)
        else:
            self._start_timer(forwarded, number)
        return outcome

    def _start_timer(
        self, forwarded: ForwardedTransaction, number: int
    ) -> None:
        limit_ms = self.server.host.idle_transaction_ms
        if limit_ms:
            loop = asyncio.get_running_loop()
            forwarded.timer = loop.call_later(
                limit_ms / 1000 + IDLE_TIMEOUT_MARGIN_S, self._end, number
            )


def _make_route(message: RunRequest) -> Route:
    return Route(
        name="",
        database="",
        prefix="",
        service=message.service,
        consistency=Consistency(message.consistency),
        statement_timeout_ms=message.statement_timeout_ms,
        latency_goal_ms=message.latency_goal_ms,
        priority=message.priority,
        accepted_staleness_ms=message.accepted_staleness_ms,
    )


def _make_request(
    message: RunRequest, session: ForwardedSession, schedule: StopSchedule
) -> StatementRequest:
    definition = None
    if message.definition is not None:
        definition = PreparedStatement(*message.definition)
    return StatementRequest(
        Statement(
            message.request_id,
            message.kind,
            message.text,
            message.name,
            message.argument,
        ),
        _make_route(message),
        now() - message.age_s,
        message.writes,
        session,
        message.values,
        schedule,
        definition,
        message.workspace,
    )
