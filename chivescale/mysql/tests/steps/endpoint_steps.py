"""Steps for connections to endpoints."""

import asyncio
import contextlib
import time

from behave import given, then, when

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.mysql import ServerOptions, connect
from chivescale.mysql.tests import support


def _soon(seconds=2.0):
    return time.monotonic() + seconds


ANSWERS = {
    "the answer is cut": b"\x01\0\0\x01\x02\x20",
    "the answer is noise": b"\xff\xff\x00\x09" + b"\xff" * 70000,
    # An OK packet with the flag for more results.
    "another answer follows": b"\x07\0\0\x01\0\0\0\x0a\0\0\0",
}
MULTI_STATEMENTS = 1 << 16


class Relay:
    """Forwards bytes to the server and can disturb the way back."""

    def __init__(self, target):
        self.target = target
        self.clients = []
        self.replace_next = None
        self.login = b""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        ip, port = self.target.split(":")
        upstream = await asyncio.open_connection(ip, int(port))
        self.clients.append(writer)
        await asyncio.gather(
            self._pump(reader, upstream[1], False),
            self._pump(upstream[0], writer, True),
        )

    async def _pump(self, reader, writer, back):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not back and not self.login:
                    self.login = data
                if back and self.replace_next is not None:
                    data = self.replace_next
                    writer.write(data)
                    if not data.startswith(b"\xff"):
                        break
                else:
                    writer.write(data)
                await writer.drain()
        writer.close()

    async def close(self):
        self.server.close()
        for writer in self.clients:
            writer.transport.abort()


async def _bare_server(greeting):
    async def serve(reader, writer):
        writer.write(greeting)
        await reader.read(1)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@when("a connection is opened to {endpoint}")
def opened_to(context, endpoint):
    async def run():
        secret, server = support.SECRET, None
        address = context.script.server.address
        if endpoint == "a port without a listener":
            server, address = await _bare_server(b"")
            server.close()
            await server.wait_closed()
            server = None
        elif endpoint == "a server that never greets":
            server, address = await _bare_server(b"")
        elif endpoint == "a server that greets with noise":
            server, address = await _bare_server(b"\x05\0\0\0noise")
        elif endpoint == "a server without connections":
            context.script.server.options = ServerOptions(max_connections=0)
        elif endpoint == "a server with another secret":
            secret = "other"
        else:
            context.script.refusal = Failure(
                ErrorKind.STATEMENT_FAILED, "no schema", 1049, "42000"
            )
        start = time.monotonic()
        outcome = await connect(address, "mill", secret, "ledger", _soon(0.3))
        assert time.monotonic() - start < 5.0
        if server is not None:
            server.close()
        return outcome

    context.outcome = context.thread.run(run())


@then("opening it fails with {kind}")
def opening_fails(context, kind):
    assert is_failure(context.outcome), context.outcome
    assert context.outcome.kind.value == kind, context.outcome


@given("an open endpoint connection")
def open_connection(context):
    support.start(context)

    async def run():
        context.relay = Relay(context.script.server.address)
        await context.relay.start()
        return await connect(
            context.relay.address, "mill", support.SECRET, "ledger", _soon()
        )

    context.connection = context.thread.run(run())
    assert not is_failure(context.connection), context.connection

    async def close():
        context.connection.close()
        await context.relay.close()

    context.add_cleanup(lambda: context.thread.run(close()))


@when("it runs {statement}")
def it_runs(context, statement):
    context.outcome = context.thread.run(
        context.connection.query(statement, _soon())
    )


@then("the rows are bytes and the column types those of the endpoint")
def rows_are_bytes(context):
    result = context.outcome
    assert result.rows == [(b"1", b"x"), (b"-2", None)]
    assert [column.type for column in result.columns] == [8, 253]
    assert [column.name for column in result.columns] == ["a", "b"]


@then("its result has the counts and the commit of the endpoint")
def result_has_counts(context):
    result = context.outcome
    assert (result.affected_rows, result.last_insert_id) == (3, 2**40)
    assert result.warnings == 4
    assert (result.commit.term, result.commit.position) == (7, 2**33)


@then(
    "the outcome is statement_failed with {errno:d}, {state} and no kind"
    " prefix"
)
def statement_failed(context, errno, state):
    failure = context.outcome
    assert failure.kind is ErrorKind.STATEMENT_FAILED
    assert (failure.errno, failure.sqlstate) == (errno, state)
    assert failure.reason == "a reason"


@then("the connection is usable")
def is_usable(context):
    assert context.connection.usable


@then("the connection is not usable")
def is_not_usable(context):
    assert not context.connection.usable


@when("{event} while a statement runs")
def while_running(context, event):
    async def run():
        deadline = _soon(0.2 if event == "the deadline passes" else 5.0)
        statement = "HANG"
        if event in ANSWERS:
            context.relay.replace_next = ANSWERS[event]
            statement = "SELECT 1"
        query = asyncio.create_task(
            context.connection.query(statement, deadline)
        )
        if statement == "HANG":
            await asyncio.to_thread(context.script.started.wait, 5.0)
        if event == "the endpoint closes":
            await context.relay.close()
        if event == "the request is given up":
            query.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                return await query
            return None
        return await query

    context.outcome = context.thread.run(run())


@then("the outcome is {kind}")
def outcome_is(context, kind):
    if kind == "nothing":
        assert context.outcome is None
    else:
        assert context.outcome.kind.value == kind, context.outcome


@when("{event} while the connection is idle")
def while_idle(context, event):
    async def run():
        if event == "the endpoint closes":
            await context.relay.close()
        else:
            late = b"\x07\0\0\x01\0\0\0\x02\0\0\0"
            context.relay.clients[0].write(late)
        await asyncio.sleep(0.1)

    context.thread.run(run())


@then("the next statement is unreachable and never arrives")
def next_unreachable(context):
    before = list(context.script.statements)
    outcome = context.thread.run(
        context.connection.query("UPDATE next", _soon())
    )
    assert outcome.kind is ErrorKind.UNREACHABLE, outcome
    time.sleep(0.05)
    assert context.script.statements == before


@then("the session counts as changed: {changed}")
def session_changed(context, changed):
    assert context.connection.session_changed == (changed == "yes")


@then("it is in a transaction after BEGIN and not after COMMIT")
def transaction_state(context):
    seen = []
    for sql in ("UPDATE t", "BEGIN", "SELECT 1", "FAIL did_not_run", "COMMIT"):
        context.thread.run(context.connection.query(sql, _soon()))
        seen.append(context.connection.in_transaction)
    assert seen == [False, True, True, True, False], seen


@then("a connection with TLS runs statements")
def connection_with_tls(context):
    async def run():
        connection = await connect(
            context.script.server.address,
            "mill",
            support.SECRET,
            "ledger",
            _soon(),
            context.client_tls,
        )
        result = await connection.query("SELECT 1", _soon())
        connection.close()
        return result

    assert len(context.thread.run(run()).rows) == 2


@then("its login does not offer multiple statements")
def no_multiple_statements(context):
    flags = int.from_bytes(context.relay.login[4:8], "little")
    assert flags and not flags & MULTI_STATEMENTS, hex(flags)
