"""Share of reads served by replicas.

Every phase runs one kind of reader against one replication lag on one
system. The share comes from the entry hosts' counters. Beside it stands the
ideal share: the part of the reads for which some replica held, when the
read started, what the read had to include.
"""

import asyncio
import math
import pathlib
import shutil
import threading
import time

import msgspec

from benchmarks import plots
from benchmarks.callers import (
    CallerPlan,
    Outcome,
    OutcomeFile,
    create_table,
    login_of,
    start_callers,
)
from benchmarks.records import Recorder
from benchmarks.stats import latest_at, percentile, share
from benchmarks.systems import (
    CALLER_DELAY_MS,
    VELOS,
    counters,
    record_of,
    use_baseline,
    wait_for_group,
)
from chivescale.errors import is_failure
from chivescale.messages import EndpointStatus, Position
from chivescale.transport import Client
from tools.processes import ProcessError
from tools.system import System

PLAN = msgspec.structs.replace(
    VELOS, services=("atelier-1",), entry=3, control=3
)
SERVICE = PLAN.services[0]
KINDS = ("browse", "token", "untagged", "roaming")
LAGS_MS = {"10 ms": (10, 10), "200 ms": (200, 200), "5 s": (5000, 5000)}
FAR_BEHIND = {"one far behind": (10, 60_000)}
BASELINES = ("primary-reads", "unshared-barriers")
STALENESS_MS = 1000
READERS = 12
# A write waits for its quorum as long as the replicas lag, so more callers
# are needed to keep up a rate.
WRITERS = 8
THINK_MS = 20.0
WRITE_THINK_MS = 100.0
DEADLINE_MS = 9000
FULL_S, QUICK_S = 20.0, 1.5
FULL_READS, QUICK_READS = 1000, 20
PHASE_TIMEOUT_S = 30.0
POLL_MS = 500


def run(recorder: Recorder, out: pathlib.Path) -> None:
    """Measure the product, then the baselines."""
    shares: dict[str, dict[str, float]] = {}
    lags = LAGS_MS | FAR_BEHIND
    if recorder.quick:
        lags = FAR_BEHIND
    _measure("product", recorder, lags, KINDS, shares)
    baseline_lags = {name: lags[name] for name in list(lags)[:1]}
    for mode in BASELINES:
        kinds = ("browse", "untagged") if mode == BASELINES[0] else KINDS[2:3]
        _measure(mode, recorder, baseline_lags, kinds, shares)
    plots.plot_bars(out / "reads.png", shares, "share served by replicas")


def _measure(mode: str, recorder: Recorder, lags, kinds, shares) -> None:
    with System(PLAN) as system:
        if mode != "product":
            use_baseline(system, mode)
        system.start_all()
        asyncio.run(create_table(login_of(system, SERVICE)))
        for lag, replica_lags in lags.items():
            wait_for_group(system, SERVICE)
            _set_lags(system, replica_lags)
            for kind in kinds:
                phase = _Phase(system, f"{mode}.{lag}.{kind}", kind, recorder)
                shares[f"{mode} {lag} {kind}"] = phase.measure()
            _set_lags(system, (0, 0))
    shutil.rmtree(system.folder)


def _set_lags(system: System, lags: tuple[int, int]) -> None:
    primary = record_of(system, SERVICE).primary
    names = [item.name for item in system.of_role("endpoint", SERVICE)]
    replicas = sorted(name for name in names if name != primary)
    for name, lag_ms in zip(replicas, lags, strict=True):
        system.fault(name, lag_ms=lag_ms)


class _Phase:
    """Readers of one kind and writers for a while."""

    def __init__(self, system: System, name: str, kind: str, recorder):
        self.system = system
        self.name = name
        self.kind = kind
        self.recorder = recorder
        self.seconds = QUICK_S if recorder.quick else FULL_S

    def measure(self) -> dict[str, float]:
        """Run the phase and record its figures."""
        system, label = self.system, self.name.replace(" ", "_")
        login = login_of(
            system, SERVICE, CALLER_DELAY_MS["velos"], timeout_s=15.0
        )
        writing = self._plan(login, "write", label)
        reading = self._plan(login, self.kind, label)
        samples = _Samples(system)
        before = counters(system, "chivescale_")
        plans = (writing, reading)
        processes = [
            start_callers(system, f"{label}.{plan.kind}", plan)
            for plan in plans
        ]
        limit = time.monotonic() + self.seconds + PHASE_TIMEOUT_S
        for process in processes:
            code = process.popen.wait(max(1.0, limit - time.monotonic()))
            if code:
                raise ProcessError(f"{process.name} failed: {process.log}")
        after = counters(system, "chivescale_")
        samples.close()
        writes, reads = (
            OutcomeFile(pathlib.Path(plan.path)).refresh() for plan in plans
        )
        return self._record(_difference(after, before), samples, writes, reads)

    def _plan(self, login, kind: str, label: str) -> CallerPlan:
        writes = kind == "write"
        return CallerPlan(
            login,
            kind,
            WRITERS if writes else READERS,
            WRITE_THINK_MS if writes else THINK_MS,
            str(self.system.folder / f"{label}.{kind}.jsonl"),
            seconds=self.seconds,
            seed=self.recorder.seed,
            staleness_ms=STALENESS_MS,
            deadline_ms=DEADLINE_MS,
            tokens=writes or kind != "browse",
        )

    def _record(self, counts, samples, writes, outcomes) -> dict[str, float]:
        reads = [item for item in outcomes if not item.write]
        good = [item for item in reads if not item.error]
        confirmed = _confirmed(writes + outcomes)
        delay_s = STALENESS_MS / 1000 if self.kind == "browse" else 0.0
        possible = sum(
            samples.some_replica_held(
                item.start, _required(item, confirmed, delay_s)
            )
            for item in good
        )
        by_role = {
            role: counts.get(f'chivescale_reads_total{{role="{role}"}}', 0.0)
            for role in ("replica", "primary")
        }
        measured = share(by_role["replica"], sum(by_role.values()))
        ideal = share(possible, len(good))
        asked = counts.get(
            'chivescale_control_messages_total{direction="out"}', math.nan
        )
        latencies = [(item.end - item.start) * 1000 for item in good]
        figures = {
            "share": measured,
            "ideal": ideal,
            "of_ideal": share(measured, ideal),
            "failed": len(reads) - len(good),
            "writes": sum(i.write and not i.error for i in writes + outcomes),
            "messages_per_read": share(asked, len(good)),
        }
        if latencies:
            figures["p50_ms"] = percentile(latencies, 50)
            figures["p99_ms"] = percentile(latencies, 99)
        self.recorder.row(phase=self.name, by_role=by_role, **figures)
        need = QUICK_READS if self.recorder.quick else FULL_READS
        for name, value in figures.items():
            self.recorder.figure(
                f"{self.name}.{name}".replace(" ", "_"),
                value,
                len(good),
                need,
            )
        return {"measured": measured, "ideal": ideal}


def _difference(after: dict, before: dict) -> dict[str, float]:
    return {
        name: value - before.get(name, 0.0) for name, value in after.items()
    }


def _confirmed(outcomes: list[Outcome]) -> list[tuple[float, Position]]:
    """Return the highest confirmed position over time, from the answers."""
    found = sorted(
        (item.end, Position(item.term, item.position))
        for item in outcomes
        if item.write and not item.error and item.position
    )
    highest = Position(0, 0)
    series = []
    for at, position in found:
        highest = max(highest, position)
        series.append((at, highest))
    return series


def _required(item: Outcome, confirmed, delay_s: float) -> Position | None:
    if item.position:
        return Position(item.term, item.position)
    return latest_at(confirmed, item.start - delay_s)


class _Samples:
    """Positions of the replicas over time, by long polls of a thread.

    An answer arrives after the replica reached the position, so the ideal
    share is a little too low rather than too high.
    """

    def __init__(self, system: System):
        primary = record_of(system, SERVICE).primary
        self.secret = system.secret
        self.addresses = [
            item.addresses["admin"]
            for item in system.of_role("endpoint", SERVICE)
            if item.name != primary
        ]
        self.series: list[list[tuple[float, Position]]] = [
            [] for _ in self.addresses
        ]
        self.closed = False
        self.thread = threading.Thread(target=asyncio.run, args=(self._run(),))
        self.thread.start()

    async def _run(self) -> None:
        client = Client(self.secret)
        try:
            await asyncio.gather(
                *(
                    self._poll(client, address, series)
                    for address, series in zip(
                        self.addresses, self.series, strict=True
                    )
                )
            )
        finally:
            await client.close()

    async def _poll(self, client, address: str, series) -> None:
        path = "/v1/position"
        while not self.closed:
            status = await client.call(
                address, "GET", path, EndpointStatus, timeout_s=2.0
            )
            if is_failure(status):
                await asyncio.sleep(0.05)
                continue
            last = status.last
            series.append((time.monotonic(), last))
            path = (
                f"/v1/position?term={last.term}&position={last.position + 1}"
                f"&wait_ms={POLL_MS}"
            )

    def some_replica_held(self, at: float, wanted: Position | None) -> bool:
        """Tell whether a replica held a position at a time."""
        if wanted is None:
            return True
        held = [latest_at(series, at) for series in self.series]
        return any(last is not None and last >= wanted for last in held)

    def close(self) -> None:
        """End the polls."""
        self.closed = True
        self.thread.join()
