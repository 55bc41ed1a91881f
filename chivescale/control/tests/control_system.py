"""Control hosts, entry stubs and stand-in endpoints in one process."""

import asyncio
import pathlib
import socket
import time

from chivescale import failover as fo
from chivescale.control import ControlHost
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.membership import watchers_of
from chivescale.messages import (
    Accepted,
    Announcement,
    EndpointStatus,
    Heartbeat,
    HeartbeatReply,
    HostRecord,
    ServiceBinding,
    ServiceRecord,
    WatchReply,
    WorkspaceRecord,
)
from chivescale.settings import parse_settings
from chivescale.sheet import format_sheet, make_sheet
from chivescale.state import ClusterState
from chivescale.transport import Client, Route, Server
from chivescale_standin import Endpoint, StandinSettings

SECRET = b"a secret that is long enough for tests"


def sheet(*services: str, size: int = 3) -> str:
    """Return a sheet with one workspace that reaches all services."""
    bindings = tuple(ServiceBinding(service) for service in services)
    return format_sheet(
        make_sheet(
            [ServiceRecord(service, size) for service in services],
            [WorkspaceRecord("mill", "0" * 40, bindings)],
        )
    )


def free_address() -> str:
    """Return an address that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class EntryStub:
    """What an entry host does towards the control hosts."""

    def __init__(self, name: str, zone: str, control: list[str]):
        self.name = name
        self.control = control
        self.address = free_address()
        self.record = HostRecord(name, zone, self.address, "", "1")
        self.client = Client(SECRET)
        self.leader = control[0]
        self.state = ClusterState()
        self.watchers: dict[str, fo.Watcher] = {}
        self.heartbeat_reply: HeartbeatReply | None = None
        self.tasks: list[asyncio.Task] = []
        route = Route(
            "POST", "/v1/endpoints/announce", self.announce, Announcement
        )
        self.server = Server(SECRET, [route])

    async def start(self) -> None:
        await self.server.start(self.address)
        for loop in (self.beat, self.follow, self.probe):
            self.tasks.append(asyncio.create_task(loop()))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.close()
        await self.client.close()

    async def call(self, method, path, reply_type, body=None, tries=20):
        """Ask the leader, wherever it is."""
        answer = Failure(ErrorKind.UNREACHABLE, "not asked")
        for number in range(tries):
            answer = await self.client.call(
                self.leader, method, path, reply_type, body, timeout_s=2.0
            )
            if not is_failure(answer):
                return answer
            if answer.kind not in (
                ErrorKind.NOT_LEADER,
                ErrorKind.UNREACHABLE,
                ErrorKind.TIMEOUT,
                ErrorKind.OUTCOME_UNKNOWN,
            ):
                return answer
            following = self.control[number % len(self.control)]
            self.leader = answer.redirect or following
            await asyncio.sleep(0.05)
        return answer

    async def announce(self, request):
        return await self.call(
            "POST", "/v1/endpoints/announce", Accepted, request.body
        )

    async def beat(self) -> None:
        while True:
            reply = await self.call(
                "POST",
                "/v1/hosts/heartbeat",
                HeartbeatReply,
                Heartbeat(self.record, self.state.index),
            )
            if not is_failure(reply):
                self.heartbeat_reply = reply
            await asyncio.sleep(0.5)

    async def follow(self) -> None:
        number = 0
        while True:
            address = self.control[number % len(self.control)]
            path = f"/v1/watch?after={self.state.index}&wait_ms=1000"
            reply = await self.client.call(
                address, "GET", path, WatchReply, timeout_s=1.5
            )
            if is_failure(reply):
                number += 1
                await asyncio.sleep(0.05)
            elif self.state.merge(reply):
                self.show()

    def show(self) -> None:
        for name, record in self.state.services.items():
            assigned = watchers_of(name, self.state.hosts.values(), 3)
            if self.name not in assigned:
                self.watchers.pop(name, None)
                continue
            watcher = self.watchers.setdefault(
                name, fo.Watcher(self.name, name)
            )
            endpoints = tuple(self.state.endpoints.values())
            self.drive(watcher, fo.WatchService(record, endpoints))

    async def probe(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for watcher in list(self.watchers.values()):
                self.drive(watcher, fo.Tick())

    def drive(self, watcher: fo.Watcher, event) -> None:
        for effect in watcher.step(event, time.monotonic()):
            if isinstance(effect, fo.Report):
                call = self.call(
                    "POST", "/v1/suspicions", Accepted, effect.suspicion, 5
                )
            else:
                call = self.run_probe(watcher, effect)
            task = asyncio.create_task(call)
            self.tasks.append(task)
            task.add_done_callback(self.tasks.remove)

    async def run_probe(self, watcher, effect) -> None:
        status = await self.client.call(
            effect.address,
            "GET",
            "/v1/position",
            EndpointStatus,
            timeout_s=effect.timeout_s,
            fresh=effect.fresh,
        )
        name, probe = effect.endpoint, effect.probe
        if is_failure(status):
            refused = status.kind is ErrorKind.UNREACHABLE
            self.drive(watcher, fo.ProbeError(name, probe, refused))
        else:
            self.drive(watcher, fo.ProbeReply(name, probe, status))


class System:
    """A whole system but for the callers."""

    def __init__(self, folder: str, control: int = 3, entries: int = 3):
        self.folder = pathlib.Path(folder)
        (self.folder / "secret").write_bytes(SECRET)
        self.addresses = [free_address() for _ in range(control)]
        self.control: dict[str, ControlHost] = {}
        self.entries = [
            EntryStub(f"h{n}", f"z{n}", self.addresses)
            for n in range(1, entries + 1)
        ]
        self.endpoints: dict[str, Endpoint] = {}

    def settings(self, name: str):
        members = "".join(
            f"[[cluster.control]]\nname = 'c{n}'\naddress = '{address}'\n"
            for n, address in enumerate(self.addresses, 1)
        )
        address = self.addresses[int(name[1:]) - 1]
        text = (
            f"[host]\nname = '{name}'\nzone = 'z1'\nroles = ['control']\n"
            f"data_dir = '{self.folder / name}'\n"
            f"[listen]\ncontrol_api = '{address}'\n"
            f"[cluster]\nsecret_file = '{self.folder / 'secret'}'\n{members}"
        )
        settings = parse_settings(text)
        assert not is_failure(settings), settings
        return settings

    async def start(self, endpoints: int = 3) -> None:
        for number in range(1, len(self.addresses) + 1):
            await self.start_control(f"c{number}")
        for entry in self.entries:
            await entry.start()
        for number in range(1, endpoints + 1):
            await self.start_endpoint(f"e{number}")

    async def start_control(self, name: str) -> None:
        host = ControlHost(self.settings(name), SECRET)
        failure = await host.start()
        assert failure is None, failure
        self.control[name] = host

    async def stop_control(self, name: str) -> None:
        await self.control.pop(name).stop()

    async def start_endpoint(self, name: str, service="ledger") -> None:
        settings = StandinSettings(
            name,
            service,
            str(self.folder / name),
            str(self.folder / "secret"),
            f"z{name[1:]}",
            announce_to=tuple(entry.address for entry in self.entries),
            announce_ms=200,
        )
        self.endpoints[name] = Endpoint(settings)
        await self.endpoints[name].start()

    async def stop_endpoint(self, name: str) -> None:
        await self.endpoints.pop(name).close()

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.stop()
        for name in list(self.endpoints):
            await self.stop_endpoint(name)
        for name in list(self.control):
            await self.stop_control(name)

    @property
    def leader(self) -> ControlHost | None:
        for host in self.control.values():
            if host.leadership and host.agreement.is_leader:
                return host
        return None

    async def until(self, condition, timeout_s: float = 20.0):
        """Wait for a condition and return its value."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            await asyncio.sleep(0.01)
        raise AssertionError(f"condition not met in {timeout_s:g} s")

    async def established(self, above: int = 0, service: str = "ledger"):
        """Wait until every entry host knows a term above `above`."""

        def found():
            records = [e.state.services.get(service) for e in self.entries]
            if all(r and r.term > above for r in records):
                return records[0]
            return None

        return await self.until(found)
