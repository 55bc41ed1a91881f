"""Start, watch and end the processes of a system on loopback.

Used by the demonstration, the cluster command, process tests and
benchmarks. Every process gets a loopback address of its own, so ports are
fixed and cannot be taken by outgoing connections.
"""

import asyncio
import collections
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import msgspec

from chivescale.errors import Failure, is_failure
from chivescale.transport import Client

ROOT = pathlib.Path(__file__).resolve().parent.parent
API_PORT = 7001
MYSQL_PORT = 7002
CONTROL_PORT = 7003
METRICS_PORT = 7004
ADMIN_PORT = 7005
PORTS = (API_PORT, MYSQL_PORT, CONTROL_PORT, METRICS_PORT, ADMIN_PORT)
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
ASK_TIMEOUT_S = 1.0
# Bounds the open files of a long run of tests.
RESERVED_PORTS = 256

_reserved_sockets = collections.deque(maxlen=RESERVED_PORTS)
_reserved_blocks: dict[str, socket.socket] = {}


class ProcessError(Exception):
    """A process did not start or a wait took too long."""


class Process(msgspec.Struct):
    """One process of the system.

    Attributes
    ----------
    name, role, zone : str
        Identity; `role` is ``entry``, ``control``, ``endpoint`` or
        ``load``.
    command : list of str
        Command line.
    log : Path
        File with everything it writes.
    addresses : dict of str
        ``ip:port`` by purpose: ``api``, ``mysql``, ``control``,
        ``metrics``, ``admin``.
    service : str
        Service of an endpoint.
    popen : subprocess.Popen or None
        The running process.
    """

    name: str
    role: str
    zone: str
    command: list[str]
    log: pathlib.Path
    addresses: dict[str, str]
    service: str = ""
    popen: typing.Any = None

    @property
    def pid(self) -> int:
        """Identifier of the running process; 0 if there is none."""
        return self.popen.pid if self.is_alive else 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None


class Processes:
    """The processes of one system.

    Parameters
    ----------
    folder : Path
        Run folder for settings, data and logs.
    secret : bytes
        Secret that signs requests to the processes.
    """

    def __init__(self, folder: pathlib.Path, secret: bytes):
        self.folder = folder
        self.secret = secret
        self.by_name: dict[str, Process] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *_details) -> None:
        self.close()

    def add(self, process: Process) -> Process:
        """Add a process without starting it."""
        self.by_name[process.name] = process
        return process

    def of_role(self, role: str, service: str = "") -> list[Process]:
        """Return the processes of a role (and service), by name."""
        return [
            item
            for item in self.by_name.values()
            if item.role == role and service in ("", item.service)
        ]

    def start(self, name: str) -> None:
        """Start a process, or start it again after its end."""
        process = self.by_name[name]
        if process.is_alive:
            raise ProcessError(f"{name} runs already")
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        with open(process.log, "ab") as log:
            process.popen = subprocess.Popen(
                process.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C must not reach the processes before the tool.
                start_new_session=True,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process by its identifier."""
        process = self.by_name[name]
        if process.is_alive:
            process.popen.send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once and wait for its end."""
        self.signal(name, signal.SIGKILL)
        if self.by_name[name].popen is not None:
            self.by_name[name].popen.wait()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.signal(name, signal.SIGCONT)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask a process to end and return its exit code.

        Returns
        -------
        int
            Exit code; negative if a signal ended the process.
        """
        self.signal(name, signal.SIGTERM)
        return self._await_end(self.by_name[name], timeout_s)

    def close(self) -> None:
        """End all processes, those that do not answer by force."""
        alive = [item for item in self.by_name.values() if item.is_alive]
        for process in alive:
            process.popen.send_signal(signal.SIGCONT)
            process.popen.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in alive:
            self._await_end(process, max(0.1, deadline - time.monotonic()))

    def _await_end(self, process: Process, timeout_s: float) -> int:
        if process.popen is None:
            return 0
        try:
            return process.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            return process.popen.wait()

    def require_alive(self, *names: str) -> None:
        """Raise with the end of the log if a process has ended."""
        for name in names or tuple(self.by_name):
            process = self.by_name[name]
            if not process.is_alive:
                lines = process.log.read_text(errors="replace").splitlines()
                tail = "\n".join(lines[-15:])
                raise ProcessError(f"{name} ended:\n{tail}")

    def wait_until(
        self,
        condition: typing.Callable[[], typing.Any],
        text: str,
        timeout_s: float = 15.0,
        alive: tuple[str, ...] = (),
    ) -> typing.Any:
        """Wait until a condition gives something true and return that.

        Parameters
        ----------
        condition : callable
            Called again and again.
        text : str
            What is waited for, for the error.
        timeout_s : float
            Limit.
        alive : tuple of str
            Processes that must not end meanwhile.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            found = condition()
            if found:
                return found
            if alive:
                self.require_alive(*alive)
            if time.monotonic() > deadline:
                raise ProcessError(f"{text}: not within {timeout_s:g} s")
            time.sleep(POLL_S)

    def ask(
        self,
        address: str,
        path: str,
        reply_type: typing.Any = dict,
        body: object = None,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> typing.Any:
        """Send one signed request; POST if there is a body.

        Not for use inside an event loop.
        """
        method = "GET" if body is None else "POST"

        async def run():
            client = Client(self.secret)
            try:
                return await client.call(
                    address,
                    method,
                    path,
                    reply_type,
                    body,
                    timeout_s=timeout_s,
                )
            finally:
                await client.close()

        return asyncio.run(run())

    def fault(self, name: str, **fields: object) -> None:
        """Change the faults of a stand-in endpoint."""
        address = self.by_name[name].addresses["admin"]
        answer = self.ask(address, "/v1/fault", body=fields)
        if is_failure(answer):
            raise ProcessError(f"fault of {name}: {answer.reason}")


def is_ready(answer: object) -> bool:
    """Tell whether an answer of `Processes.ask` is no failure."""
    return not isinstance(answer, Failure)


def python_command(module: str, *arguments: str) -> list[str]:
    """Return the command line of a module of this project."""
    return [sys.executable, "-m", module, *arguments]


def free_block(size: int) -> list[str]:
    """Return loopback addresses whose ports are free.

    The block stays reserved for this process, which may get it again. The
    search starts at a place that depends on the process identifier.

    Parameters
    ----------
    size : int
        Number of addresses, at most 250.
    """
    start = os.getpid()
    for attempt in range(1000):
        number = start + attempt
        prefix = f"127.{64 + (number >> 8) % 128}.{number % 256}"
        addresses = [f"{prefix}.{last + 1}" for last in range(size)]
        if _reserve_block(prefix) and all(map(_is_free, addresses)):
            return addresses
    raise ProcessError("no free loopback addresses")


def _reserve_block(prefix: str) -> bool:
    """Reserve a block of addresses; False if another process has it.

    Its servers may all be stopped for a moment, so that free ports alone do
    not show that it is unused.
    """
    if prefix not in _reserved_blocks:
        marker = socket.socket()
        try:
            marker.bind((f"{prefix}.251", API_PORT))
        except OSError:
            marker.close()
            return False
        _reserved_blocks[prefix] = marker
    return True


def free_address() -> str:
    """Return an unused loopback address and keep its port reserved.

    Neither a later call nor an outgoing connection gets the port while it
    is among the last `RESERVED_PORTS`. A server that sets ``SO_REUSEADDR``,
    as those of `asyncio` do, can listen on it all the same.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _reserved_sockets.append(reserved)
    return f"127.0.0.1:{reserved.getsockname()[1]}"


def _is_free(ip: str) -> bool:
    for port in PORTS:
        with socket.socket() as probe:
            # As the servers do, so that closed connections do not count.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def write_toml(path: pathlib.Path, tables: dict[str, dict]) -> None:
    """Write tables of plain values, lists and lists of tables."""
    lines = []
    for name, table in tables.items():
        if name:
            lines.append(f"[{name}]")
        for key, value in table.items():
            lines.append(f"{key} = {_toml_value(value)}")
        lines.append("")
    path.write_text("\n".join(lines))


def _toml_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str | pathlib.Path):
        # A JSON string without surrogates is also a TOML string.
        return msgspec.json.encode(str(value)).decode()
    if isinstance(value, dict):
        pairs = (f"{key} = {_toml_value(item)}" for key, item in value.items())
        return "{" + ", ".join(pairs) + "}"
    return "[" + ", ".join(_toml_value(item) for item in value) + "]"
