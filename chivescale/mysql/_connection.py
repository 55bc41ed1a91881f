"""Command phase of one caller connection."""

import asyncio
import re

from mysql_mimic.auth import IdentityProvider
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.types import (
    Capabilities,
    Commands,
    ServerStatus,
    uint_2,
    uint_4,
    uint_len,
)

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql._binary import make_binary_row
from chivescale.mysql._packets import (
    MalformedPacket,
    PacketReader,
    decode_sql,
    make_column_definition,
    make_eof,
    make_error,
    make_ok,
    make_text_row,
)
from chivescale.mysql._params import (
    Prepared,
    prepare,
    read_attributes,
    read_execute,
)
from chivescale.mysql._result import (
    CHARSET_BINARY,
    FLAG_BINARY,
    TYPE_VAR_STRING,
    Column,
)
from chivescale.mysql._session import (
    CallerHandlers,
    CallerSession,
    ServerOptions,
)
from chivescale.mysql._stream import (
    ConnectionEnded,
    PacketStream,
    PacketTooLarge,
)
from chivescale.telemetry import log_event

ROWS_PER_BATCH = 500
STATUS_IN_TRANS = int(ServerStatus.SERVER_STATUS_IN_TRANS)
STATUS_AUTOCOMMIT = int(ServerStatus.SERVER_STATUS_AUTOCOMMIT)
_USE = re.compile(r"\s*USE\s+(`[^`]+`|[\w$-]+)\s*;?\s*", re.IGNORECASE)
_PARAMETER = Column("?", TYPE_VAR_STRING, CHARSET_BINARY, FLAG_BINARY)
TOO_MANY_PREPARED = Failure(
    ErrorKind.STATEMENT_FAILED,
    "too many prepared statements on this connection",
    1461,
    "42000",
)
UNKNOWN_PREPARED = Failure(
    ErrorKind.STATEMENT_FAILED, "unknown prepared statement", 1243, "HY000"
)


class AnswerBroken(Exception):
    """Part of an answer left, so only closing tells that it is not whole."""


class CallerConnection(Connection):
    """Reads commands, runs them through the handlers, writes answers.

    The library's connection provides the protocol state; its command loop
    is replaced because it goes on after malformed packets and writes no
    counts.
    """

    def __init__(
        self,
        stream: PacketStream,
        session: CallerSession,
        handlers: CallerHandlers,
        options: ServerOptions,
        capabilities: Capabilities,
    ):
        super().__init__(stream, session, LocalControl(1), IdentityProvider())
        self.handlers = handlers
        self.options = options
        self.capabilities = capabilities
        self.sends_attributes = bool(
            Capabilities.CLIENT_QUERY_ATTRIBUTES & capabilities
        )
        self.ends_with_ok = bool(
            Capabilities.CLIENT_DEPRECATE_EOF & capabilities
        )
        self.prepared: dict[int, Prepared] = {}
        self.ending: Failure | None = None
        self.vanished = False
        self.accepted = False
        self.task: asyncio.Task | None = None
        self.commands = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_PING: self.handle_ping,
            Commands.COM_INIT_DB: self.handle_init_db,
            Commands.COM_RESET_CONNECTION: self.handle_reset_connection,
            Commands.COM_STMT_PREPARE: self.handle_stmt_prepare,
            Commands.COM_STMT_EXECUTE: self.handle_stmt_execute,
            Commands.COM_STMT_SEND_LONG_DATA: self.handle_stmt_send_long_data,
            Commands.COM_STMT_CLOSE: self.handle_stmt_close,
            Commands.COM_STMT_RESET: self.handle_stmt_reset,
        }

    async def command_phase(self) -> None:
        """Serve commands until the connection ends."""
        self.task = asyncio.current_task()
        self.session.end = self.end
        self.stream.reader.on_end = self.on_end
        while self.ending is None and not self.vanished:
            self.stream.start_command()
            try:
                data = await self.stream.read()
                if self.ending is not None:
                    await self.answer(self.ending)
                    return
                if not await self._dispatch(data):
                    return
            except ConnectionEnded:
                return
            except PacketTooLarge:
                limit = self.options.max_packet_bytes
                reason = f"command over {limit} bytes"
                await self.refuse(ErrorKind.MESSAGE_TOO_LARGE, reason)
                return
            except MalformedPacket as err:
                await self.refuse(ErrorKind.MESSAGE_INVALID, str(err))
                return
            except (AnswerBroken, TimeoutError, OSError) as err:
                log_event("answer_broken", "warning", error=repr(err))
                self.stream.close(abort=True)
                return

    async def _dispatch(self, data: bytes) -> bool:
        """Serve one command; False ends the connection."""
        if not data:
            raise MalformedPacket("empty command")
        if data[0] == Commands.COM_QUIT:
            return False
        handler = self.commands.get(data[0])
        if handler is None:
            reason = f"command {data[0]:#x} is not supported"
            await self.refuse(ErrorKind.UNSUPPORTED, reason)
            # A changed user must not go on with the rights of the old one.
            return data[0] != Commands.COM_CHANGE_USER
        await handler(data[1:])
        return True

    def on_end(self) -> None:
        """Cancel the running statement of a caller that vanished."""
        self.vanished = True
        if self.session.executing:
            self.task.cancel()

    def end(self, failure: Failure) -> None:
        """End the connection; see `CallerSession.kill`."""
        if self.ending is not None:
            return
        self.ending = failure
        if self.session.executing:
            # A handler may end its own session; its outcome is still sent.
            if asyncio.current_task() is not self.task:
                self.task.cancel()
        elif not (self.stream.reader.unread or self.stream.receiving):
            self.stream.close()

    async def run_statement(self, sql: str, attrs: dict):
        """Return the outcome of a statement."""
        match = _USE.fullmatch(sql)
        if match:
            return await self.use(match.group(1).strip("`"))
        self.session.executing = True
        try:
            outcome = await self.handlers.execute(self.session, sql, attrs)
        except asyncio.CancelledError:
            if not (self.vanished or self.ending):
                raise
            outcome = self.ending
        except Exception as err:  # one caller must not end the process
            log_event("statement_error", "error", error=repr(err))
            outcome = Failure(ErrorKind.INTERNAL, repr(err))
        finally:
            self.session.executing = False
        if self.vanished or self.ending:
            while self.task.cancelling():
                self.task.uncancel()
        if self.vanished:
            raise ConnectionEnded()
        return outcome

    async def use(self, service: str) -> Failure | None:
        """Switch the default database."""
        if self.session.in_transaction:
            reason = "the database cannot change inside a transaction"
            return Failure(ErrorKind.UNSUPPORTED, reason)
        if self.handlers.use is not None:
            failure = await self.handlers.use(self.session, service)
            if is_failure(failure):
                return failure
        self.session.service = service
        return None

    async def handle_query(self, data: bytes) -> None:
        reader, attrs = PacketReader(data), {}
        if self.sends_attributes:
            attrs = read_attributes(reader)
        outcome = await self.run_statement(decode_sql(reader.rest()), attrs)
        await self.answer(outcome, make_text_row)

    async def handle_ping(self, data: bytes) -> None:
        await self.answer(None)

    async def handle_init_db(self, data: bytes) -> None:
        await self.answer(await self.use(decode_sql(data)))

    async def handle_reset_connection(self, data: bytes) -> None:
        if self.session.in_transaction:
            outcome = await self.run_statement("ROLLBACK", {})
            if is_failure(outcome):
                await self.answer(outcome)
                return
        self.session.variables.clear()
        self.session.autocommit = True
        self.prepared.clear()
        await self.answer(None)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        if len(self.prepared) >= self.options.max_prepared:
            await self.answer(TOO_MANY_PREPARED)
            return
        statement = prepare(decode_sql(data))
        if statement.count > 0xFFFF:
            await self.refuse(ErrorKind.UNSUPPORTED, "too many placeholders")
            return
        number = next(self.prepared_stmt_seq) + 1
        self.prepared[number] = statement
        head = b"\0" + uint_4(number) + uint_2(0) + uint_2(statement.count)
        packets = [head + b"\0\0\0"]
        packets += [make_column_definition(_PARAMETER)] * statement.count
        if statement.count and not self.ends_with_ok:
            packets.append(make_eof(self.status()))
        await self.stream.send(packets)

    async def handle_stmt_execute(self, data: bytes) -> None:
        reader = PacketReader(data)
        statement = self.prepared.get(reader.integer(4))
        if statement is None:
            await self.answer(UNKNOWN_PREPARED)
            return
        # A requested cursor is not opened: the protocol allows the server
        # to send all rows at once instead.
        flags = reader.integer(1)
        reader.integer(4)
        sql, attrs = read_execute(
            reader, statement, flags, self.sends_attributes
        )
        statement.long_data.clear()
        outcome = await self.run_statement(sql, attrs)
        if is_failure(outcome) or outcome is None:
            await self.answer(outcome)
            return
        columns = outcome.columns
        await self.answer(outcome, lambda row: make_binary_row(row, columns))

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        reader = PacketReader(data)
        statement = self.prepared.get(reader.integer(4))
        index = reader.integer(2)
        if statement is None or index >= statement.count:
            raise MalformedPacket("long data for an unknown parameter")
        held = sum(
            len(buffer)
            for other in self.prepared.values()
            for buffer in other.long_data.values()
        )
        if held + reader.left > self.options.max_packet_bytes:
            raise PacketTooLarge()
        statement.long_data.setdefault(index, bytearray()).extend(
            reader.rest()
        )

    async def handle_stmt_close(self, data: bytes) -> None:
        self.prepared.pop(PacketReader(data).integer(4), None)

    async def handle_stmt_reset(self, data: bytes) -> None:
        statement = self.prepared.get(PacketReader(data).integer(4))
        if statement is not None:
            statement.long_data.clear()
        await self.answer(None if statement else UNKNOWN_PREPARED)

    async def refuse(self, kind: ErrorKind, reason: str) -> None:
        """Answer with an error packet."""
        try:
            await self.answer(Failure(kind, reason))
        except (TimeoutError, OSError):
            self.stream.close(abort=True)

    async def answer(self, outcome, make_row=make_text_row) -> None:
        """Write the whole answer to a command."""
        if is_failure(outcome):
            packet = make_error(outcome, self.options.prefix_errors)
            await self.stream.send([packet])
        elif outcome is None or not outcome.columns:
            await self.stream.send([make_ok(self.status(), outcome)])
        else:
            await self._send_rows(outcome, make_row)

    def status(self) -> int:
        """Return the status flags of an answer."""
        session = self.session
        flags = STATUS_AUTOCOMMIT if session.autocommit else 0
        return flags | STATUS_IN_TRANS if session.in_transaction else flags

    async def _send_rows(self, result, make_row) -> None:
        packets = [uint_len(len(result.columns))]
        packets += [make_column_definition(col) for col in result.columns]
        if not self.ends_with_ok:
            packets.append(make_eof(self.status()))
        try:
            for row in result.rows:
                packets.append(make_row(row))
                if len(packets) >= ROWS_PER_BATCH:
                    await self.stream.send(packets)
                    packets = []
            packets.append(self._end_of_rows(result))
            await self.stream.send(packets)
        except Exception as err:
            raise AnswerBroken(repr(err)) from err

    def _end_of_rows(self, result) -> bytes:
        if self.ends_with_ok:
            return make_ok(self.status(), result, eof=True)
        return make_eof(self.status(), result.warnings)
