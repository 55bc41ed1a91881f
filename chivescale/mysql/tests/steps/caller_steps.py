"""Steps for the caller side, driven by stock drivers."""

import asyncio
import datetime
import decimal
import ssl
import time

import asyncmy
import pymysql
import trustme
from behave import given, then, when

from chivescale.errors import ErrorKind, Failure
from chivescale.mysql import ServerOptions
from chivescale.mysql.tests import support
from chivescale.mysql.tests.support import packet, read_packet


@given("a scripted server")
def scripted_server(context):
    support.start(context)


@given("a scripted server that accepts {limit:d} bytes")
def limited_server(context, limit):
    support.start(context, ServerOptions(max_packet_bytes=limit))


@given("a scripted server that waits {ms:d} ms for a caller to read")
def impatient_server(context, ms):
    support.start(context, ServerOptions(write_s=ms / 1000))


@given("a scripted server with TLS")
def tls_server(context):
    authority = trustme.CA()
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(tls)
    context.client_tls = ssl.create_default_context()
    authority.configure_trust(context.client_tls)
    support.start(context, tls=tls)


@given("a second connection")
def second_connection(context):
    context.second = support.driver(context)


def _run(connection, sql):
    cursor = connection.cursor()
    cursor.execute(sql)
    return cursor


def _errno(action, *arguments):
    try:
        action(*arguments)
    except pymysql.MySQLError as err:
        return err.args[0]
    return 0


def _prepared(context, sql, executions):
    """Prepare a statement and run it; return the results."""

    async def run():
        connection = await asyncmy.connect(
            host="127.0.0.1",
            port=context.script.port,
            user="mill",
            password=support.SECRET,
            database="ledger",
            autocommit=None,
        )
        prepared = await connection.prepare(sql)
        results = []
        for values in executions:
            await prepared.execute(values)
            results.append(connection._result)
        connection.close()
        return results

    return context.thread.run(run())


@then("text and prepared writes report counts, warnings and the commit")
def counts(context):
    connection = support.driver(context)
    _run(connection, "UPDATE t")
    results = _prepared(context, "UPDATE t WHERE a = ?", [(5,)])
    assert context.script.statements[-1] == "UPDATE t WHERE a = 5"
    for result in (connection._result, *results):
        assert (result.affected_rows, result.insert_id) == (3, 2**40)
        assert result.warning_count == 4
        assert result.message == f"term=7 position={2**33}".encode()


@then(
    "{count:d} rows arrive in order and a row of {size:d} bytes arrives whole"
)
def large_results(context, count, size):
    connection = support.driver(context)
    rows = _run(connection, f"ROWS {count}").fetchall()
    assert [row[0] for row in rows] == list(range(count))
    assert len(_run(connection, f"BIG {size}").fetchall()[0][0]) == size


@when("a driver runs {statement}")
def driver_runs(context, statement):
    context.connection = support.driver(context)
    context.statement, context.error = statement, None
    try:
        _run(context.connection, statement)
    except pymysql.MySQLError as err:
        context.error = err


@then("it sees error {errno:d} with state {state} and kind {kind}")
def sees_error(context, errno, state, kind):
    assert context.error.args[0] == errno, context.error
    assert context.error.args[1].startswith(f"[{kind}] "), context.error
    # The driver hides the state.
    sock, _ = support.raw_login(context)
    sock.sendall(packet(0, b"\x03" + context.statement.encode()))
    assert read_packet(sock)[1][3:9] == b"#" + state.encode()
    assert _run(context.connection, "SELECT 1").fetchall()


@then("its status shows in transaction {open_} and autocommit {auto}")
def status_shows(context, open_, auto):
    status = context.connection.server_status
    assert bool(status & 1) == (open_ == "yes")
    assert bool(status & 2) == (auto == "yes")
    context.connection.ping(reconnect=False)
    assert context.connection.server_status == status


@when("a client logs in with {flaw} and sends a statement at once")
def logs_in_with_flaw(context, flaw):
    user, secret = "mill", support.SECRET
    if flaw == "a refused workspace":
        context.script.refusal = Failure(ErrorKind.CONNECTION_LIMIT, "full")
    elif flaw == "an unknown user":
        user = "nobody"
    else:
        secret = "wrong" if flaw == "a wrong secret" else ""
    context.sock, context.answer = support.raw_login(context, user, secret)
    try:
        context.sock.sendall(packet(0, b"\x03UPDATE t"))
    except ConnectionError:
        return


@then(
    "it sees error {errno:d}, the end of the connection and no statement ran"
)
def sees_error_and_end(context, errno):
    answer = context.answer or read_packet(context.sock)
    assert answer[1][0] == 0xFF, answer
    assert int.from_bytes(answer[1][1:3], "little") == errno, answer
    assert read_packet(context.sock) is None
    assert context.script.statements == []


@then("a client for caching_sha2_password can log in after the switch")
def other_plugin(context):
    sock, (sequence, payload) = support.raw_login(
        context, plugin="caching_sha2_password"
    )
    assert payload[0] == 0xFE
    name, salt, _ = payload[1:].split(b"\0", 2)
    assert name == b"mysql_native_password"
    reply = support.scramble(support.SECRET, salt)
    sock.sendall(packet(sequence + 1, reply))
    assert read_packet(sock)[1][0] == 0


@then("a driver runs statements over TLS")
def runs_over_tls(context):
    connection = support.driver(
        context, ssl=context.client_tls, ssl_disabled=False
    )
    assert connection._secure
    assert _run(connection, "SELECT 1").fetchall()[0] == (1, "x")


@then("a client that asks for TLS gets no answer")
def asks_for_tls(context):
    sock = support.raw_socket(context)
    read_packet(sock)
    flags = (support.CAPABILITIES | 0x800).to_bytes(4, "little")
    sock.sendall(packet(1, flags + bytes(4) + b"\x2d" + bytes(23)))
    assert read_packet(sock) is None


@when("a client vanishes while its statement runs")
def vanishes(context):
    sock, _ = support.raw_login(context)
    sock.sendall(packet(0, b"\x03HANG") + packet(0, b"\x0e"))
    assert context.script.started.wait(support.WAIT_S)
    sock.close()


@then("the statement is cancelled and the session closed once")
def cancelled_once(context):
    session_closed_once(context)
    assert len(context.script.cancelled) == 1
    assert context.script.statements == ["HANG"]


@then("it sees the loss of the connection")
def sees_loss(context):
    assert context.error is not None
    assert context.error.args[0] == 2013, context.error


COMMANDS = {
    "a 60000 byte statement": packet(0, b"\x03" + b"U" * 59999),
    "a packet out of order": packet(3, b"\x03UPDATE t"),
    "an empty packet": packet(0, b""),
    "COM_CHANGE_USER": packet(0, b"\x11root\0\0ledger\0"),
}


@when("a client sends {command}")
def sends_command(context, command):
    context.sock, _ = support.raw_login(context)
    context.answer = None
    context.sock.sendall(COMMANDS[command])


@then("the second connection still answers")
def second_answers(context):
    assert _run(context.second, "SELECT 1").fetchall()


@then("a statement of {size:d} bytes arrives whole")
def large_statement(context, size):
    connection = support.driver(context, max_allowed_packet=1 << 26)
    text = "LENGTH ".ljust(size, "x")
    assert _run(connection, text).fetchall()[0][0] == size


@when("a client asks for {size:d} bytes and does not read")
def does_not_read(context, size):
    sock, _ = support.raw_login(context)
    sock.sendall(packet(0, b"\x03BIG %d" % size))


@then("{count:d} statements sent in one write get {same:d} answers in order")
def pipelined(context, count, same):
    sock, _ = support.raw_login(context)
    echoes = [packet(0, b"\x03ECHO %d" % number) for number in range(count)]
    sock.sendall(b"".join(echoes))
    for number in range(count):
        answers = [read_packet(sock) for _ in range(5)]
        assert [sequence for sequence, _ in answers] == [1, 2, 3, 4, 5]
        assert answers[3][1][1:] == b"ECHO %d" % number


PREPARED_VALUES = (
    (5, "5"),
    (-(2**40), str(-(2**40))),
    (1.25, "1.25"),
    (None, "NULL"),
    ("it's; DROP TABLE t -- ?", r"'it\'s; DROP TABLE t -- ?'"),
    ("back\\slash\\1", r"'back\\slash\\1'"),
    ("line\nend", r"'line\nend'"),
    ("café", "'café'"),
    (b"\x00\xff'", "X'00ff27'"),
    (decimal.Decimal("12.50"), "12.50"),
    (datetime.date(2024, 2, 29), "'2024-02-29'"),
    (
        datetime.datetime(2024, 2, 29, 1, 2, 3, 4000),
        "'2024-02-29 01:02:03.004000'",
    ),
    (datetime.timedelta(hours=-30), "'-30:00:00'"),
)


@then("every prepared value arrives as the literal that stands for it")
def prepared_literals(context):
    values = [(value, 7) for value, _ in PREPARED_VALUES]
    _prepared(context, "ECHO ?, '?', ? -- ?", values)
    got = context.script.statements
    for (_, literal), sql in zip(PREPARED_VALUES, got, strict=True):
        # Some drivers send decimals as text.
        wanted = f"ECHO {literal}, '?', 7 -- ?"
        assert sql.replace("'12.50'", "12.50") == wanted, sql


@then("a {number:d}th prepared statement is refused with error {errno:d}")
def too_many_prepared(context, number, errno):
    sock, _ = support.raw_login(context)
    for count in range(1, number + 1):
        sock.sendall(packet(0, b"\x16SELECT 1"))
        answer = read_packet(sock)[1]
        assert answer[0] == (0xFF if count == number else 0), count
    assert int.from_bytes(answer[1:3], "little") == errno


@then("USE and COM_INIT_DB switch the service, but not in a transaction")
def switches_service(context):
    connection = support.driver(context)
    session = next(iter(context.script.server.sessions.values()))
    assert session.service == "ledger"
    _run(connection, "USE `atelier`")
    assert session.service == "atelier"
    connection.select_db("orders")
    assert session.service == "orders"
    _run(connection, "BEGIN")
    assert _errno(connection.select_db, "other") == 1235
    assert _errno(_run, connection, "USE other") == 1235
    assert session.service == "orders"


@then("a reset connection has no transaction and no prepared statements")
def reset_connection(context):
    sock, _ = support.raw_login(context)
    session = next(iter(context.script.server.sessions.values()))
    session.variables["a"] = 1
    for command in (b"\x03BEGIN", b"\x16SELECT 1", b"\x1f"):
        sock.sendall(packet(0, command))
        assert read_packet(sock)[1][0] == 0
    assert context.script.statements == ["BEGIN", "ROLLBACK"]
    assert (session.in_transaction, session.variables) == (False, {})
    sock.sendall(packet(0, b"\x17\1\0\0\0\0\1\0\0\0"))
    assert int.from_bytes(read_packet(sock)[1][1:3], "little") == 1243


@when("a session is killed while {state}")
def killed(context, state):
    connection = support.driver(context)
    session = next(iter(context.script.server.sessions.values()))

    async def kill(wait):
        if wait:
            await asyncio.to_thread(context.script.started.wait)
        session.kill(Failure(ErrorKind.SHUTTING_DOWN, "draining"))

    running = state.startswith("running")
    if state == "running, with an answer all same":
        context.script.outcome_on_cancel = Failure(
            ErrorKind.OUTCOME_UNKNOWN, "in doubt"
        )
    statement = "HANG" if running else "SELECT 1"
    if state == "ending itself":
        statement = "LEAVE"
    else:
        killing = asyncio.run_coroutine_threadsafe(
            kill(running), context.thread.loop
        )
        if not running:
            killing.result(support.WAIT_S)
    context.errno = _errno(_run, connection, statement)


@then("its driver sees error {errno:d} and its session is closed")
def driver_sees(context, errno):
    # A closed port is noticed before or after the statement was sent.
    seen = 2013 if context.errno == 2006 else context.errno
    assert seen == errno, context.errno
    if errno == 2013:
        assert context.script.statements == []
    assert context.script.ended.wait(support.WAIT_S)


@when("a client disappears while its login is accepted")
def disappears(context):
    sock = support.raw_socket(context)
    context.script.on_open = sock.close
    try:
        support.log_in(sock)
    except OSError:
        return


@then("its session is closed once")
def session_closed_once(context):
    assert context.script.ended.wait(support.WAIT_S)
    time.sleep(0.05)
    assert len(context.script.closed) == 1
    assert context.script.closed[0] not in context.script.server.sessions


@then("closing the server ends the second connection and its session")
def server_closes(context):
    context.thread.run(context.script.server.close())
    assert _errno(_run, context.second, "SELECT 1") in (2006, 2013)
    assert len(context.script.closed) == 1


@when("a session is killed after a part of a command has arrived")
def killed_while_arriving(context):
    sock, _ = support.raw_login(context)
    session = next(iter(context.script.server.sessions.values()))
    command = packet(0, b"\x03SELECT 1")
    sock.sendall(command[:6])
    time.sleep(0.1)

    async def kill():
        session.kill(Failure(ErrorKind.SHUTTING_DOWN, "draining"))

    context.thread.run(kill())
    sock.sendall(command[6:])
    context.answer = read_packet(sock)[1]


@then("the command is answered with error {errno:d} and its session is closed")
def answered_and_closed(context, errno):
    assert context.answer[0] == 0xFF, context.answer
    assert int.from_bytes(context.answer[1:3], "little") == errno
    assert context.script.statements == []
    assert context.script.ended.wait(support.WAIT_S)
