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


@given("a scripted server")
def scripted_server(context):
    support.start(context)


@given("a scripted server that accepts {limit:d} bytes")
def limited_server(context, limit):
    support.start(context, ServerOptions(max_packet_bytes=limit))


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


@when("a driver runs {statement}")
def driver_runs(context, statement):
    context.connection = support.driver(context)
    context.cursor = context.error = None
    try:
        context.cursor = _run(context.connection, statement)
    except pymysql.MySQLError as err:
        context.error = err


@then("it sees 3 affected rows, a 41-bit insert id, 4 warnings and the commit")
def sees_counts(context):
    cursor, result = context.cursor, context.connection._result
    assert (cursor.rowcount, cursor.lastrowid) == (3, 2**40)
    assert result.warning_count == 4
    assert result.message == f"term=7 position={2**33}".encode()


@when("a driver prepares and runs {statement}")
def prepares_and_runs(context, statement):
    async def run():
        connection = await _asyncmy(context)
        prepared = await connection.prepare(statement)
        await prepared.execute((5,))
        result = connection._result
        connection.close()
        return result

    context.result = context.thread.run(run())


async def _asyncmy(context):
    return await asyncmy.connect(
        host="127.0.0.1",
        port=context.script.port,
        user="mill",
        password=support.SECRET,
        database="ledger",
        autocommit=None,
    )


@then("the prepared statement reports the same counts and commit")
def prepared_counts(context):
    result = context.result
    assert (result.affected_rows, result.insert_id) == (3, 2**40)
    assert result.warning_count == 4
    assert result.message == f"term=7 position={2**33}".encode()
    assert context.script.statements == ["UPDATE t WHERE a = 5"]


@then(
    "it sees error {errno:d} with state {state} and a message that starts"
    " with [{kind}]"
)
def sees_error(context, errno, state, kind):
    assert context.error.args[0] == errno, context.error
    assert context.error.args[1].startswith(f"[{kind}] "), context.error
    sock = support.raw_socket(context)
    _log_in(sock)
    statement = context.script.statements[-1].encode()
    sock.sendall(support.packet(0, b"\x03" + statement))
    _, payload = support.read_packet(sock)
    assert payload[3:9] == b"#" + state.encode()


@then("the same connection still answers")
def still_answers(context):
    assert _run(context.connection, "SELECT 1").fetchall()


@then("its status shows in transaction {open_} and autocommit {auto}")
def status_shows(context, open_, auto):
    status = context.connection.server_status
    assert bool(status & 1) == (open_ == "yes")
    assert bool(status & 2) == (auto == "yes")
    context.connection.ping(reconnect=False)
    assert context.connection.server_status == status


CAPABILITIES = 0x0208 | 0x8000 | 0x80000


def _scramble(secret, salt):
    return pymysql._auth.scramble_native_password(secret.encode(), salt)


def _log_in(sock, user="mill", secret=support.SECRET, plugin=None):
    """Log in without the driver; return the last answer."""
    _, greeting = support.read_packet(sock)
    end = greeting.index(b"\0", 1)
    salt = greeting[end + 5 : end + 13] + greeting[end + 32 : end + 44]
    scramble = _scramble(secret, salt) if secret else b""
    name = (plugin or "mysql_native_password").encode()
    if plugin:
        scramble = b"\x11" * 32
    response = CAPABILITIES.to_bytes(4, "little") + (1 << 24).to_bytes(
        4, "little"
    )
    response += bytes((45,)) + bytes(23) + user.encode() + b"\0"
    response += bytes((len(scramble),)) + scramble + b"ledger\0"
    sock.sendall(support.packet(1, response + name + b"\0"))
    return support.read_packet(sock)


@when("a client logs in with {flaw} and sends a statement at once")
def logs_in_with_flaw(context, flaw):
    user, secret = "mill", support.SECRET
    if flaw == "a refused workspace":
        context.script.refusal = Failure(ErrorKind.CONNECTION_LIMIT, "full")
    elif flaw == "an unknown user":
        user = "nobody"
    else:
        secret = "wrong" if flaw == "a wrong secret" else ""
    context.sock = support.raw_socket(context)
    context.answer = _log_in(context.sock, user, secret)
    try:
        context.sock.sendall(support.packet(0, b"\x03UPDATE t"))
    except ConnectionError:
        return


@then("it sees error {errno:d} and the end of the connection")
def sees_error_and_end(context, errno):
    answer = context.answer or support.read_packet(context.sock)
    assert answer[1][0] == 0xFF, answer
    assert int.from_bytes(answer[1][1:3], "little") == errno, answer
    assert support.read_packet(context.sock) is None


@then("no statement ran")
def no_statement(context):
    assert context.script.statements == []


@when("a client answers the greeting for caching_sha2_password")
def other_plugin(context):
    context.sock = support.raw_socket(context)
    context.answer = _log_in(context.sock, plugin="caching_sha2_password")


@then("it can log in with the secret after the switch request")
def switched(context):
    sequence, payload = context.answer
    assert payload[0] == 0xFE
    name, salt, _ = payload[1:].split(b"\0", 2)
    assert name == b"mysql_native_password"
    reply = _scramble(support.SECRET, salt)
    context.sock.sendall(support.packet(sequence + 1, reply))
    assert support.read_packet(context.sock)[1][0] == 0


@when("a driver connects with TLS")
def connects_with_tls(context):
    context.connection = support.driver(
        context, ssl=context.client_tls, ssl_disabled=False
    )


@then("it can run statements over TLS")
def runs_over_tls(context):
    assert context.connection._secure
    assert _run(context.connection, "SELECT 1").fetchall()[0] == (1, "x")


@when("a client asks for TLS")
def asks_for_tls(context):
    context.sock = support.raw_socket(context)
    support.read_packet(context.sock)
    flags = (CAPABILITIES | 0x800).to_bytes(4, "little")
    request = flags + (1 << 24).to_bytes(4, "little") + b"\x2d" + bytes(23)
    context.sock.sendall(support.packet(1, request))


@then("its connection ends without an answer")
def ends_silently(context):
    assert support.read_packet(context.sock) is None


@when("a driver vanishes while its statement runs")
def vanishes(context):
    sock = support.raw_socket(context)
    _log_in(sock)
    sock.sendall(support.packet(0, b"\x03HANG") + support.packet(0, b"\x0e"))
    assert context.script.started.wait(support.WAIT_S)
    sock.close()


@then("the statement is cancelled and the session closed once")
def cancelled_once(context):
    assert context.script.ended.wait(support.WAIT_S)
    time.sleep(0.05)
    assert len(context.script.cancelled) == 1
    assert len(context.script.closed) == 1
    assert context.script.statements == ["HANG"]


@when("a driver reads {count:d} rows of which the last is broken")
def reads_broken(context, count):
    driver_runs(context, f"ROWS {count} BROKEN")


@then("it sees the loss of the connection instead of a result")
def sees_loss(context):
    assert context.cursor is None
    assert context.error.args[0] == 2013, context.error


@when("a driver reads {count:d} rows")
def reads_rows(context, count):
    driver_runs(context, f"ROWS {count}")


@then("it sees all {count:d} rows in order")
def sees_rows(context, count):
    assert [row[0] for row in context.cursor.fetchall()] == list(range(count))


@when("a driver sends a statement of {size:d} bytes")
def sends_large(context, size):
    context.sock = support.raw_socket(context)
    _log_in(context.sock)
    context.answer = None
    context.sock.sendall(support.packet(0, b"\x03" + b"U" * (size - 1)))


@then("the second connection still answers")
def second_answers(context):
    assert _run(context.second, "SELECT 1").fetchall()


@when("a client sends {count:d} statements in one write")
def pipelines(context, count):
    context.sock = support.raw_socket(context)
    _log_in(context.sock)
    context.sock.sendall(
        b"".join(
            support.packet(0, b"\x03ECHO %d" % number)
            for number in range(count)
        )
    )


@then("it gets {count:d} answers in order")
def answers_in_order(context, count):
    for number in range(count):
        answers = [support.read_packet(context.sock) for _ in range(5)]
        assert [sequence for sequence, _ in answers] == [1, 2, 3, 4, 5]
        assert answers[3][1][1:] == b"ECHO %d" % number


@when("a client sends a statement with sequence number {number:d}")
def out_of_sequence(context, number):
    context.sock = support.raw_socket(context)
    _log_in(context.sock)
    context.answer = None
    context.sock.sendall(support.packet(number, b"\x03UPDATE t"))


@when("a driver prepares {count:d} statements")
def prepares_many(context, count):
    async def run():
        connection = await _asyncmy(context)
        try:
            for number in range(count):
                context.prepared = number
                await connection.prepare("SELECT ?")
        except asyncmy.errors.MySQLError as err:
            return err
        finally:
            connection.close()

    context.error = context.thread.run(run())
    context.count = count


@then("the last one is refused with error {errno:d}")
def last_refused(context, errno):
    assert context.prepared == context.count - 1
    assert context.error.args[0] == errno


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
    async def run():
        connection = await _asyncmy(context)
        prepared = await connection.prepare("ECHO ?, '?', ? -- ?")
        for value, _ in PREPARED_VALUES:
            await prepared.execute((value, 7))
        connection.close()

    context.thread.run(run())
    got = context.script.statements
    for (_, literal), sql in zip(PREPARED_VALUES, got, strict=True):
        # Some drivers send decimals as text.
        wanted = f"ECHO {literal}, '?', 7 -- ?"
        assert sql.replace("'12.50'", "12.50") == wanted, sql


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
    for change in (
        lambda: connection.select_db("other"),
        lambda: _run(connection, "USE other"),
    ):
        try:
            change()
            raise AssertionError("service changed inside a transaction")
        except pymysql.MySQLError as err:
            assert err.args[0] == 1235
    assert session.service == "orders"


@then("a reset connection has no transaction and no prepared statements")
def reset_connection(context):
    sock = support.raw_socket(context)
    _log_in(sock)
    session = next(iter(context.script.server.sessions.values()))
    for command in (b"\x03BEGIN", b"\x16SELECT 1"):
        sock.sendall(support.packet(0, command))
        support.read_packet(sock)
    session.variables["a"] = 1
    sock.sendall(support.packet(0, b"\x1f"))
    assert support.read_packet(sock)[1][0] == 0
    assert context.script.statements == ["BEGIN", "ROLLBACK"]
    assert (session.in_transaction, session.variables) == (False, {})
    execute = b"\x17" + bytes((1, 0, 0, 0, 0, 1, 0, 0, 0))
    sock.sendall(support.packet(0, execute))
    answer = support.read_packet(sock)[1]
    assert int.from_bytes(answer[1:3], "little") == 1243


@when("a client sends COM_CHANGE_USER")
def changes_user(context):
    context.sock = support.raw_socket(context)
    _log_in(context.sock)
    context.answer = None
    context.sock.sendall(support.packet(0, b"\x11root\0\0ledger\0"))


@when("a session is killed while {state}")
def killed(context, state):
    context.connection = support.driver(context)
    session = next(iter(context.script.server.sessions.values()))

    async def kill():
        session.kill(Failure(ErrorKind.SHUTTING_DOWN, "draining"))

    async def kill_when_started():
        await asyncio.to_thread(context.script.started.wait)
        await kill()

    statement = "SELECT 1"
    if state == "idle":
        context.thread.run(kill())
    elif state == "ending itself":
        statement = "LEAVE"
    else:
        statement = "HANG"
        if state != "running":
            context.script.outcome_on_cancel = Failure(
                ErrorKind.OUTCOME_UNKNOWN, "in doubt"
            )
        asyncio.run_coroutine_threadsafe(
            kill_when_started(), context.thread.loop
        )
    try:
        _run(context.connection, statement)
        context.error = None
    except pymysql.MySQLError as err:
        context.error = err


@then("its driver sees {end}")
def driver_sees(context, end):
    errno = context.error.args[0]
    if end == "a closed port":
        assert errno in (2006, 2013), context.error
        assert context.script.statements == []
    else:
        assert errno == int(end.split()[1]), context.error
    assert context.script.ended.wait(support.WAIT_S)


@when("a client disappears while its login is accepted")
def disappears(context):
    sock = support.raw_socket(context)
    context.script.on_open = sock.close
    try:
        _log_in(sock)
    except OSError:
        return


@then("its session is closed once")
def session_closed_once(context):
    assert context.script.ended.wait(support.WAIT_S)
    time.sleep(0.05)
    assert len(context.script.closed) == 1
    assert context.script.closed[0] not in context.script.server.sessions


@when("a driver sends {size:d} bytes of text and reads their length")
def sends_text(context, size):
    connection = support.driver(context, max_allowed_packet=1 << 26)
    text = "LENGTH " + "x" * (size - 7)
    context.length = _run(connection, text).fetchall()[0][0]


@then("the length is {size:d}")
def length_is(context, size):
    assert context.length == size


@given("a scripted server that waits {ms:d} ms for a caller to read")
def impatient_server(context, ms):
    support.start(context, ServerOptions(write_s=ms / 1000))


@when("a client asks for {size:d} bytes and does not read")
def does_not_read(context, size):
    sock = support.raw_socket(context)
    _log_in(sock)
    sock.sendall(support.packet(0, b"\x03BIG %d" % size))


@when("a driver reads a row of {size:d} bytes")
def reads_big_row(context, size):
    driver_runs(context, f"BIG {size}")


@then("the row has {size:d} bytes")
def big_row(context, size):
    assert context.cursor is not None, context.error
    assert len(context.cursor.fetchall()[0][0]) == size


@when("the server closes")
def server_closes(context):
    context.thread.run(context.script.server.close())


@then("the second connection has ended")
def second_ended(context):
    try:
        _run(context.second, "SELECT 1")
        raise AssertionError("the connection still answers")
    except pymysql.MySQLError as err:
        assert err.args[0] in (2006, 2013), err
    assert len(context.script.closed) == 1
