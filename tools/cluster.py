"""Run a whole system on loopback until Ctrl-C.

Three availability zones, 5 control hosts, 3 entry hosts and 3 services of 3
endpoints. ``run/cluster.json`` lists every process, the workspaces with
their secrets and the fault control of the endpoints.
"""

import argparse
import json
import os
import pathlib
import signal
import sys
import threading

from tools.processes import ROOT, ProcessError
from tools.system import Plan, System

PLAN = Plan(
    services=("ledger", "lots", "slots"),
    workspaces=("mill-1", "mill-2", "dispatch"),
)
CLUSTER_FILE = ROOT / "run" / "cluster.json"
CHECK_S = 1.0


def main(arguments: list[str] | None = None) -> int:
    """Start the system, wait for a signal and stop it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--file", type=pathlib.Path, default=CLUSTER_FILE, metavar="FILE"
    )
    options = parser.parse_args(arguments)
    stopping = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_details: stopping.set())
    try:
        with System(PLAN) as system:
            return _run(system, options.file, stopping)
    except ProcessError as err:
        print(f"cluster: {err}", file=sys.stderr)
        return 1


def _run(system: System, path: pathlib.Path, stopping) -> int:
    print(f"cluster: starting, logs in {system.folder}/logs", flush=True)
    system.start_all()
    path.parent.mkdir(parents=True, exist_ok=True)
    content = {"pid": os.getpid(), **system.describe()}
    path.write_text(json.dumps(content, indent=2))
    _print_usage(system, path)
    ended: set[str] = set()
    while not stopping.wait(CHECK_S):
        # Processes may be killed on purpose, so the others go on.
        for name, process in system.by_name.items():
            if not process.is_alive and name not in ended:
                print(f"cluster: {name} has ended", flush=True)
                ended.add(name)
    print("cluster: stopping", flush=True)
    path.unlink(missing_ok=True)
    return 0


def _print_usage(system: System, path: pathlib.Path) -> None:
    first = system.of_role("entry")[0].addresses["mysql"]
    ip, _, port = first.rpartition(":")
    workspace, secret = next(iter(system.workspace_secrets.items()))
    settings = system.settings_path("control-1")
    print(f"cluster: ready, described in {path}")
    print(f"cluster: MySQL host {ip} port {port} database ledger")
    print(f"cluster: user {workspace} password {secret}")
    print(f"cluster: chivescale status --settings {settings}")
    print("cluster: Ctrl-C stops everything", flush=True)


if __name__ == "__main__":
    sys.exit(main())
