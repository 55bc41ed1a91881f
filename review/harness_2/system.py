"""Processes of a small deployment on loopback addresses.

Each machine has a loopback address of its own, because the ports are the same
on all machines. Only the standard library is used.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The run line of both roles in deploy/system.toml, without the role.
RUN = ("python3", "-S", "platform/launch.py")
METRICS_PORT = 9464
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "enforce_fencing": True,
    "thaw_slack_ms": 300,
}
KILL_AFTER_S = 8.0


class CannotRunError(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """File with what was sent, answered and run.

    Parameters
    ----------
    path : pathlib.Path
        File to write.
    """

    def __init__(self, path: pathlib.Path):
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, event: str, **fields) -> None:
        """Write one line with the seconds since the start."""
        at = time.monotonic() - self.started
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{at:8.3f} {event} {text}".rstrip()
        print(line, file=self.file, flush=True)


def is_free(address: str, port: int) -> bool:
    """Return whether a port can be bound on a loopback address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports below the ephemeral range, free on all addresses."""
    found = []
    for port in range(21000 + os.getpid() % 5000, 32000):
        if all(is_free(address, port) for address in addresses):
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


def machine_addresses(count: int) -> list[str]:
    """Return loopback addresses on which the port of the metrics is free."""
    for network in range(10, 250):
        found = [f"127.{network}.0.{host}" for host in range(1, count + 1)]
        if all(is_free(address, METRICS_PORT) for address in found):
            return found
    raise CannotRunError("no free loopback addresses")


class Machine:
    """A machine with one process of the project.

    Parameters
    ----------
    system : System
        Deployment that the machine belongs to.
    name, role, address, zone : str
        Name, ``control`` or ``entry``, loopback address and zone.
    seeds : list of str
        Addresses of control machines.
    first : bool
        Whether this is the first start of the whole system.
    """

    def __init__(self, system, name, role, address, zone, seeds, first):
        self.system = system
        self.name, self.role, self.address = name, role, address
        self.zone, self.seeds, self.first = zone, seeds, first
        self.folder = system.folder / name
        self.data = self.folder / "data"
        self.data.mkdir(parents=True)
        self.process: subprocess.Popen | None = None

    @property
    def control(self) -> str:
        """Address for operators and servers."""
        return f"{self.address}:{self.system.ports['control']}"

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.address, self.system.ports["front"]

    def settings(self) -> dict:
        """Return the settings file as DEPLOY.md describes it."""
        ports = self.system.ports
        core = self.role == "control"
        names = ["control"] if core else ["front", "ready"]
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if core else "frontend",
            "serves": ["control_plane"] if core else ["frontend"],
            "ip": self.address,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "listen": {n: f"{self.address}:{ports[n]}" for n in names},
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": self.seeds,
            "bootstrap": self.first,
            "counts_as_loss": core,
            "limits": {
                "cpu_share": 0.731,
                "cpu_cores": 1,
                "memory_mb": 296 if core else 222,
                "max_fds": 4096 if core else 1570,
                "link_mbps": 1000.0,
                "disk_mb": 128 if core else 0,
            },
            "data_dir": str(self.data) if core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {
                "machines": self.system.losses,
                "zones": 1,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {
                "address": self.system.cloud,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    def write_settings(self) -> pathlib.Path:
        """Replace the settings file and return its path."""
        path = self.folder / "node.json"
        temporary = self.folder / "node.json.tmp"
        temporary.write_text(json.dumps(self.settings()))
        temporary.replace(path)
        return path

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CHIVESCALE_BOOT"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [*RUN, self.role, "target"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.system.record("start", machine=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.running:
            self.process.kill()
            self.process.wait()
            self.system.record("killed", machine=self.name)

    def terminate(self) -> None:
        """Stop the process as planned, and kill it after the grace period."""
        self.system.record("sigterm", machine=self.name)
        self.process.terminate()
        try:
            self.process.wait(KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self.system.record("ended", machine=self.name)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        """Return what the process has written."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


class System:
    """A small deployment; end it with `close`.

    Parameters
    ----------
    record : Record
        File for what happens.
    cloud : str
        Address of the platform; nobody is called there without primaries.
    machines : int
        Number of machines for which addresses are needed.
    losses : int
        Number of control machines that may be lost at the same time.
    """

    def __init__(
        self, record: Record, machines: int, cloud: str = "", losses: int = 1
    ):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("the build of deploy/system.toml is missing")
        self.record = record
        self.losses = losses
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivescale-"))
        self.addresses = machine_addresses(machines)
        ports = free_ports(self.addresses, 20)
        self.ports = {
            "control": ports[0],
            "front": ports[1],
            "ready": ports[2],
            "internal": ports[3],
        }
        self.cloud = cloud or f"{self.addresses[0]}:{ports[19]}"
        self.machines: list[Machine] = []

    def add(self, role, zone, seeds, first) -> Machine:
        """Return a new machine that has not been started."""
        number = len(self.machines)
        name = f"{'core' if role == 'control' else 'frontend'}-{number + 1}"
        address = self.addresses[number]
        machine = Machine(self, name, role, address, zone, seeds, first)
        self.machines.append(machine)
        return machine

    def seeds(self, count: int) -> list[str]:
        """Return the control addresses of the first machines."""
        return [f"{a}:{self.ports['control']}" for a in self.addresses[:count]]

    def close(self) -> None:
        """End every process and remove the folder."""
        for machine in self.machines:
            if machine.running:
                machine.signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address: str, method: str, path: str, body=None, timeout_s=1.0):
    """Send a request; return the status and the body, 0 without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if content else {}
        connection.request(method, path, content, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_for(condition, limit_s: float, what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    CannotRunError
        If it does not hold in time.
    """
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(f"not reached in {limit_s} s: {what}")
        time.sleep(0.02)


def main(run, trouble: bool) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if unable.

    Parameters
    ----------
    run : callable
        Takes the record and whether the disruption happens; returns whether
        the rule was broken.
    trouble : bool
        Whether the disruption happens.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record("case", folder=folder.name, trouble=trouble)
    try:
        broken = run(record, trouble)
    except Exception as err:
        # An error of the case itself says nothing about the rule either.
        record("cannot_run", reason=repr(err))
        print(f"cannot run: {err!r}")
        sys.exit(2)
    result = "broken" if broken else "held"
    record("result", rule=result)
    print(f"rule {result}")
    sys.exit(1 if broken else 0)
