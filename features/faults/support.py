"""What the steps of several fault features need."""

import asyncio
import threading
import time
import urllib.request

import pymysql

from chivescale.errors import is_failure
from chivescale.messages import EndpointStatus
from chivescale_standin.load import LoadPlan, run_load

WAIT_S = 30.0
DEADLINE_S = 5.0
SERVICE = "ledger"


def connect(system, host, workspace="mill-1", **options):
    """Open a connection of a workspace to an entry host."""
    ip, _, port = system.by_name[host].addresses["mysql"].rpartition(":")
    fields = {
        "host": ip,
        "port": int(port),
        "user": workspace,
        "password": system.workspace_secrets[workspace],
        "database": SERVICE,
        "autocommit": None,
        "connect_timeout": 5,
        "read_timeout": 15,
    }
    return pymysql.connect(**(fields | options))


def execute(connection, sql):
    """Run a statement and return its rows."""
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def run_until(system, host, sql, limit_s=DEADLINE_S):
    """Repeat a statement that is safe to repeat until it succeeds.

    Returns
    -------
    rows, seconds
        Rows and the time that it took.
    """
    started = time.monotonic()
    while True:
        error = None
        try:
            with connect(system, host) as connection:
                rows = execute(connection, sql)
                return rows, time.monotonic() - started
        except pymysql.MySQLError as err:
            error = err
        assert time.monotonic() - started < limit_s, (sql, error)
        time.sleep(0.02)


def close_callers(context):
    """Close the connections that a scenario opened."""
    for connection in context.callers.values():
        if connection.open:
            connection.close()
    context.callers = {}


def endpoint_status(system, name):
    """Return what an endpoint says of itself, or None."""
    process = system.by_name[name]
    if not process.is_alive:
        return None
    answer = system.ask(
        process.addresses["admin"], "/v1/position", EndpointStatus
    )
    return None if is_failure(answer) else answer


def is_healthy(system):
    """Tell whether all endpoints follow the primary of one term."""
    state = system.state()
    if state is None or not state.services:
        return False
    (record,) = state.services
    found = [
        endpoint_status(system, item.name)
        for item in system.of_role("endpoint")
    ]
    return (
        all(status is not None for status in found)
        and all(status.primary == record.primary for status in found)
        and len({status.last for status in found}) == 1
        and len(record.voters) == len(found)
        and all(
            system.entry_is_ready(item.name)
            for item in system.of_role("entry")
        )
    )


def other_primary(system, previous):
    """Return the established primary unless it is `previous`."""
    found = system.primary(SERVICE)
    return found if found != previous else ""


class Load(threading.Thread):
    """A load run beside the steps; `report` is set at its end."""

    def __init__(self, system, workspace="mill-1", hosts=(), **fields):
        super().__init__(daemon=True)
        names = hosts or [item.name for item in system.of_role("entry")]
        self.plan = LoadPlan(
            addresses=tuple(
                system.by_name[name].addresses["mysql"] for name in names
            ),
            service=SERVICE,
            user=workspace,
            secret=system.workspace_secrets[workspace],
            **fields,
        )
        self.report = None
        self.error = None
        self.start()

    def run(self):
        """Run the plan."""
        try:
            self.report = asyncio.run(run_load(self.plan))
        except Exception as err:
            self.error = err

    def finish(self):
        """Wait for the end and return the report."""
        self.join(self.plan.seconds + self.plan.check_s + WAIT_S)
        assert self.report is not None, self.error
        return self.report


def metric(system, host, name):
    """Return the values of a metric of a host by its label text."""
    url = f"http://{system.by_name[host].addresses['metrics']}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    found = {}
    for line in text.splitlines():
        if line.startswith(name):
            label, _, value = line.rpartition(" ")
            found[label.removeprefix(name)] = float(value)
    return found
