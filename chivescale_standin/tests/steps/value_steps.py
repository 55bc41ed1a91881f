"""Steps that compare values on a direct connection and through a proxy."""

import datetime
import decimal

import asyncmy
import pymysql
from behave import given, then

from chivescale.errors import is_failure
from chivescale.mysql import CallerHandlers, CallerServer, connect
from chivescale_standin.tests import support

TABLE = (
    "CREATE TABLE vals (id INT NOT NULL PRIMARY KEY, big BIGINT, tiny"
    " TINYINT(1), dbl DOUBLE, money DECIMAL(12,4), txt TEXT, name"
    " VARCHAR(20), day DATE, at DATETIME(6), span TIME, data BLOB,"
    " raw VARBINARY(20))"
)
COLUMNS = (
    "id, big, tiny, dbl, money, txt, name, day, at, span, data, raw"
).split(", ")
ROWS = [
    (
        1,
        2**62,
        1,
        1.5e-7,
        decimal.Decimal("1234.5000"),
        "line\nbreak \\ 'q' \"d\" \x1a",
        "ünïcödé ✓",
        datetime.date(2024, 2, 29),
        datetime.datetime(2024, 2, 29, 23, 59, 58, 123456),
        datetime.timedelta(hours=26, minutes=3),
        bytes(range(256)),
        b"\xff\xfe'\\",
    ),
    (2,) + (None,) * (len(COLUMNS) - 1),
    (
        3,
        -(2**63),
        0,
        -0.0,
        decimal.Decimal("-0.0001"),
        "",
        " padded ",
        datetime.date(1, 1, 1),
        datetime.datetime(1999, 12, 31),
        datetime.timedelta(hours=-5, seconds=-1),
        b"",
        b"plain",
    ),
]
INSERT = (
    f"INSERT INTO vals ({', '.join(COLUMNS)}) VALUES"
    f" ({', '.join(['%s'] * len(COLUMNS))})"
)
SELECT = "SELECT * FROM vals ORDER BY id"


@given("a primary with values of every type")
def primary_with_values(context):
    group = support.start(context, 1)
    group.elect(0, 1)
    connection = group.driver(0)
    cursor = connection.cursor()
    cursor.execute(TABLE)
    cursor.executemany(INSERT, ROWS)
    connection.close()
    context.direct = group.endpoints[0].mysql_address
    context.proxy = group.run(_start_proxy(context))


async def _start_proxy(context):
    """Start a caller server that forwards every statement."""

    async def opened(session):
        session.data = await connect(
            context.direct, "chivescale", "", session.service, support.soon()
        )
        return session.data if is_failure(session.data) else None

    async def execute(session, sql, attrs):
        outcome = await session.data.query(sql, support.soon())
        session.in_transaction = session.data.in_transaction
        return outcome

    async def closed(session):
        session.data.close()

    server = CallerServer(
        CallerHandlers(lambda user: "", opened, execute, closed)
    )
    await server.start("127.0.0.1:0")
    context.add_cleanup(lambda: context.group.run(server.close()))
    return server.address


def _options(address):
    ip, port = address.split(":")
    return {
        "host": ip,
        "port": int(port),
        "user": "chivescale",
        "password": "",
        "database": support.SERVICE,
        "autocommit": True,
    }


def _run(context, driver, address, sql, args=()):
    """Run a statement; return rows and column descriptions."""
    if driver == "PyMySQL":
        connection = pymysql.connect(**_options(address))
        with connection.cursor() as cursor:
            cursor.execute(sql, args or None)
            answer = cursor.fetchall(), cursor.description
        connection.close()
        return answer

    async def run():
        connection = await asyncmy.connect(**_options(address))
        if driver == "asyncmy":
            cursor = connection.cursor()
            await cursor.execute(sql, args or None)
            answer = await cursor.fetchall(), cursor.description
        else:
            prepared = await connection.prepare(sql.replace("%s", "?"))
            await prepared.execute(tuple(args))
            result = connection._result
            answer = result.rows, result.description
        connection.close()
        return answer

    return context.group.run(run())


def _typed(rows):
    return [[(type(value), value) for value in row] for row in rows or ()]


@then("{driver} reads the same values and types through a proxy")
def reads_same(context, driver):
    direct = _run(context, driver, context.direct, SELECT)
    proxied = _run(context, driver, context.proxy, SELECT)
    assert _typed(direct[0]) == _typed(proxied[0])
    assert direct[1] == proxied[1]
    assert _typed(proxied[0]) == _typed(ROWS), proxied[0]


@then("{driver} writes every value through a proxy as on a direct connection")
def writes_same(context, driver):
    stored = []
    for address in (context.direct, context.proxy):
        _run(context, "PyMySQL", address, "DELETE FROM vals")
        for row in ROWS:
            _run(context, driver, address, INSERT, row)
        stored.append(_run(context, "PyMySQL", address, SELECT)[0])
    assert _typed(stored[0]) == _typed(stored[1])
    assert _typed(stored[1]) == _typed(ROWS), stored[1]
