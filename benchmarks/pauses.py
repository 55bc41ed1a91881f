"""Faults that must not cause a promotion.

For the stated time, processes of one system are paused for 50 to 300 ms,
replicas lag and announcements are dropped, while writers go on.
"""

import asyncio
import pathlib
import random
import shutil
import time

from benchmarks import plots
from benchmarks.callers import (
    CallerPlan,
    OutcomeFile,
    create_table,
    login_of,
    start_callers,
)
from benchmarks.records import Recorder
from benchmarks.stats import percentile
from benchmarks.systems import (
    ASSOCIATION,
    CALLER_DELAY_MS,
    ControlLogs,
    record_of,
    wait_for_group,
)
from tools.system import System

# The design states an hour without an unnecessary promotion.
FULL_SECONDS = 3600.0
QUICK_SECONDS = 15.0
FULL_PAUSES = 2000
QUICK_PAUSES = 10
PAUSE_S = (0.05, 0.3)
# A pause that the machine stretched beyond what is stated as normal may
# rightly count as a failure, so it is reported separately.
MAX_PAUSE_S = 0.31
REST_S = (0.3, 1.2)
LAG_MS = (0, 10, 200, 1000)
WRITERS = 4
THINK_MS = 50.0


def run(recorder: Recorder, out: pathlib.Path) -> None:
    """Run the faults and count promotions."""
    seconds = QUICK_SECONDS if recorder.quick else FULL_SECONDS
    with System(ASSOCIATION) as system:
        system.start_all()
        files = _start_writers(system, recorder.seed)
        for service in ASSOCIATION.services:
            wait_for_group(system, service)
        before = _terms(system)
        logs = ControlLogs(system)
        pauses = _disturb(system, recorder, seconds)
        time.sleep(2.0)
        promotions = len(logs.events("failover_established"))
        after = _terms(system)
    shutil.rmtree(system.folder)
    _record(recorder, out, pauses, promotions, files)
    recorder.row(terms_before=before, terms_after=after)


def _start_writers(system: System, seed: int) -> list[OutcomeFile]:
    files = []
    for service in ASSOCIATION.services:
        login = login_of(system, service, CALLER_DELAY_MS["association"])
        asyncio.run(create_table(login))
        path = system.folder / f"{service}.jsonl"
        plan = CallerPlan(
            login, "write", WRITERS, THINK_MS, str(path), seed=seed
        )
        start_callers(system, f"writers-{service}", plan)
        files.append(OutcomeFile(path))
    return files


def _terms(system: System) -> dict[str, int]:
    return {
        service: record_of(system, service).term
        for service in ASSOCIATION.services
    }


def _disturb(system: System, recorder: Recorder, seconds: float):
    """Inject faults for a time; return the lengths of the pauses."""
    rng = random.Random(recorder.seed)
    endpoints = [item.name for item in system.of_role("endpoint")]
    others = [
        item.name
        for role in ("entry", "control")
        for item in system.of_role(role)
    ]
    pauses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        name = rng.choice(endpoints)
        kind = rng.choices(("pause", "lag", "drop"), (6, 1, 1))[0]
        if kind == "pause":
            # Mostly endpoints, since those are what gets replaced.
            paused = name if rng.random() < 0.8 else rng.choice(others)
            took_s = _pause(system, paused, rng.uniform(*PAUSE_S))
            pauses.append(took_s)
            recorder.row(paused=paused, took_ms=round(took_s * 1000, 1))
        elif kind == "lag":
            system.fault(name, lag_ms=rng.choice(LAG_MS))
        else:
            system.fault(name, drop_announcements=rng.randint(1, 5))
        time.sleep(rng.uniform(*REST_S))
    return pauses


def _pause(system: System, name: str, length_s: float) -> float:
    start = time.monotonic()
    system.freeze(name)
    try:
        time.sleep(length_s)
    finally:
        system.resume(name)
    return time.monotonic() - start


def _record(recorder, out, pauses, promotions, files) -> None:
    need = QUICK_PAUSES if recorder.quick else FULL_PAUSES
    count = len(pauses)
    over = sum(pause > MAX_PAUSE_S for pause in pauses)
    outcomes = [item for file in files for item in file.refresh()]
    latencies = [
        (item.end - item.start) * 1000 for item in outcomes if not item.error
    ]
    recorder.figure("promotions", promotions, count, need)
    recorder.figure("pauses", count, count, need)
    recorder.figure("pauses_over_limit", over, count, need)
    recorder.figure("writes", len(outcomes), len(outcomes), need)
    failed = len(outcomes) - len(latencies)
    recorder.figure("failed_writes", failed, len(outcomes), need)
    for rank in (50, 99):
        value = percentile(latencies, rank)
        recorder.figure(f"write_p{rank}_ms", value, len(latencies), need)
    plots.plot_distributions(
        out / "pauses.png", {"accepted writes": latencies}, "latency in ms"
    )
