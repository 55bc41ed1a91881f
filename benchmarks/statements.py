"""Cost of a statement: one entry host against a direct connection.

Client processes run closed loops through the entry host and directly
against the stand-in primary, in turns within one run, so that a change of
the machine's load meets both. A second entry host process runs under
cProfile and shows where the time goes.
"""

import asyncio
import pathlib
import pstats
import shutil
import signal

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
from benchmarks.systems import record_of, wait_for_group
from chivescale_standin.load import LoadPlan
from tools.processes import ROOT, ProcessError, python_command
from tools.system import Plan, System

PLAN = Plan(
    entry=1,
    control=3,
    workspaces=("mill-1",),
    staleness_ms=60_000,
    slots=64,
    connection_limit=200,
    connect_delay_ms=0.0,
)
SERVICE = PLAN.services[0]
# Statement kinds: a read that states an age and its token and so needs no
# question to the endpoints, a read that needs a barrier, and a write that a
# quorum confirms.
KINDS = ("aged", "barrier", "write")
CALLERS = (1, 16)
PROCESSES = 2
FULL_S, QUICK_S = 10.0, 1.0
FULL_ROUNDS, QUICK_ROUNDS = 5, 1
FULL_STATEMENTS, QUICK_STATEMENTS = 1000, 20
STALENESS_MS = 60_000
WARM_UP_S = 0.2
PROFILE_ROWS = 25


def run(recorder: Recorder, out: pathlib.Path) -> None:
    """Measure throughput and latency, then profile."""
    found: dict[tuple, list[float]] = {}
    spans: dict[tuple, float] = {}
    rounds = QUICK_ROUNDS if recorder.quick else FULL_ROUNDS
    with System(PLAN) as system:
        _start(system)
        for number in range(rounds):
            for kind in KINDS:
                for callers in CALLERS:
                    for path in ("proxy", "direct"):
                        key = (path, kind, callers)
                        measured = _measure(system, recorder, key, number)
                        found.setdefault(key, []).extend(measured)
                        spans[key] = spans.get(key, 0.0) + _seconds(recorder)
    shutil.rmtree(system.folder)
    _record(recorder, out, found, spans)
    _profile(recorder, out)


def _start(system: System) -> None:
    system.start_all()
    asyncio.run(create_table(login_of(system, SERVICE)))
    wait_for_group(system, SERVICE)


def _seconds(recorder: Recorder) -> float:
    return QUICK_S if recorder.quick else FULL_S


def _direct_login(system: System) -> LoadPlan:
    primary = record_of(system, SERVICE).primary
    return LoadPlan(
        addresses=(system.by_name[primary].addresses["mysql"],),
        service=SERVICE,
        user="chivescale",
        secret=system.endpoint_secret_file.read_text().strip(),
    )


def _measure(system, recorder, key, number: int) -> list[float]:
    """Return the latencies of one round, in milliseconds."""
    path, kind, callers = key
    login, work = login_of(system, SERVICE), kind
    if path == "direct":
        login = _direct_login(system)
        work = "write" if kind == "write" else "browse"
    processes, plans = [], []
    for part in range(min(PROCESSES, callers)):
        label = f"{path}.{kind}.{callers}.{number}.{part}"
        plan = CallerPlan(
            login,
            work,
            callers // min(PROCESSES, callers),
            0.0,
            str(system.folder / f"{label}.jsonl"),
            seconds=_seconds(recorder) + WARM_UP_S,
            seed=recorder.seed,
            staleness_ms=STALENESS_MS,
            tokens=work == "aged",
        )
        processes.append(start_callers(system, label, plan))
        plans.append(plan)
    outcomes = _collect(processes, plans, _seconds(recorder))
    failed = sum(bool(item.error) for item in outcomes)
    latencies = [(i.end - i.start) * 1000 for i in outcomes if not i.error]
    recorder.row(
        path=path,
        statement=kind,
        callers=callers,
        round=number,
        statements=len(latencies),
        failed=failed,
        p50_ms=percentile(latencies, 50),
        p99_ms=percentile(latencies, 99),
    )
    return latencies


def _collect(processes, plans, seconds: float):
    """Return the outcomes of the time in which all processes ran."""
    for process in processes:
        if process.popen.wait(seconds + 30.0):
            raise ProcessError(f"{process.name} failed: {process.log}")
    files = [OutcomeFile(pathlib.Path(plan.path)) for plan in plans]
    outcomes = [file.refresh() for file in files]
    begin = max(each[0].start for each in outcomes) + WARM_UP_S / 2
    end = begin + seconds
    return [
        item for each in outcomes for item in each if begin <= item.end < end
    ]


def _record(recorder, out, found, spans) -> None:
    need = QUICK_STATEMENTS if recorder.quick else FULL_STATEMENTS
    for (path, kind, callers), values in found.items():
        rate = len(values) / spans[path, kind, callers]
        figures = {
            "per_s": rate,
            "p50_ms": percentile(values, 50),
            "p99_ms": percentile(values, 99),
        }
        if path == "proxy":
            direct = found["direct", kind, callers]
            for rank in (50, 99):
                added = figures[f"p{rank}_ms"] - percentile(direct, rank)
                figures[f"added_p{rank}_ms"] = added
        for name, value in figures.items():
            recorder.figure(
                f"{path}.{kind}.{callers}.{name}", value, len(values), need
            )
    series = {
        f"{path} {kind}": values
        for (path, kind, callers), values in found.items()
        if callers == CALLERS[0]
    }
    plots.plot_distributions(
        out / "statements.png", series, "latency in ms, one caller"
    )


def _profile(recorder: Recorder, out: pathlib.Path) -> None:
    """Run every statement kind on an entry host under cProfile."""
    for kind in KINDS:
        with System(PLAN) as system:
            (host,) = system.of_role("entry")
            path = system.folder / "profile"
            settings = str(system.settings_path(host.name))
            host.command = python_command(
                "benchmarks.profiled", str(path), "--settings", settings
            )
            _start(system)
            system.signal(host.name, signal.SIGUSR1)
            key = ("profiled", kind, CALLERS[1])
            values = _measure(system, recorder, key, 0)
            system.signal(host.name, signal.SIGUSR2)
            system.wait_until(path.exists, "a profile")
            _write_profile(recorder, out, kind, path, len(values))
        shutil.rmtree(system.folder)


def _write_profile(recorder, out, kind: str, path, statements: int) -> None:
    """Write the functions by own time and the time of each module."""
    stats = pstats.Stats(str(path))
    by_module: dict[str, float] = {}
    lines = []
    rows = sorted(stats.stats.items(), key=lambda item: -item[1][2])
    for (file, line, name), (_, calls, own, total, _) in rows:
        module = _module(file, name)
        by_module[module] = by_module.get(module, 0.0) + own
        if len(lines) < PROFILE_ROWS and "poll" not in name:
            times = (own / statements * 1e6, total / statements * 1e6)
            lines.append(
                f"{times[0]:9.1f} {times[1]:9.1f}"
                f" {calls / statements:8.2f}  {module}:{line} {name}"
            )
    header = "us own  us total  calls (per statement)  function\n"
    text = header + "\n".join(lines) + "\n\nus own per statement by module\n"
    for module, own in sorted(by_module.items(), key=lambda i: -i[1])[:20]:
        text += f"{own / statements * 1e6:9.1f}  {module}\n"
        if module != "idle":
            recorder.row(
                profile=kind,
                module=module,
                own_us=own / statements * 1e6,
                statements=statements,
            )
    (out / f"profile-{kind}.txt").write_text(text)


def _module(file: str, name: str) -> str:
    if "poll" in name and file == "~":
        return "idle"
    if file == "~":
        return "built-in"
    parts = pathlib.PurePath(file).parts
    if file.startswith(str(ROOT)):
        return str(pathlib.PurePath(file).relative_to(ROOT))
    if "site-packages" in parts:
        return parts[parts.index("site-packages") + 1]
    return parts[-2] if len(parts) > 1 else file
