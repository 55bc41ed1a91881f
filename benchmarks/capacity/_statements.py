"""Cost of statements and connections on one real entry host process."""

import asyncio
import random
import re
import time
import urllib.request

import psutil

from benchmarks.capacity._clock import point
from chivescale import mysql
from chivescale.errors import is_failure
from tools.system import Plan, System

# Points are rates over the same time, since probes and heartbeats cost
# processor time without statements.
SECONDS = 4.0
RATES = (25, 50, 75, 100, 150)
# The stand-in endpoint syncs each write and stops at about 60 a second.
WRITE_RATES = (10, 20, 30, 40, 50)
CONNECTIONS = 16
CALLERS = (100, 200, 400, 800)
POOLED = (50, 100, 200, 400)
KINDS = {
    "stale_read": (
        "/* chivescale staleness_ms=1000 */ SELECT MAX(number) FROM capacity"
    ),
    "current_read": "SELECT MAX(number) FROM capacity",
    "write": "INSERT INTO capacity (number) VALUES (1)",
}
TABLE = "CREATE TABLE capacity (number INT NOT NULL)"
PLAN = Plan(
    entry=1,
    control=3,
    slots=8,
    connection_limit=1000,
    connect_delay_ms=0.0,
)


def measure():
    """Return cost of statements, of callers and of pooled connections."""
    with System(PLAN) as system:
        system.start_all()
        entry = psutil.Process(system.by_name["entry-1"].pid)
        time.sleep(1.0)
        yield point(
            "entry.idle_memory", "hosts", 1, "B", [entry.memory_info().rss]
        )
        yield from _idle(system, entry)
        leader = psutil.Process(system.by_name[system.control_leader()].pid)
        yield point(
            "control.idle_memory", "hosts", 1, "B", [leader.memory_info().rss]
        )
        asyncio.run(_create(system))
        for kind in KINDS:
            for rate in WRITE_RATES if kind == "write" else RATES:
                yield from asyncio.run(_load(system, entry, kind, rate))
        yield from asyncio.run(_connections(system, entry))


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _counters(system) -> dict[str, float]:
    """Return bytes and messages to other own processes and endpoints."""
    address = system.by_name["entry-1"].addresses["metrics"]
    with urllib.request.urlopen(f"http://{address}/metrics") as answer:
        text = answer.read().decode()
    found = {"bytes": 0.0, "messages": 0.0}
    pattern = r"^\w*control_(bytes|messages)\w*\{[^}]*\} (\S+)$"
    for key, value in re.findall(pattern, text, re.MULTILINE):
        found[key] += float(value)
    return found


def _idle(system, entry):
    """Measure a host that watches one service and has no callers."""
    used, counted = _cpu_s(entry), _counters(system)
    started = time.monotonic()
    time.sleep(SECONDS)
    seconds = time.monotonic() - started
    after = _counters(system)
    rows = {"cpu": ((_cpu_s(entry) - used) * 1e6, "us")}
    for key, unit in (("bytes", "B"), ("messages", "messages")):
        rows[key] = (after[key] - counted[key], unit)
    for key, (value, unit) in rows.items():
        name = f"statements.none_{key}"
        yield point(name, "hosts", 1, f"{unit}/s", [value / seconds])


async def _create(system) -> None:
    connection = await mysql.connect(
        system.by_name["entry-1"].addresses["mysql"],
        "mill-1",
        system.workspace_secrets["mill-1"],
        "ledger",
        time.monotonic() + 5,
    )
    assert not is_failure(connection), connection
    for sql in (TABLE, KINDS["write"]):
        answer = await connection.query(sql, time.monotonic() + 5)
        assert not is_failure(answer), answer
    connection.close()


async def _load(system, entry, kind: str, rate: int):
    """Run one kind of statement at a steady rate."""
    address = system.by_name["entry-1"].addresses["mysql"]
    secret = system.workspace_secrets["mill-1"]
    done = 0

    async def run(connection, until: float, pause_s: float):
        nonlocal done
        due = time.monotonic() + pause_s * random.random()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            answer = await connection.query(KINDS[kind], time.monotonic() + 5)
            assert not is_failure(answer), answer
            done += 1
            due += pause_s

    connections = []
    for _ in range(CONNECTIONS):
        found = await mysql.connect(
            address, "mill-1", secret, "ledger", time.monotonic() + 5
        )
        assert not is_failure(found), found
        connections.append(found)
    await asyncio.sleep(0.3)
    used, counted = _cpu_s(entry), _counters(system)
    started = time.monotonic()
    pause_s = CONNECTIONS / rate
    until = started + SECONDS
    await asyncio.gather(*(run(c, until, pause_s) for c in connections))
    used = _cpu_s(entry) - used
    after, seconds = _counters(system), time.monotonic() - started
    for each in connections:
        each.close()
    reached = round(done / seconds, 2)
    rows = {"cpu": (used * 1e6, "us")}
    for key, unit in (("bytes", "B"), ("messages", "messages")):
        rows[key] = (after[key] - counted[key], unit)
    return [
        point(
            f"statements.{kind}_{key}",
            "statements/s",
            reached,
            f"{unit}/s",
            [value / seconds],
        )
        for key, (value, unit) in rows.items()
    ]


async def _connections(system, entry):
    """Hold idle caller connections, then idle endpoint connections."""
    address = system.by_name["entry-1"].addresses["mysql"]
    secret = system.workspace_secrets["mill-2"]
    points, opened = [], []
    for count in CALLERS:
        while len(opened) < count:
            found = await mysql.connect(
                address, "mill-2", secret, "ledger", time.monotonic() + 5
            )
            assert not is_failure(found), found
            opened.append(found)
        await asyncio.sleep(0.3)
        rss = entry.memory_info().rss
        points.append(point("entry.caller_rss", "callers", count, "B", [rss]))
    for each in opened:
        each.close()
    return points + await _pooled(system)


async def _pooled(system):
    """Return the memory of this process by connections to an endpoint."""
    process, points, opened = psutil.Process(), [], []
    secret = system.endpoint_secret_file.read_text().strip()
    address = system.by_name["ledger-1"].addresses["mysql"]
    for count in POOLED:
        while len(opened) < count:
            found = await mysql.connect(
                address, "chivescale", secret, "ledger", time.monotonic() + 5
            )
            assert not is_failure(found), found
            opened.append(found)
        rss = process.memory_info().rss
        name = "entry.pooled_rss"
        points.append(point(name, "connections", count, "B", [rss]))
    for each in opened:
        each.close()
    return points
