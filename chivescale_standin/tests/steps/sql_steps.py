"""Steps for the SQL side and its faults."""

import asyncio
import time

import pymysql
from behave import given, then, when

from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import Accepted, Announcement, EndpointStatus
from chivescale.transport import Route, Server
from chivescale_standin.tests import support

ITEMS = (
    "CREATE TABLE items (id INT UNSIGNED NOT NULL AUTO_INCREMENT,"
    " name VARCHAR(40) CHARACTER SET utf8mb4 NOT NULL,"
    " PRIMARY KEY (`id`), KEY by_name (name)) ENGINE=InnoDB"
)


@given("a primary with table items")
def primary_with_items(context):
    group = support.start(context, 1, lock_wait_ms=150)
    group.elect(0, 1)
    outcome = group.sql(0, ITEMS)
    assert not is_failure(outcome), outcome


@given("a primary with {count:d} connections")
def primary_with_limit(context, count):
    support.start(context, 1, connection_limit=count).elect(0, 1)


@when("it runs the statements {statements}")
def runs_statements(context, statements):
    for statement in statements.split("; "):
        outcome = context.group.sql(0, statement)
        assert not is_failure(outcome), (statement, outcome)


@then("the query {query} returns {rows}")
def query_returns(context, query, rows):
    outcome = context.group.sql(0, query)
    assert not is_failure(outcome), outcome
    found = ",".join(
        ":".join(value.decode() for value in row) for row in outcome.rows
    )
    assert found == rows, found


@when("it runs the statement {statement}")
def runs_statement(context, statement):
    context.outcome = context.group.sql(0, statement)


@then("the error is {errno:d} with state {state}")
def error_is(context, errno, state):
    failure = context.outcome
    assert failure.kind is ErrorKind.STATEMENT_FAILED, failure
    assert (failure.errno, failure.sqlstate) == (errno, state), failure


@then("inserts report the first of their automatic keys")
def insert_ids(context):
    group = context.group
    insert = "INSERT INTO items (name) VALUES "
    assert group.sql(0, insert + "('a')").last_insert_id == 1
    result = group.sql(0, insert + "('b'), ('c'), ('d')")
    assert (result.last_insert_id, result.affected_rows) == (2, 3)
    result = group.sql(0, insert + "('e')", "SELECT LAST_INSERT_ID()")
    assert result.rows == [(b"5",)]
    group.sql(0, "CREATE TABLE plain (a INT)")
    result = group.sql(0, "INSERT INTO plain VALUES (7)")
    assert (result.last_insert_id, result.affected_rows) == (0, 1)
    assert group.sql(0, "UPDATE items SET name = 'x'").affected_rows == 5


def _insert(name):
    return f"INSERT INTO items (name) VALUES ('{name}')"


@then("a transaction of three writes adds one position and reports it")
def one_entry(context):
    group = context.group
    before = group.status(0).last
    writes = [_insert(name) for name in "abc"]
    result = group.sql(0, "BEGIN", *writes, "COMMIT")
    assert result.commit == group.status(0).last
    assert result.commit.position == before.position + 1
    result = group.sql(0, "BEGIN", "SELECT * FROM items", "COMMIT")
    assert result.commit is None


@then("a rolled back transaction adds none")
def no_entry(context):
    before = context.group.status(0).last
    context.group.sql(0, "BEGIN", _insert("z"), "ROLLBACK")
    assert context.group.status(0).last == before
    assert len(context.group.rows(0, "items")) == 3


@then("a rollback to a savepoint keeps only what came before it")
def savepoint(context):
    outcome = context.group.sql(
        0,
        "BEGIN",
        "SAVEPOINT early",
        _insert("a"),
        "SAVEPOINT late",
        _insert("b"),
        "ROLLBACK TO SAVEPOINT late",
        "COMMIT",
    )
    assert not is_failure(outcome), outcome
    assert [row[1] for row in context.group.rows(0, "items")] == [b"a"]


@then("an open transaction shows its rows to nobody else")
def isolation(context):
    connection = context.group.driver(0)
    connection.begin()
    cursor = connection.cursor()
    cursor.execute(_insert("open"))
    cursor.execute("SELECT name FROM items")
    assert cursor.fetchall() == (("open",),)
    assert context.group.rows(0, "items") == []
    connection.commit()
    assert len(context.group.rows(0, "items")) == 1
    connection.close()


@then("without autocommit rows appear at COMMIT")
def without_autocommit(context):
    connection = context.group.driver(0)
    connection.autocommit(False)
    assert not connection.get_autocommit()
    connection.cursor().execute(_insert("late"))
    assert context.group.rows(0, "items") == []
    connection.commit()
    assert len(context.group.rows(0, "items")) == 1
    connection.close()


@when('a connection without autocommit runs "{statements}" and rests')
def rests_without_autocommit(context, statements):
    context.resting = context.group.driver(0)
    context.add_cleanup(context.resting.close)
    context.resting.autocommit(False)
    for statement in statements.split("; "):
        try:
            context.resting.cursor().execute(statement)
        except pymysql.Error:
            # Dropping an unknown table fails, after its implicit commit.
            assert statement == "DROP TABLE none", statement


@then("another connection can write, and sees the rows {rows}")
def another_can_write(context, rows):
    names = [row[1].decode() for row in context.group.rows(0, "items")]
    assert (",".join(names) or "nothing") == rows, names
    outcome = context.group.sql(0, _insert("other"))
    assert not is_failure(outcome), outcome


@then(
    "a second writer gets error {errno:d} while the first transaction is open"
)
def second_writer(context, errno):
    first = context.group.driver(0)
    first.begin()
    first.cursor().execute(_insert("first"))
    assert context.group.sql(0, _insert("second")).errno == errno
    first.commit()
    assert not is_failure(context.group.sql(0, _insert("third")))
    names = [row[1] for row in context.group.rows(0, "items")]
    assert names == [b"first", b"third"]
    first.close()


@when("a connection closes inside a transaction")
def closes_in_transaction(context):
    connection = context.group.driver(0)
    connection.begin()
    connection.cursor().execute(_insert("gone"))
    connection._sock.close()


@then("its rows are gone and others can write")
def rows_gone(context):
    limit = support.soon()
    while is_failure(context.group.sql(0, _insert("next"))):
        assert time.monotonic() < limit
    names = [row[1] for row in context.group.rows(0, "items")]
    assert names == [b"next"]


@then("three statements of 200 ms take two rounds on two slots")
def slots(context):
    group = context.group

    async def one():
        connection = await group.connect(0)
        result = await connection.query("SELECT SLEEP(0.2)", support.soon())
        connection.close()
        assert not is_failure(result), result

    async def three():
        start = time.monotonic()
        await asyncio.gather(one(), one(), one())
        return time.monotonic() - start

    # Sleeps only get longer on a busy machine.
    assert group.run(three()) > 0.39


@then("a fourth connection is refused with error {errno:d}")
def connection_limit(context, errno):
    context.open = [context.group.driver(0) for _ in range(3)]
    try:
        context.group.driver(0)
        raise AssertionError("connection over the limit")
    except pymysql.MySQLError as err:
        assert err.args[0] == errno, err


@then("a connection can be opened after another closed")
def after_close(context):
    context.open.pop().close()
    limit = support.soon()
    while True:
        try:
            context.open.append(context.group.driver(0))
            break
        except pymysql.MySQLError:
            assert time.monotonic() < limit
    for connection in context.open:
        connection.close()


@then("after the fault silence open connections time out and new ones work")
def silence(context):
    group = context.group

    async def run():
        connection = await group.connect(0)
        assert not is_failure(
            await connection.query("SELECT 1", support.soon())
        )
        await asyncio.to_thread(group.fault, 0, silence=True)
        return await connection.query("SELECT 1", support.soon(0.2))

    outcome = asyncio.run(run())
    assert outcome.kind is ErrorKind.TIMEOUT, outcome
    assert len(group.sql(0, "SELECT 1").rows) == 1
    # The fault itself arrived on an admin connection that is silent now.
    path = "/v1/position"
    silent = group.call(0, "GET", path, EndpointStatus, timeout_s=0.2)
    assert silent.kind is ErrorKind.TIMEOUT, silent
    assert group.status(0).endpoint == "e0"


@then("after the fault refuse connections are refused until it is cleared")
def refuse(context):
    group = context.group
    group.fault(0, refuse=True)
    outcome = group.sql(0, "SELECT 1")
    assert outcome.kind is ErrorKind.UNREACHABLE, outcome
    group.fault(0, clear=True)
    assert len(group.sql(0, "SELECT 1").rows) == 1


@then("slow statements and a network delay take their time")
def slow(context):
    group = context.group
    group.fault(0, slow_ms=120)
    start = time.monotonic()
    group.sql(0, "SELECT 1")
    assert time.monotonic() - start > 0.11
    group.fault(0, slow_ms=0, delay_ms=40)
    start = time.monotonic()
    # Two round trips for the login and one for the statement.
    group.sql(0, "SELECT 1")
    assert time.monotonic() - start > 0.23
    group.fault(0, clear=True)


@then("after leave the status says leaving, also after a restart")
def leave(context):
    group = context.group
    assert not group.status(0).leaving
    assert group.call(0, "POST", "/v1/leave", Accepted).ok
    assert group.status(0).leaving
    group.restart(0)
    assert group.status(0).leaving


@given("an entry host that receives announcements")
def entry_host(context):
    thread = support.LoopThread()
    context.add_cleanup(thread.stop)
    context.received = []

    async def announce(request):
        context.received.append(request.body.status)
        return Accepted()

    route = Route("POST", "/v1/endpoints/announce", announce, Announcement)
    server = Server(b"shared", [route])
    thread.run(server.start("127.0.0.1:0"))
    context.add_cleanup(lambda: thread.run(server.close()))
    ip, port = server.runner.addresses[0][:2]
    dead = "127.0.0.1:1"
    support.start(
        context, 1, announce_to=(dead, f"{ip}:{port}"), announce_ms=50
    )


@then("an endpoint announces itself there, except for dropped announcements")
def announces(context):
    _wait_for_announcements(context, 3)
    status = context.received[-1]
    assert status.endpoint == "e0" and status.role == "fenced"
    group = context.group
    assert status.mysql_address == group.endpoints[0].mysql_address
    group.fault(0, drop_announcements=1000)
    time.sleep(0.1)
    count = len(context.received)
    time.sleep(0.3)
    assert len(context.received) == count
    group.fault(0, clear=True)
    _wait_for_announcements(context, count + 1)


def _wait_for_announcements(context, count):
    limit = support.soon()
    while len(context.received) < count:
        assert time.monotonic() < limit
        time.sleep(0.01)
