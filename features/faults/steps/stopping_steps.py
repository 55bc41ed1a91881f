"""Steps on the planned stop of entry hosts."""

import signal
import threading
import time

import pymysql
from behave import given, then, when

from features.faults.support import (
    DEADLINE_S,
    WAIT_S,
    connect,
    execute,
    is_healthy,
    run_until,
)

ROW = 7
TABLE = "CREATE TABLE IF NOT EXISTS booking (id INT PRIMARY KEY)"
# Errors of the driver: the connection ended, so nothing is known.
CONNECTION_LOST = (2006, 2013)


class Caller(threading.Thread):
    """A caller that runs transactions until one fails.

    Attributes
    ----------
    confirmed : list of int
        Rows whose commit was acknowledged.
    error, failed_at : Exception, float
        The first error and its time.
    """

    def __init__(self, connection, first: int):
        super().__init__(daemon=True)
        self.connection = connection
        self.next_row = first
        self.confirmed: list[int] = []
        self.error: pymysql.MySQLError | None = None
        self.failed_at = 0.0
        self.start()

    def run(self):
        """Run transactions, one right after the other."""
        try:
            while True:
                self.next_row += 1
                execute(self.connection, "BEGIN")
                execute(
                    self.connection,
                    f"INSERT INTO booking VALUES ({self.next_row})",
                )
                execute(self.connection, "COMMIT")
                self.confirmed.append(self.next_row)
        except pymysql.MySQLError as err:
            self.error, self.failed_at = err, time.monotonic()


class Statement(threading.Thread):
    """One statement that runs beside the steps."""

    def __init__(self, connection, sql: str):
        super().__init__(daemon=True)
        self.connection = connection
        self.sql = sql
        self.outcome = ""
        self.start()

    def run(self):
        """Run the statement."""
        self.outcome = outcome_of(self.connection, self.sql)


def outcome_of(connection, sql: str) -> str:
    """Return the kind of a failure in brackets, or success."""
    try:
        execute(connection, sql)
    except pymysql.MySQLError as err:
        text = str(err.args[1])
        return text.partition("]")[0] + "]" if "]" in text else repr(err)
    return "success"


def rows(context) -> list[int]:
    found, _ = run_until(
        context.system, "entry-1", "SELECT id FROM booking ORDER BY id"
    )
    return [row[0] for row in found]


@given("all hosts of the system are ready")
def all_ready(context):
    system = context.system
    process = system.by_name["entry-2"]
    if not process.is_alive:
        system.start("entry-2")
    for item in system.of_role("endpoint"):
        system.fault(item.name, slow_ms=0)
    system.wait_for_entry()
    system.wait_until(lambda: is_healthy(system), "a healthy service", WAIT_S)


@given("a table of bookings")
def table(context):
    run_until(context.system, "entry-1", TABLE)
    run_until(context.system, "entry-1", "DELETE FROM booking")


@given("{count:d} callers on {host} that run transactions without a pause")
def busy_callers(context, count, host):
    context.busy = []
    for number in range(count):
        connection = connect(context.system, host)
        context.callers[f"busy-{number}"] = connection
        context.busy.append(Caller(connection, number * 100_000))
    deadline = time.monotonic() + DEADLINE_S
    while not all(caller.confirmed for caller in context.busy):
        assert time.monotonic() < deadline, "no transaction was committed"
        time.sleep(0.02)


@given("a transaction with one booking on {host}")
def open_booking(context, host):
    connection = context.callers["open"] = connect(context.system, host)
    execute(connection, "BEGIN")
    execute(connection, f"INSERT INTO booking VALUES ({ROW})")


@given("endpoints that take {seconds:d} s for a statement")
def slow_endpoints(context, seconds):
    context.slow_ms = seconds * 1000


@given("a caller on {host} that is running {what}")
def running(context, host, what):
    connection = context.callers["running"] = connect(context.system, host)
    execute(connection, "SELECT id FROM booking")
    for item in context.system.of_role("endpoint"):
        context.system.fault(item.name, slow_ms=context.slow_ms)
    sql = "SELECT id FROM booking"
    if what == "a booking":
        sql = f"INSERT INTO booking VALUES ({ROW})"
    context.statement = Statement(connection, sql)
    time.sleep(0.5)


@when("{host} gets SIGTERM again")
def again(context, host):
    context.system.signal(host, signal.SIGTERM)
    context.signalled_at = time.monotonic()


@when("{host} gets SIGHUP")
def reload(context, host):
    context.system.signal(host, signal.SIGHUP)
    context.signalled_at = time.monotonic()


@when("{host} gets {name} {seconds:g} s later")
def gets_later(context, host, name, seconds):
    time.sleep(seconds)
    context.system.signal(host, signal.Signals[name])
    context.signalled_at = time.monotonic()


@when("{count:d} callers connect to {host} in {seconds:g} s and write")
def callers_connect(context, count, host, seconds):
    context.outcomes = []
    for number in range(count):
        try:
            with connect(context.system, host) as connection:
                sql = f"INSERT INTO booking VALUES ({number})"
                context.outcomes.append(outcome_of(connection, sql))
        except pymysql.MySQLError as err:
            context.outcomes.append(repr(err))
        time.sleep(seconds / count)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    left_s = context.signalled_at + seconds - time.monotonic()
    time.sleep(max(0.0, left_s))


@then("all of them succeed")
def all_succeed(context):
    assert set(context.outcomes) == {"success"}, context.outcomes


@then("each works on for {seconds:g} s and then gets only {kinds}")
def works_on(context, seconds, kinds):
    for caller in context.busy:
        caller.join(WAIT_S)
        after_s = caller.failed_at - context.signalled_at
        assert caller.error is not None and after_s >= seconds, after_s
        kind = str(caller.error.args[1]).partition("]")[0] + "]"
        assert kind in kinds.split(" or "), caller.error


@then("none of them lost a connection with a statement sent")
def none_lost(context):
    errors = [caller.error for caller in context.busy]
    assert not any(e.args[0] in CONNECTION_LOST for e in errors), errors


@then("their confirmed bookings are there once and no other")
def confirmed_once(context):
    confirmed = sorted(row for c in context.busy for row in c.confirmed)
    assert rows(context) == confirmed


@then("its {statement} gets {answer}")
def gets(context, statement, answer):
    found = outcome_of(context.callers["open"], statement)
    assert found == answer, found


@then("its statement is answered with {answer}")
def statement_answered(context, answer):
    context.statement.join(WAIT_S)
    assert context.statement.outcome == answer, context.statement.outcome
    for item in context.system.of_role("endpoint"):
        context.system.fault(item.name, slow_ms=0)


@then("the booking is there {count:d} times")
def booking_there(context, count):
    assert rows(context).count(ROW) == count, rows(context)


@then("{host} stops within {seconds:g} s with exit code {code:d}")
def stops(context, host, seconds, code):
    limit_s = context.signalled_at + seconds + 1.0 - time.monotonic()
    found = context.system.by_name[host].popen.wait(max(0.1, limit_s))
    assert found == code, found
