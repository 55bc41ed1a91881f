"""Show a failover under load and check what callers were promised.

Starts three availability zones with 3 entry hosts, 5 control hosts and one
service of 3 endpoints, applies a sheet, sends reads and writes through a
MySQL driver, kills the primary meanwhile and starts it again. The last line
is the result; the exit code is 1 if a promise was broken.
"""

import argparse
import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

from chivescale_standin.load import LoadReport
from tools.processes import (
    Process,
    ProcessError,
    python_command,
)
from tools.system import Plan, System

PLAN = Plan()
SERVICE = PLAN.services[0]
LOAD_S = 12.0
KILL_AFTER_S = 3.0
RETURN_AFTER_S = 4.0
LOAD_TIMEOUT_S = 45.0
# A primary change is complete within 12 s (docs/design.md, 1.6).
MAX_GAP_MS = 12_000


def main(arguments: list[str] | None = None) -> int:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        with System(PLAN) as system:
            report, share = _show(system, options.seed)
            _say("stopping all processes")
        status = _conclude(report, share)
        if status == 0:
            shutil.rmtree(system.folder)
        return status
    except (ProcessError, KeyboardInterrupt) as err:
        print(f"demo: failed {err or 'interrupted'}")
        return 1


def _show(system: System, seed: int) -> tuple[LoadReport, float]:
    _say(f"logs in {system.folder}/logs")
    _say(
        f"starting {len(PLAN.zones)} availability zones, {PLAN.control} "
        f"control hosts, {PLAN.entry} entry hosts, {PLAN.endpoints} endpoints"
    )
    system.start_all()
    first = system.primary(SERVICE)
    _say(f"sheet 1 is in force, primary of {SERVICE} is {first}")
    load = _start_load(system, seed)
    _say(f"reads and writes run for {LOAD_S:g} s")
    time.sleep(KILL_AFTER_S)
    system.require_alive(load.name)
    killed_at = time.monotonic()
    system.kill(first)
    _say(f"killed the primary {first}")
    second = system.wait_until(
        lambda: _other_primary(system, first), "a new primary"
    )
    took_ms = (time.monotonic() - killed_at) * 1000
    _say(f"new primary is {second}, seen after {took_ms:.0f} ms")
    time.sleep(RETURN_AFTER_S)
    system.start(first)
    _say(f"started {first} again as a replica")
    report = _finish_load(load)
    return report, _replica_share(system)


def _other_primary(system: System, previous: str) -> str:
    primary = system.primary(SERVICE)
    return primary if primary != previous else ""


def _start_load(system: System, seed: int) -> Process:
    workspace, secret = next(iter(system.workspace_secrets.items()))
    command = python_command(
        "chivescale_standin.load",
        *("--service", SERVICE),
        *("--user", workspace),
        *("--secret", secret),
        *("--seconds", str(LOAD_S)),
        *("--seed", str(seed)),
        *("--records", str(system.folder / "records.jsonl")),
    )
    for host in system.of_role("entry"):
        command += ["--address", host.addresses["mysql"]]
    load = system.add(
        Process(
            name="load",
            role="load",
            zone="",
            command=command,
            log=system.folder / "logs" / "load.log",
            addresses={},
        )
    )
    system.start(load.name)
    return load


def _finish_load(load: Process) -> LoadReport:
    try:
        load.popen.wait(LOAD_TIMEOUT_S)
    except subprocess.TimeoutExpired as err:
        raise ProcessError("the load did not end") from err
    lines = load.log.read_text(errors="replace").splitlines()
    for line in reversed(lines):
        if line.startswith("{"):
            return _read_report(json.loads(line))
    tail = "\n".join(lines[-5:])
    raise ProcessError(f"the load gave no report: {tail}")


def _read_report(content: dict) -> LoadReport:
    known = {name: content[name] for name in LoadReport.__struct_fields__}
    return LoadReport(**known)


def _replica_share(system: System) -> float:
    """Return the share of reads that replicas served, from the metrics."""
    counts = {"replica": 0.0, "primary": 0.0}
    for host in system.of_role("entry"):
        url = f"http://{host.addresses['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            text = answer.read().decode()
        for line in text.splitlines():
            for role in counts:
                if line.startswith(f'chivescale_reads_total{{role="{role}"}}'):
                    counts[role] += float(line.split()[-1])
    total = sum(counts.values())
    return counts["replica"] / total if total else 0.0


def _conclude(report: LoadReport, share: float) -> int:
    confirmed = sum(
        report.operations.get(f"{kind} confirmed", 0)
        for kind in ("write", "transaction", "keyed")
    )
    _say(f"operations {json.dumps(report.operations)}")
    _say(f"errors {json.dumps(report.errors)}")
    result = (
        f"writes={confirmed} lost={len(report.lost)} "
        f"doubled={len(report.doubled)} "
        f"stale_own_reads={len(report.stale_own_reads)} "
        f"failover_gap_ms={report.longest_gap_ms:.0f} "
        f"replica_read_share={share:.2f}"
    )
    broken = _broken_promises(report, confirmed, share)
    if broken:
        print(f"demo: failed {'; '.join(broken)}; {result}")
        return 1
    print(f"demo: ok {result}")
    return 0


def _broken_promises(
    report: LoadReport, confirmed: int, share: float
) -> list[str]:
    checks = (
        ("the table could not be read", not report.checked),
        ("no write was confirmed", confirmed == 0),
        ("confirmed writes lost", bool(report.lost)),
        ("writes doubled", bool(report.doubled)),
        ("writes ran although denied", bool(report.ran_although_denied)),
        ("transactions in part", bool(report.torn)),
        ("own writes not read", bool(report.stale_own_reads)),
        ("reads older than stated", bool(report.stale_browses)),
        ("writes stopped", report.longest_gap_ms > MAX_GAP_MS),
        ("no read was counted", share == 0.0),
    )
    return [text for text, is_broken in checks if is_broken]


def _interrupt(*_details) -> None:
    raise KeyboardInterrupt("stopped by a signal")


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
