"""Runs statements for other entry hosts."""

import asyncio

import msgspec

from chivescale.catalog import Consistency, Route
from chivescale.clock import now
from chivescale.dialect import Statement, StatementKind
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway import (
    MAX_FRAME_BYTES,
    Answer,
    Bye,
    Hello,
    Ping,
    Pong,
    Rollback,
    Run,
    ToGateway,
)
from chivescale.lines import LineChannel
from chivescale.messages import Position, decode, encode
from chivescale.relay._prepare import Definition
from chivescale.relay._transaction import Transaction
from chivescale.relay._work import Work
from chivescale.telemetry import log_event

# The host that asked ends idle transactions itself. If it does not, because
# it is frozen, the gateway does after this much longer.
IDLE_MARGIN_S = 1.0


class ForwardedSession:
    """What a statement needs to know of the session on another host.

    Attributes
    ----------
    values : dict of str to str
        Session values.
    positions : dict of str to Position
        Last commit, by service.
    transaction : Transaction or None
        Open transaction.
    committed : Position or None
        Commit of the statement that runs.
    """

    __slots__ = ("committed", "positions", "transaction", "values")

    def __init__(self, message: Run, transaction: Transaction | None):
        self.values = message.values
        self.positions: dict[str, Position] = {}
        if message.own is not None:
            self.positions[message.service] = message.own
        self.transaction = transaction
        self.committed: Position | None = None

    def note_commit(self, service: str, position: Position | None) -> None:
        """Note the position that the session's next reads must include."""
        self.committed = position


class ForwardedTransaction(msgspec.Struct, eq=False):
    """A transaction that another host has begun here.

    Attributes
    ----------
    running : bool
        Whether a statement of it runs.
    ended : bool
        Whether it is to be rolled back once that statement has ended.
    """

    transaction: Transaction
    running: bool = False
    ended: bool = False
    timer: asyncio.TimerHandle | None = None


class GatewayServer:
    """Accepts connections of other entry hosts.

    Parameters
    ----------
    host : RelayHost
        Owner; runs the statements.
    """

    def __init__(self, host):
        self.host = host
        self.server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.running = 0

    async def start(self, address: str) -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, int(port), backlog=256
        )

    def _accept(self):
        connection = Connection(self)
        self.connections.add(connection)
        return connection.channel

    @property
    def open_transactions(self) -> int:
        """Transactions that other hosts have open here."""
        return sum(len(c.transactions) for c in self.connections)

    def leave(self) -> None:
        """Tell the other hosts to send no new statements."""
        for connection in self.connections:
            connection.send(Bye())

    def close(self) -> None:
        """End every connection."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.channel.close()


class Connection:
    """The connection of one other entry host."""

    def __init__(self, server: GatewayServer):
        self.server = server
        self.peer = ""
        self.channel = LineChannel(
            self._on_line, self._on_lost, MAX_FRAME_BYTES
        )
        self.transactions: dict[int, ForwardedTransaction] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, message) -> None:
        """Send a message; lost if the connection has ended."""
        self.channel.send(encode(message) + b"\r\n")

    def _on_line(self, line: bytes) -> None:
        message = decode(line, ToGateway)
        match message:
            case Hello(host):
                self.peer = host
            case Ping():
                self.send(Pong())
            case Rollback(number):
                self._end(number)
            case Run():
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
                self._on_lost("unreadable message")

    def _on_lost(self, reason: str) -> None:
        """Roll back what the other host has left open."""
        self.server.connections.discard(self)
        for number in list(self.transactions):
            self._end(number)

    def _end(self, number: int) -> None:
        held = self.transactions.pop(number, None)
        if held is None:
            return
        if held.timer is not None:
            held.timer.cancel()
        held.ended = True
        if not held.running:
            self.server.host.local.abandon(held.transaction)

    async def _run(self, message: Run) -> None:
        self.server.running += 1
        try:
            answer = await self._answer(message)
        except Exception as err:
            log_event("gateway_failed", "error", error=repr(err))
            answer = Answer(
                message.number, kind=ErrorKind.INTERNAL, reason=repr(err)
            )
        finally:
            self.server.running -= 1
        self.send(answer)

    async def _answer(self, message: Run) -> Answer:
        held = None
        if message.transaction:
            held = self._transaction(message)
        elif self.server.host.stopping:
            held = Failure(ErrorKind.SHUTTING_DOWN, "the gateway stops")
        if is_failure(held):
            return Answer(message.number, kind=held.kind, reason=held.reason)
        transaction = held.transaction if held else None
        session = ForwardedSession(message, transaction)
        work = _work(message, session)
        outcome = await self._execute(work, held, message.transaction)
        failed = is_failure(outcome)
        return Answer(
            message.number,
            rows=[] if failed else outcome.rows,
            signature="" if failed else outcome.signature,
            kind=outcome.kind if failed else None,
            reason=outcome.reason if failed else "",
            commit=session.committed,
            endpoint=work.endpoint,
            attempts=work.attempts,
            need=work.need,
            proof_age_s=work.proof_age_s,
            waiting=self.server.running,
        )

    def _transaction(self, message: Run) -> ForwardedTransaction | Failure:
        """Return the transaction of a statement; its first one begins it."""
        held = self.transactions.get(message.transaction)
        if held is not None:
            if held.timer is not None:
                held.timer.cancel()
            return held
        if not message.begins:
            # A statement must never run in a transaction other than the one
            # its caller has begun.
            reason = "the gateway has ended the transaction"
            return Failure(ErrorKind.TRANSACTION_ABORTED, reason)
        if self.server.host.stopping:
            return Failure(ErrorKind.SHUTTING_DOWN, "the gateway stops")
        begun_at = now() - message.begun_age_s
        held = ForwardedTransaction(
            Transaction(_route(message), message.read_only, begun_at)
        )
        self.transactions[message.transaction] = held
        return held

    async def _execute(
        self, work: Work, held: ForwardedTransaction | None, number: int
    ):
        local = self.server.host.local
        if held is None:
            return await local.run_single(work)
        transaction = held.transaction
        held.running = True
        try:
            if work.statement.kind is StatementKind.COMMIT:
                self.transactions.pop(number, None)
                return await local.commit(transaction, work)
            outcome = await local.run_in_transaction(transaction, work)
        finally:
            held.running = False
        if is_failure(outcome) or held.ended:
            self.transactions.pop(number, None)
            local.abandon(transaction)
        else:
            self._start_timer(held, number)
        return outcome

    def _start_timer(self, held: ForwardedTransaction, number: int) -> None:
        limit_ms = self.server.host.idle_transaction_ms
        if limit_ms:
            loop = asyncio.get_running_loop()
            held.timer = loop.call_later(
                limit_ms / 1000 + IDLE_MARGIN_S, self._end, number
            )


def _route(message: Run) -> Route:
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


def _work(message: Run, session: ForwardedSession) -> Work:
    definition = None
    if message.definition is not None:
        definition = Definition(*message.definition)
    return Work(
        Statement(
            message.request_id,
            message.kind,
            message.text,
            message.name,
            message.argument,
        ),
        _route(message),
        now() - message.age_s,
        message.writes,
        session,
        definition,
    )
