"""Control hosts, entry hosts and stand-in endpoints in one event loop."""

import asyncio
import pathlib
import time

from chivescale.control import ControlHost
from chivescale.entry import EntryHost
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.settings import parse_settings
from chivescale.sheet import format_sheet, make_sheet
from chivescale.telemetry import Metrics
from chivescale_standin import Endpoint, StandinSettings
from tools.processes import free_block

SECRET = b"a secret that is long enough for tests"

# Only ends a test that hangs: all hosts share one event loop, which can stall
# for seconds on a loaded machine.
WAIT_TIMEOUT_S = 60.0


def sheet_csv(*services: str, group_size: int = 3) -> str:
    """Return a sheet with one workspace that may use all services."""
    bindings = tuple(ServiceBinding(service) for service in services)
    return format_sheet(
        make_sheet(
            [ServiceRecord(service, group_size) for service in services],
            [WorkspaceRecord("mill", "0" * 40, bindings)],
        )
    )


class InProcessSystem:
    """All hosts and endpoints of a system in one event loop."""

    def __init__(self, folder: str, control: int = 3, entries: int = 3):
        self.folder = pathlib.Path(folder)
        (self.folder / "secret").write_bytes(SECRET)
        # One loopback address for each host: the kernel may choose the same
        # free port twice before it is bound.
        self.free_ips = iter(free_block(control + 2 * entries))
        self.addresses = [
            f"{next(self.free_ips)}:7003" for _ in range(control)
        ]
        self.control_hosts: dict[str, ControlHost] = {}
        self.entry_hosts = [
            EntryHost(self.settings(f"h{n}"), SECRET, Metrics())
            for n in range(1, entries + 1)
        ]
        self.endpoints: dict[str, Endpoint] = {}

    def settings(self, name: str):
        members = "".join(
            f"[[cluster.control]]\nname = 'c{n}'\naddress = '{address}'\n"
            for n, address in enumerate(self.addresses, 1)
        )
        if name.startswith("c"):
            address = self.addresses[int(name[1:]) - 1]
            listen = f"control_api = '{address}'\n"
        else:
            ip = next(self.free_ips)
            api, mysql = f"{ip}:7001", f"{ip}:7002"
            listen = f"api = '{api}'\nmysql = '{mysql}'\n"
        role = "control" if name.startswith("c") else "entry"
        text = (
            f"[host]\nname = '{name}'\nzone = 'z{name[1:]}'\n"
            f"roles = ['{role}']\ndata_dir = '{self.folder / name}'\n"
            f"[listen]\n{listen}"
            f"[cluster]\nsecret_file = '{self.folder / 'secret'}'\n{members}"
        )
        settings = parse_settings(text)
        assert not is_failure(settings), settings
        return settings

    async def start(self, endpoints: int = 3) -> None:
        for number in range(1, len(self.addresses) + 1):
            await self.start_control(f"c{number}")
        for entry in self.entry_hosts:
            await entry.start()
        for number in range(1, endpoints + 1):
            await self.start_endpoint(f"e{number}")

    async def start_control(self, name: str) -> None:
        host = ControlHost(self.settings(name), SECRET)
        failure = await host.start()
        assert failure is None, failure
        self.control_hosts[name] = host

    async def stop_control(self, name: str) -> None:
        await self.control_hosts.pop(name).stop()

    async def start_endpoint(self, name: str, service="ledger") -> None:
        settings = StandinSettings(
            name,
            service,
            str(self.folder / name),
            str(self.folder / "secret"),
            f"z{name[1:]}",
            announce_to=tuple(e.settings.listen.api for e in self.entry_hosts),
            announce_ms=200,
        )
        self.endpoints[name] = Endpoint(settings)
        await self.endpoints[name].start()

    async def stop_endpoint(self, name: str) -> None:
        await self.endpoints.pop(name).close()

    async def stop(self) -> None:
        for entry in self.entry_hosts:
            await entry.stop()
        for name in list(self.endpoints):
            await self.stop_endpoint(name)
        for name in list(self.control_hosts):
            await self.stop_control(name)

    @property
    def leader(self) -> ControlHost | None:
        for host in self.control_hosts.values():
            if host.leadership and host.agreement.is_leader:
                return host
        return None

    async def call_leader(self, method, path, reply_type, body=None):
        """Send a request to the leader and retry until it answers."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            answer = await self.entry_hosts[0].calls.call(
                method, path, reply_type, body, deadline
            )
            retry = is_failure(answer) and answer.kind in (
                ErrorKind.NOT_LEADER,
                ErrorKind.UNREACHABLE,
                ErrorKind.TIMEOUT,
                ErrorKind.OUTCOME_UNKNOWN,
                # The host or member has not registered yet.
                ErrorKind.UNKNOWN_MEMBER,
            )
            if not retry or time.monotonic() > deadline:
                return answer
            await asyncio.sleep(0.05)

    async def wait_for(self, condition, timeout_s: float = WAIT_TIMEOUT_S):
        """Wait until a condition is true and return its value."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            await asyncio.sleep(0.01)
        raise AssertionError(f"condition not met within {timeout_s:g} s")

    async def wait_for_term(self, above: int = 0, service: str = "ledger"):
        """Wait until every entry host has a term above `above`."""

        def newer_record():
            records = [
                e.watch.state.services.get(service) for e in self.entry_hosts
            ]
            if all(r and r.term > above for r in records):
                return records[0]
            return None

        return await self.wait_for(newer_record)
