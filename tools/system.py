"""A whole system on loopback: plan, settings files, start and sheet."""

import hashlib
import json
import pathlib
import secrets
import subprocess
import time

import msgspec

from chivescale.errors import is_failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    Status,
    WatchReply,
    WorkspaceRecord,
)
from chivescale.sheet import format_sheet, make_sheet
from tools.processes import (
    ADMIN_PORT,
    API_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    MYSQL_PORT,
    ROOT,
    Process,
    ProcessError,
    Processes,
    free_block,
    is_ready,
    python_command,
    write_toml,
)

START_TIMEOUT_S = 20.0


class Plan(msgspec.Struct, frozen=True):
    """Shape of a system.

    Attributes
    ----------
    zones, services : tuple of str
        Availability zones and services.
    entry, control, endpoints : int
        Number of entry hosts, of control hosts, and of endpoints of each
        service; spread over the zones in turn.
    workspaces : tuple of str
        Workspaces, each bound to every service.
    staleness_ms : int
        Accepted staleness of every binding.
    slots, connection_limit, connect_delay_ms, delay_ms, statement_ms
        See the settings of the stand-in endpoint.
    overrides : dict of dict
        Settings of every host by section, for example
        ``{"entry": {"deadline_ms": 2000}}``.
    """

    zones: tuple[str, ...] = ("zone-1", "zone-2", "zone-3")
    services: tuple[str, ...] = ("ledger",)
    entry: int = 3
    control: int = 5
    endpoints: int = 3
    workspaces: tuple[str, ...] = ("mill-1", "mill-2")
    staleness_ms: int = 0
    slots: int = 2
    connection_limit: int = 35
    connect_delay_ms: float = 10.0
    delay_ms: float = 0.0
    statement_ms: float = 0.0
    overrides: dict[str, dict] = {}


class System(Processes):
    """A system of a plan; a context manager that ends its processes.

    Parameters
    ----------
    plan : Plan
        Shape.
    folder : Path, optional
        Run folder; a new one below ``run`` by default.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path | None = None):
        folder = folder or new_run_folder()
        secret = secrets.token_hex(32).encode()
        super().__init__(folder, secret)
        self.plan = plan
        # Hexadecimal, since a leading minus sign would read as an option.
        self.workspace_secrets = {
            name: secrets.token_hex(12) for name in plan.workspaces
        }
        self.sheet_number = 0
        self._write_secrets()
        self._plan_processes()

    def _write_secrets(self) -> None:
        for name in ("settings", "data", "logs"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        self.secret_file = self.folder / "secret"
        self.endpoint_secret_file = self.folder / "endpoint-secret"
        _write_private(self.secret_file, self.secret)
        endpoint_secret = secrets.token_hex(16).encode()
        _write_private(self.endpoint_secret_file, endpoint_secret)

    def _plan_processes(self) -> None:
        plan = self.plan
        count = plan.control + plan.entry + plan.endpoints * len(plan.services)
        addresses = iter(free_block(count))
        self.control_members = [
            {"name": f"control-{n + 1}", "address": f"{ip}:{CONTROL_PORT}"}
            for n, ip in zip(range(plan.control), addresses, strict=False)
        ]
        for number, member in enumerate(self.control_members):
            self._add_host(member["name"], "control", number, member)
        for number in range(plan.entry):
            name = f"entry-{number + 1}"
            self._add_host(name, "entry", number, {"ip": next(addresses)})
        for service in plan.services:
            for number in range(plan.endpoints):
                self._add_endpoint(service, number, next(addresses))

    def _zone(self, number: int) -> str:
        return self.plan.zones[number % len(self.plan.zones)]

    def _add_host(self, name: str, role: str, number: int, at: dict) -> None:
        ip = at.get("ip") or at["address"].rpartition(":")[0]
        listen = {"metrics": f"{ip}:{METRICS_PORT}"}
        if role == "control":
            listen["control_api"] = f"{ip}:{CONTROL_PORT}"
        else:
            listen["api"] = f"{ip}:{API_PORT}"
            listen["mysql"] = f"{ip}:{MYSQL_PORT}"
        path = self.settings_path(name)
        tables = {
            "host": {
                "name": name,
                "zone": self._zone(number),
                "roles": [role],
                "data_dir": str(self.folder / "data" / name),
            },
            "listen": listen,
            "cluster": {
                "secret_file": self.secret_file,
                "endpoint_secret_file": self.endpoint_secret_file,
                "control": self.control_members,
            },
        }
        for section, table in self.plan.overrides.items():
            tables[section] = tables.get(section, {}) | table
        write_toml(path, tables)
        purposes = {"control_api": "control"}
        self.add(
            Process(
                name=name,
                role=role,
                zone=self._zone(number),
                command=python_command(
                    "chivescale.daemon", "--settings", str(path)
                ),
                log=self.folder / "logs" / f"{name}.log",
                addresses={
                    purposes.get(key, key): value
                    for key, value in listen.items()
                },
            )
        )

    def _add_endpoint(self, service: str, number: int, ip: str) -> None:
        plan, name = self.plan, f"{service}-{number + 1}"
        path = self.settings_path(name)
        addresses = {
            "mysql": f"{ip}:{MYSQL_PORT}",
            "admin": f"{ip}:{ADMIN_PORT}",
        }
        entry = [item.addresses["api"] for item in self.of_role("entry")]
        table = {
            "name": name,
            "service": service,
            "zone": self._zone(number),
            "mysql_address": addresses["mysql"],
            "admin_address": addresses["admin"],
            "data_dir": self.folder / "data" / name,
            "secret_file": self.secret_file,
            "user_secret_file": self.endpoint_secret_file,
            "announce_to": entry,
            "slots": plan.slots,
            "connection_limit": plan.connection_limit,
            "connect_delay_ms": plan.connect_delay_ms,
            "delay_ms": plan.delay_ms,
            "statement_ms": plan.statement_ms,
        }
        write_toml(path, {"": table})
        self.add(
            Process(
                name=name,
                role="endpoint",
                zone=self._zone(number),
                command=python_command(
                    "chivescale_standin", "--settings", str(path)
                ),
                log=self.folder / "logs" / f"{name}.log",
                addresses=addresses,
                service=service,
            )
        )

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the settings file of a process."""
        return self.folder / "settings" / f"{name}.toml"

    def start_all(self) -> None:
        """Start everything, apply the first sheet and wait for service."""
        for name in self.by_name:
            self.start(name)
        self.wait_for_leader()
        self.apply_sheet()
        self.wait_for_services()
        self.wait_for_entry()

    def wait_for_leader(self, timeout_s: float = START_TIMEOUT_S) -> str:
        """Wait for a control leader and return its name."""
        alive = tuple(item.name for item in self.of_role("control"))
        return self.wait_until(
            self.control_leader, "a control leader", timeout_s, alive
        )

    def control_leader(self) -> str:
        """Return the name of the control leader; empty if unknown."""
        for process in self.of_role("control"):
            if not process.is_alive:
                continue
            status = self.ask(
                process.addresses["control"], "/v1/status", Status
            )
            if not is_failure(status) and status.role == "leader":
                return process.name
        return ""

    def wait_for_services(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every service has an established term."""

        def established() -> bool:
            state = self.state()
            return state is not None and all(
                self._primary(state, service) for service in self.plan.services
            )

        self.wait_until(established, "a primary of each service", timeout_s)

    def wait_for_entry(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every running entry host is ready."""
        for process in self.of_role("entry"):
            if process.is_alive:
                self.wait_until(
                    lambda at=process: self.entry_is_ready(at.name),
                    f"{process.name} ready",
                    timeout_s,
                    (process.name,),
                )

    def entry_is_ready(self, name: str) -> bool:
        """Tell whether an entry host says that it is ready."""
        address = self.by_name[name].addresses["api"]
        return is_ready(self.ask(address, "/v1/ready"))

    def state(self) -> WatchReply | None:
        """Return the newest state of the control hosts."""
        newest = None
        for process in self.of_role("control"):
            if not process.is_alive:
                continue
            reply = self.ask(
                process.addresses["control"],
                "/v1/watch?after=0&wait_ms=0",
                WatchReply,
            )
            if is_failure(reply):
                continue
            if newest is None or reply.index > newest.index:
                newest = reply
        return newest

    def primary(self, service: str) -> str:
        """Return the primary of a service; empty if there is none."""
        state = self.state()
        return self._primary(state, service) if state is not None else ""

    def _primary(self, state: WatchReply, service: str) -> str:
        for record in state.services:
            if record.service == service:
                return record.primary
        return ""

    def write_sheet(self) -> pathlib.Path:
        """Write the sheet of the plan into the run folder."""
        bindings = tuple(
            ServiceBinding(service, self.plan.staleness_ms)
            for service in self.plan.services
        )
        sheet = make_sheet(
            [
                ServiceRecord(service, self.plan.endpoints)
                for service in self.plan.services
            ],
            [
                WorkspaceRecord(name, hash_secret(secret), bindings)
                for name, secret in self.workspace_secrets.items()
            ],
        )
        path = self.folder / "sheet.csv"
        path.write_text(format_sheet(sheet))
        return path

    def apply_sheet(self, path: pathlib.Path | None = None) -> dict:
        """Apply a sheet with the operator's command and return its answer."""
        path = path or self.write_sheet()
        self.sheet_number += 1
        number = str(self.sheet_number)
        return self.operate("sheet", "apply", str(path), "--number", number)

    def operate(self, *arguments: str, online: bool = True) -> dict:
        """Run an operator's command and return its JSON output.

        The exit code is added as ``exit_code``.
        """
        first = self.of_role("control")[0].name
        command = python_command("chivescale.cli", *arguments, "--json")
        if online:
            command += ["--settings", str(self.settings_path(first))]
        done = subprocess.run(
            command, check=False, cwd=ROOT, capture_output=True, text=True
        )
        try:
            answer = json.loads(done.stdout)
        except ValueError as err:
            reason = f"{' '.join(arguments)}: {done.stderr.strip()}"
            raise ProcessError(reason) from err
        return answer | {"exit_code": done.returncode}

    def describe(self) -> dict:
        """Return what a caller or a test needs to use the system."""
        return {
            "folder": str(self.folder),
            "secret_file": str(self.secret_file),
            "processes": [
                {
                    "name": item.name,
                    "role": item.role,
                    "zone": item.zone,
                    "pid": item.pid,
                    "service": item.service,
                    "addresses": item.addresses,
                    "settings": str(self.settings_path(item.name)),
                    "log": str(item.log),
                }
                for item in self.by_name.values()
            ],
            "workspaces": [
                {"name": name, "secret": secret}
                for name, secret in self.workspace_secrets.items()
            ],
            "services": list(self.plan.services),
            "fault_control": {
                item.name: f"{item.addresses['admin']}/v1/fault"
                for item in self.of_role("endpoint")
            },
        }


def hash_secret(secret: str) -> str:
    """Return the hash of a workspace secret for a sheet."""
    inner = hashlib.sha1(secret.encode()).digest()
    return hashlib.sha1(inner).hexdigest()


def new_run_folder() -> pathlib.Path:
    """Create a folder below ``run`` that no other run uses."""
    name = time.strftime("%Y%m%d-%H%M%S-") + secrets.token_hex(3)
    folder = ROOT / "run" / name
    folder.mkdir(parents=True)
    return folder


def _write_private(path: pathlib.Path, content: bytes) -> None:
    path.touch(mode=0o600)
    path.write_bytes(content + b"\n")
