"""Systems of processes for the benchmarks."""

import urllib.request

from chivescale.errors import is_failure
from chivescale.messages import EndpointStatus
from tools.processes import python_command
from tools.system import Plan, System

ASSOCIATION = Plan(
    zones=("zone-1", "zone-2", "zone-3", "zone-4"),
    services=("ledger-north", "ledger-central", "ledger-south"),
    entry=15,
    control=5,
    workspaces=("mill-1",),
    slots=2,
    connection_limit=35,
    connect_delay_ms=10.0,
    delay_ms=1.5,
)
VELOS = Plan(
    zones=("zone-1", "zone-2", "zone-3"),
    services=("atelier-1", "atelier-2", "atelier-3"),
    entry=15,
    control=5,
    workspaces=("house-1",),
    slots=3,
    connection_limit=80,
    connect_delay_ms=10.0,
    delay_ms=1.0,
)
# One-way delay between a caller and an entry host, in milliseconds.
CALLER_DELAY_MS = {"association": 1.0, "velos": 3.0}
PROFILES = {"association": ASSOCIATION, "velos": VELOS}


def status_of(system: System, name: str) -> EndpointStatus | None:
    """Return the status of an endpoint; None without an answer."""
    address = system.by_name[name].addresses["admin"]
    status = system.ask(address, "/v1/position", EndpointStatus)
    return None if is_failure(status) else status


def wait_for_group(system: System, service: str, timeout_s=30.0) -> None:
    """Wait until all endpoints of a service are in step again.

    Every endpoint must be a voter and every replica must follow the
    published primary and be close to its position; otherwise the next
    fault would meet a weakened group.
    """
    names = [item.name for item in system.of_role("endpoint", service)]

    def in_step() -> bool:
        record = record_of(system, service)
        if record is None or set(record.voters) != set(names):
            return False
        states = [status_of(system, name) for name in names]
        if None in states:
            return False
        end = max(state.last for state in states)
        return all(
            state.promised_term == record.term
            and (state.primary == record.primary)
            and 0 <= state.primary_contact_ms < 300
            and state.last.term == end.term
            and end.position - state.last.position < 50
            for state in states
        )

    system.wait_until(in_step, f"{service} in step", timeout_s)


def record_of(system: System, service: str):
    """Return the published record of a service; None if unknown."""
    state = system.state()
    if state is None:
        return None
    for record in state.services:
        if record.service == service:
            return record
    return None


class ControlLogs:
    """Reads what control hosts logged since the last call."""

    def __init__(self, system: System):
        self.logs = [item.log for item in system.of_role("control")]
        self.offsets = {path: path.stat().st_size for path in self.logs}

    def events(self, *names: str) -> list[dict[str, str]]:
        """Return new events with one of the names."""
        found = []
        for path in self.logs:
            with open(path, "rb") as file:
                file.seek(self.offsets[path])
                content = file.read()
            whole = content.rfind(b"\n") + 1
            self.offsets[path] += whole
            for line in content[:whole].decode(errors="replace").splitlines():
                event = parse_event(line)
                if event.get("event") in names:
                    found.append(event)
        return found


def parse_event(line: str) -> dict[str, str]:
    """Return the fields of a log line; empty for other lines.

    Examples
    --------
    >>> parse_event("time=1 event=failover_established term=4")
    {'time': '1', 'event': 'failover_established', 'term': '4'}
    """
    if "event=" not in line:
        return {}
    pairs = (part.partition("=") for part in line.split())
    return {key: value for key, sep, value in pairs if sep}


def counters(system: System, prefix: str) -> dict[str, float]:
    """Return the sum of each metric with a prefix over all entry hosts."""
    totals: dict[str, float] = {}
    for host in system.of_role("entry"):
        if not host.is_alive:
            continue
        url = f"http://{host.addresses['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            text = answer.read().decode()
        for line in text.splitlines():
            if line.startswith(prefix):
                name, _, value = line.rpartition(" ")
                totals[name] = totals.get(name, 0.0) + float(value)
    return totals


def use_baseline(system: System, mode: str) -> None:
    """Let the entry hosts run with a baseline in place of a mechanism."""
    for host in system.of_role("entry"):
        path = str(system.settings_path(host.name))
        host.command = python_command(
            "benchmarks.baselines", mode, "--settings", path
        )
