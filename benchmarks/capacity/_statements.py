"""Cost of statements and connections on one real entry host process."""

import asyncio
import json
import re
import subprocess
import time
import urllib.request

import psutil

from benchmarks.capacity._clock import point
from chivescale import mysql
from chivescale.errors import is_failure
from tools.processes import ROOT, python_command
from tools.system import Plan, System

SECONDS = 3.0
SESSIONS = (2, 4, 8, 16)
CALLERS = (100, 200, 400, 800)
POOLED = (50, 100, 200, 400)
KINDS = {
    "browse": ("--browses", "1"),
    "own_read": ("--own-reads", "1"),
    "write": ("--writes", "1"),
}
WEIGHTS = ("--writes", "--own-reads", "--browses", "--transactions")
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
        leader = psutil.Process(system.by_name[system.control_leader()].pid)
        yield point(
            "control.idle_memory", "hosts", 1, "B", [leader.memory_info().rss]
        )
        for kind in KINDS:
            for sessions in SESSIONS:
                yield from _load(system, entry, kind, sessions)
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


def _load(system, entry, kind: str, sessions: int):
    """Run one kind of operation with so many sessions."""
    secret = system.workspace_secrets["mill-1"]
    weights = [word for name in WEIGHTS for word in (name, "0")]
    command = python_command(
        "chivescale_standin.load",
        "--address",
        system.by_name["entry-1"].addresses["mysql"],
        "--service",
        "ledger",
        "--user",
        "mill-1",
        "--secret",
        secret,
        "--sessions",
        str(sessions),
        "--seconds",
        str(SECONDS),
        "--table",
        f"load_{kind}_{sessions}",
        *weights,
        *KINDS[kind],
    )
    used, counted = _cpu_s(entry), _counters(system)
    done = subprocess.run(
        command, check=False, cwd=ROOT, capture_output=True, text=True
    )
    used = _cpu_s(entry) - used
    after = _counters(system)
    assert done.returncode == 0, done.stderr + done.stdout
    report = json.loads(done.stdout.splitlines()[-1])
    operations = sum(report["operations"].values())
    seconds = report["seconds"]
    name = f"statements.{kind}"
    rows = {"cpu": (used * 1e6, "us")}
    for key, unit in (("bytes", "B"), ("messages", "messages")):
        rows[key] = (after[key] - counted[key], unit)
    rows["rate"] = (operations / seconds, "1/s")
    for key, (value, unit) in rows.items():
        yield point(f"{name}_{key}", "operations", operations, unit, [value])


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
