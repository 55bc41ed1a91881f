"""Processes of the product, started with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"front": 8784, "ready": 8785, "control": 8782, "cloud": 8783}
ZONES = ("z1", "z2", "z3")
START_S = 20.0
# Bounds of the sheet of a small deployment, as far as a process reads them.
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
    "recovery_s": 12,
    "enforce_fencing": True,
}
LIMITS = {
    "entry": {"memory_mb": 222, "max_fds": 1605, "disk_mb": 0},
    "control": {"memory_mb": 296, "max_fds": 4096, "disk_mb": 128},
}


def free_network(count: int) -> list[str]:
    """Return loopback addresses on which the ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        addresses = [f"{net}.{n}" for n in range(10, 10 + count)]
        if all(_is_free(ip) for ip in addresses):
            return addresses
    raise OSError("no free loopback addresses")


def _is_free(ip: str) -> bool:
    for port in (*PORTS.values(), 9464, 7440):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Node:
    """One process of the product.

    Attributes
    ----------
    settings : dict
        Content of its settings file.
    starts : int
        Number of times it was started.
    """

    def __init__(self, folder: pathlib.Path, role: str, name: str, ip: str):
        self.folder = folder / name
        self.folder.mkdir()
        self.role = role
        self.name = name
        self.ip = ip
        self.settings: dict = {}
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHIVESCALE_BOOT": str(path),
        }
        command[0] = sys.executable
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        # Later starts are not the first one of the system.
        self.settings["bootstrap"] = False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory; 0 if the process has ended."""
        try:
            path = f"/proc/{self.process.pid}/status"
            lines = pathlib.Path(path).read_text().splitlines()
        except OSError:
            return 0.0
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log").read_text(errors="replace")


class System:
    """Processes of a small deployment.

    Parameters
    ----------
    controls, entries : int
        Number of processes of each role.
    """

    def __init__(self, controls: int = 3, entries: int = 3):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        count = controls + entries + 1
        self.cloud_ip, *others = free_network(count)
        self.controls = [
            Node(self.folder, "control", f"core-{n}", others[n])
            for n in range(controls)
        ]
        self.entries = [
            Node(self.folder, "entry", f"front-{n}", others[controls + n])
            for n in range(entries)
        ]
        self.seeds = [self.control_address(n) for n in self.controls[:3]]
        for role in (self.controls, self.entries):
            for number, node in enumerate(role):
                self._set_up(node, ZONES[number % len(ZONES)])

    @staticmethod
    def control_address(node: Node) -> str:
        """Return the address of the operator's API of a node."""
        return f"{node.ip}:{PORTS['control']}"

    @property
    def cloud_address(self) -> str:
        """Address of the platform's calls."""
        return f"{self.cloud_ip}:{PORTS['cloud']}"

    def _set_up(self, node: Node, zone: str) -> None:
        control = node.role == "control"
        used = ("control",) if control else ("front", "ready")
        node.settings = {
            "node_name": node.name,
            "role": node.role,
            "machine_class": "core" if control else "frontend",
            "serves": ["control_plane" if control else "frontend"],
            "ip": node.ip,
            "zone": zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {u: f"{node.ip}:{PORTS[u]}" for u in used},
            "internal_ports": [7440, 7455],
            "seeds": self.seeds,
            "bootstrap": True,
            "counts_as_loss": control,
            "limits": LIMITS[node.role],
            "data_dir": str(node.folder / "data") if control else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {
                "address": self.cloud_address,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    async def start(self) -> None:
        """Start all processes."""
        for node in (*self.controls, *self.entries):
            await node.start()

    async def stop(self) -> None:
        """End all processes and remove their files."""
        for node in (*self.controls, *self.entries):
            await node.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Send one HTTP request; return status and body, 0 without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    head, _, content = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    return (int(words[1]), content) if len(words) > 1 else (0, b"")


class Operator:
    """Sends configurations and reads them back."""

    def __init__(self, system: System):
        self.system = system
        self.next = 0

    async def _call(self, method: str, path: str, body: bytes = b""):
        nodes = self.system.controls
        self.next += 1
        node = nodes[self.next % len(nodes)]
        address = self.system.control_address(node)
        return await call(address, method, path, body)

    async def put(self, config: dict, attempts_s: float = START_S) -> int:
        """Send a configuration until it gets a clear answer."""
        body = json.dumps(config).encode()
        try:
            async with asyncio.timeout(attempts_s):
                while True:
                    status, _ = await self._call(
                        "POST", "/v1/config/put", body
                    )
                    if status in (200, 400, 409, 412, 413, 422):
                        return status
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return 0

    async def get(self) -> tuple[int, bytes]:
        """Read the configuration once."""
        return await self._call("GET", "/v1/config/get")


async def wait_ready(system: System) -> None:
    """Wait until all entry hosts are ready."""
    async with asyncio.timeout(START_S):
        for node in system.entries:
            address = f"{node.ip}:{PORTS['ready']}"
            while (await call(address, "GET", "/v1/ready"))[0] != 200:
                await asyncio.sleep(0.1)


class Cloud:
    """The platform's promotion call.

    Parameters
    ----------
    promote : callable
        ``(service, endpoint, holder) -> bool``; False if it does not run.
    """

    def __init__(self, promote, record):
        self.promote = promote
        self.record = record
        self.fences: dict[str, int] = {}
        self.server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                lines = request.decode().split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (x.partition(":") for x in lines[1:])
                }
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size))
                status = self._order(headers, body)
                text = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
                writer.write(text.encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _order(self, headers: dict, body: dict) -> int:
        service, token = body["service"], int(headers["fence-token"])
        holder = headers["duty-holder"]
        if token < self.fences.get(service, 0):
            status = 409
        else:
            self.fences[service] = token
            accepted = self.promote(service, body["id"], holder)
            status = 200 if accepted else 409
        self.record(
            f"promotion {service} {body['id']} holder={holder}"
            f" token={token} status={status}"
        )
        return status


class Client:
    """A session of a client."""

    def __init__(self, name: str):
        self.name = name
        self.number = 0
        self.reader = self.writer = None

    async def connect(self, node: Node, database: str) -> bool:
        """Open a session; return whether it is ready."""
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    node.ip, PORTS["front"], limit=1 << 21
                )
                self.writer.write(
                    f"STARTUP {database} {self.name}\r\n".encode()
                )
                lines = await self._answer()
        except (OSError, TimeoutError):
            lines = []
        ready = bool(lines) and lines[-1].startswith("READY")
        if not ready:
            self.close()
        return ready

    async def _answer(self) -> list[str]:
        lines = []
        while line := await self.reader.readline():
            lines.append(line.decode("latin-1").rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                return lines
        return [*lines, "closed"]

    async def send(self, text: str, timeout_s: float = 5.0):
        """Send a statement; return its id and the lines of the answer."""
        self.number += 1
        request = f"{self.name}.{self.number}"
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(f"QUERY {request} {text}\r\n".encode())
                lines = await self._answer()
        except OSError as err:
            timed_out = isinstance(err, TimeoutError)
            lines = ["silent" if timed_out else "closed"]
        if lines[-1] in ("closed", "silent"):
            self.close()
        return request, lines

    @property
    def open(self) -> bool:
        """Whether the session is open."""
        return self.writer is not None

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def succeeded(lines: list[str]) -> bool:
    """Return whether an answer is a success."""
    return any(line.startswith("COMPLETE") for line in lines)


def code(lines: list[str]) -> str:
    """Return the code of an error, or how the connection ended."""
    errors = [line for line in lines if line.startswith("ERROR")]
    return errors[0].split()[1] if errors else lines[-1]
