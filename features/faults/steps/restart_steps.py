"""Steps on callers that survive restarts, and on overload."""

import threading
import time

import pymysql
from behave import given, then, when

from features.faults.support import (
    DEADLINE_S,
    SERVICE,
    WAIT_S,
    Load,
    connect,
    execute,
    run_until,
)

# Server shutdown; closed by the server between statements.
END_OF_CONNECTION = (1053, 2006, 2013)
REFUSED = ("[rate_limit]", "[concurrency_limit]", "[overloaded]")


class Writer(threading.Thread):
    """Writes rows of its own and reconnects when its host shuts down.

    A row is sent again after the end of a connection; if the statement ran
    in spite of it, the row is there twice.
    """

    def __init__(self, system, number):
        super().__init__(daemon=True)
        self.system = system
        self.number = number
        self.written = 0
        self.ends = 0
        self.errors = []
        self.stopping = False
        self.start()

    def run(self):
        """Write until stopped or until an error that must not be."""
        hosts = [item.name for item in self.system.of_role("entry")]
        turn = self.number
        while not self.stopping and not self.errors:
            try:
                connection = connect(
                    self.system, hosts[turn % len(hosts)], "mill-1"
                )
            except (pymysql.MySQLError, OSError):
                # A load balancer would not have chosen this host.
                turn += 1
                time.sleep(0.02)
                continue
            with connection:
                self._write(connection)
            turn += 1

    def _write(self, connection):
        while not self.stopping:
            row = self.number * 1_000_000 + self.written
            try:
                execute(connection, f"INSERT INTO rolling VALUES ({row})")
            except pymysql.MySQLError as err:
                if err.args[0] in END_OF_CONNECTION:
                    self.ends += 1
                else:
                    self.errors.append(err)
                return
            self.written += 1
            time.sleep(0.005)


@given("callers that write through all entry hosts")
def writers(context):
    for sql in (
        "DROP TABLE IF EXISTS rolling",
        "CREATE TABLE rolling (id INT)",
    ):
        run_until(context.system, "entry-1", sql)
    context.writers = [Writer(context.system, n) for n in range(1, 7)]


@when("every entry host is restarted gracefully, one after the other")
def rolling_restart(context):
    system = context.system
    for item in system.of_role("entry"):
        time.sleep(0.3)
        assert system.stop(item.name, WAIT_S) == 0
        system.start(item.name)
        system.wait_for_entry()
    for writer in context.writers:
        writer.stopping = True
    for writer in context.writers:
        writer.join(WAIT_S)


@then("no caller saw another error than the end of its connection")
def no_errors(context):
    errors = [each.errors for each in context.writers if each.errors]
    assert not errors, errors
    assert sum(each.ends for each in context.writers) > 0


@then("every row of the callers is there once")
def rows_once(context):
    rows, _ = run_until(context.system, "entry-1", "SELECT id FROM rolling")
    found = sorted(row[0] for row in rows)
    wanted = [
        each.number * 1_000_000 + row
        for each in context.writers
        for row in range(each.written)
    ]
    extra, missing = set(found) - set(wanted), set(wanted) - set(found)
    assert not missing and not extra, (missing, extra)
    assert len(found) == len(wanted), "a row was written twice"


@given("a sheet that limits {workspace} to {count:d} statements at a time")
def limiting_sheet(context, workspace, count):
    system = context.system
    lines = []
    for line in system.write_sheet().read_text().splitlines():
        if line.startswith(f"workspace,{workspace},"):
            changed = line.replace(",0,0,0,", f",0,{count},0,")
            assert changed != line, line
            line = changed
        lines.append(line)
    path = system.folder / "limits.csv"
    path.write_text("\n".join(lines) + "\n")
    answer = system.apply_sheet(path)
    assert answer["exit_code"] == 0, answer


@when("{workspace} sends all it can for {seconds:d} seconds")
def overload(context, workspace, seconds):
    context.load = Load(
        context.system,
        workspace,
        seconds=float(seconds),
        sessions=60,
        table="many_writes",
    )


@when("{workspace} works at a tenth of that")
def light_load(context, workspace):
    context.light = Load(
        context.system, workspace, seconds=4.0, sessions=6, think_ms=5.0
    )


@then("{heavy} was refused some statements and none of {light} failed")
def refused_some(context, heavy, light):
    context.light_report = context.light.finish()
    context.report = context.load.finish()
    assert not context.light_report.errors, context.light_report
    assert context.light_report.sound, context.light_report
    refused = sum(context.report.errors.get(name, 0) for name in REFUSED)
    assert refused > 0, context.report.errors


@then("the load was sound and {workspace} succeeds again")
def recovers(context, workspace):
    assert context.report.sound, context.report
    with connect(context.system, "entry-1", workspace) as connection:
        for _ in range(50):
            execute(connection, "SELECT COUNT(*) FROM many_writes")


@given("a load of reads and writes for {seconds:d} seconds")
def read_load(context, seconds):
    context.load = Load(
        context.system, seconds=float(seconds), sessions=6, think_ms=5.0
    )


@when("a replica takes {seconds:d} seconds for each statement")
def slow_replica(context, seconds):
    system = context.system
    primary = system.primary(SERVICE)
    context.slow = next(
        item.name
        for item in system.of_role("endpoint")
        if item.name != primary
    )
    time.sleep(1.0)
    system.fault(context.slow, slow_ms=seconds * 1000)


@then("the load was sound and no read failed")
def no_read_failed(context):
    report = context.load.finish()
    assert report.sound, report
    failed = [name for name in report.operations if "failed" in name]
    assert not failed, report


@then("a read through each entry host succeeds within its deadline")
def reads_on_each(context):
    for item in context.system.of_role("entry"):
        with connect(context.system, item.name) as connection:
            started = time.monotonic()
            execute(connection, "SELECT COUNT(*) FROM load_writes")
            assert time.monotonic() - started < DEADLINE_S
    context.system.fault(context.slow, clear=True)
