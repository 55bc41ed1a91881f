"""Processes of the project, started with the commands of the deploy file."""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
INTERNAL_PORTS = [7440, 7455]
METRICS_PORT = 9464
PORTS = {"front": 8784, "ready": 8785, "control": 8782, "cloud": 8783}
SERVER_PORT = 8080
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


def free_prefix() -> str:
    """Return the first three parts of loopback addresses with free ports."""
    while True:
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (*PORTS.values(), METRICS_PORT, *INTERNAL_PORTS):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix


class Node:
    """One process of the project on a machine of its own address.

    Attributes
    ----------
    process : Popen or None
        The process; None before the first start.
    """

    def __init__(self, fleet: "Fleet", role: str, name: str, ip: str, zone):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.bootstrap = True
        self.process: subprocess.Popen | None = None

    def address(self, use: str) -> str:
        """Return one of the addresses that it serves."""
        return f"{self.ip}:{PORTS[use]}"

    def settings(self) -> dict:
        """Return the settings as the platform writes them."""
        core = self.role == "control"
        uses = ("control",) if core else ("front", "ready")
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if core else "frontend",
            "serves": ["control_plane" if core else "frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-a",
            "zones": {zone: "region-a" for zone in self.fleet.zones},
            "listen": {use: self.address(use) for use in uses},
            "internal_ports": INTERNAL_PORTS,
            "seeds": self.fleet.seeds,
            "bootstrap": self.bootstrap,
            "counts_as_loss": core,
            "data_dir": str(self.folder / "data") if core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {
                "address": self.fleet.cloud_address,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    def start(self) -> None:
        """Start the process, or start it again after its end."""
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CHIVESCALE_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.fleet.record.write("start", node=self.name)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.running:
            name = signal.Signals(number).name
            self.fleet.record.write("signal", node=self.name, signal=name)
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def wipe(self) -> None:
        """Lose the disk; the process has to be down."""
        self.fleet.record.write("disk_lost", node=self.name)
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.bootstrap = False

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log that contain a word."""
        text = (self.folder / "log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]


class Fleet:
    """All processes of one case in a temporary folder.

    Parameters
    ----------
    record : Record
        Log of the case.
    controls, entries : int
        Number of processes of each role.
    zones : int
        Number of availability zones.
    """

    def __init__(self, record, controls: int, entries: int, zones: int = 3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: options["run"] for role, options in deploy["roles"].items()
        }
        self.prefix = free_prefix()
        self.zones = [f"zone-{letter}" for letter in "abcdef"[:zones]]
        self.cloud_address = f"{self.prefix}.9:{PORTS['cloud']}"
        self.controls = [
            self._node("control", f"core-{number}", 10 + number, number)
            for number in range(controls)
        ]
        self.entries = [
            self._node("entry", f"frontend-{number}", 30 + number, number)
            for number in range(entries)
        ]

    def _node(self, role: str, name: str, last: int, number: int) -> Node:
        zone = self.zones[number % len(self.zones)]
        return Node(self, role, name, f"{self.prefix}.{last}", zone)

    @property
    def seeds(self) -> list[str]:
        """Addresses of up to three control processes."""
        return [node.address("control") for node in self.controls[:3]]

    @property
    def nodes(self) -> list[Node]:
        """All processes."""
        return [*self.controls, *self.entries]

    def server_ip(self, number: int) -> str:
        """Return an address for a stand-in server."""
        return f"{self.prefix}.{100 + number}"

    def close(self, keep_logs_in: pathlib.Path | None = None) -> None:
        """End all processes and remove the folder."""
        for node in self.nodes:
            if node.running:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        if keep_logs_in is not None:
            keep_logs_in.mkdir(exist_ok=True)
            for node in self.nodes:
                log = node.folder / "log"
                if log.exists():
                    shutil.copy(log, keep_logs_in / f"{node.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)
