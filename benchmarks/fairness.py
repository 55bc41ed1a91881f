"""Fairness: one workspace with ten times the load of the others.

Callers of nine workspaces write through one entry host. The
baseline queues statements and pool requests in order of arrival.
"""

import asyncio
import pathlib
import shutil

from benchmarks import plots
from benchmarks.callers import (
    CallerPlan,
    OutcomeFile,
    create_table,
    login_of,
    start_callers,
)
from benchmarks.records import Recorder
from benchmarks.stats import percentile, share
from benchmarks.systems import use_baseline, wait_for_group
from tools.processes import ProcessError
from tools.system import Plan, System

GREEDY = "greedy"
OTHERS = tuple(f"mill-{n + 1}" for n in range(8))
# 2 slots of 10 ms: the primary takes at most 200 statements/s.
PLAN = Plan(
    entry=1,
    control=3,
    workspaces=(*OTHERS, GREEDY),
    slots=2,
    connection_limit=35,
    statement_ms=10.0,
)
SERVICE = PLAN.services[0]
# The eight others together ask for under half of the primary's capacity;
# the greedy workspace alone asks for more than all of it.
CALLERS, THINK_MS = 4, 400.0
GREEDY_FACTOR = 10
DEADLINE_MS = 1000
FULL_S, QUICK_S = 60.0, 5.0
FULL_STATEMENTS, QUICK_STATEMENTS = 1000, 20
MODES = ("product", "first-in-first-out")


def run(recorder: Recorder, out: pathlib.Path) -> None:
    """Measure the fair queue, then the baseline."""
    series = {}
    for mode in MODES:
        with System(PLAN) as system:
            if mode != "product":
                use_baseline(system, mode)
            system.start_all()
            asyncio.run(create_table(login_of(system, SERVICE)))
            wait_for_group(system, SERVICE)
            found = _load(system, recorder, mode)
        shutil.rmtree(system.folder)
        series |= _record(recorder, mode, found)
    plots.plot_distributions(out / "fairness.png", series, "latency in ms")


def _load(system: System, recorder: Recorder, mode: str):
    """Return the outcomes of the greedy workspace and of the others."""
    seconds = QUICK_S if recorder.quick else FULL_S
    running = []
    for workspace in PLAN.workspaces:
        greedy = workspace == GREEDY
        plan = CallerPlan(
            login_of(
                system,
                SERVICE,
                user=workspace,
                secret=system.workspace_secrets[workspace],
            ),
            "write",
            CALLERS * (GREEDY_FACTOR if greedy else 1),
            THINK_MS / (GREEDY_FACTOR if greedy else 1),
            str(system.folder / f"{workspace}.jsonl"),
            seconds=seconds,
            seed=recorder.seed,
            deadline_ms=DEADLINE_MS,
        )
        process = start_callers(system, f"{mode}.{workspace}", plan)
        running.append((workspace, process, plan))
    found = {"greedy": [], "others": []}
    for workspace, process, plan in running:
        if process.popen.wait(seconds + 30.0):
            raise ProcessError(f"{process.name} failed: {process.log}")
        outcomes = OutcomeFile(pathlib.Path(plan.path)).refresh()
        found["greedy" if workspace == GREEDY else "others"] += outcomes
    return found


def _record(recorder: Recorder, mode: str, found) -> dict[str, list[float]]:
    need = QUICK_STATEMENTS if recorder.quick else FULL_STATEMENTS
    series = {}
    for group, outcomes in found.items():
        good = [(i.end - i.start) * 1000 for i in outcomes if not i.error]
        figures = {
            "statements": len(outcomes),
            "success": share(len(good), len(outcomes)),
            "p50_ms": percentile(good, 50),
            "p99_ms": percentile(good, 99),
        }
        for name, value in figures.items():
            recorder.figure(
                f"{mode}.{group}.{name}", value, len(outcomes), need
            )
        recorder.row(mode=mode, group=group, **figures)
        series[f"{mode}, {group}"] = good
    return series
