"""Simulation of the complete system in one process under random faults.

The hosts, the control log, the failover and the stand-in endpoints are real;
only the network and the clock are simulated. ``run_random(seed, steps)``
raises AssertionError on the first violated guarantee.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import shutil
import tempfile
import time
import types
from unittest import mock

from chivescale.control import ControlHost
from chivescale.entry import EntryHost
from chivescale.entry._host import check_incarnation
from chivescale.entry.tests import fake_network as fake
from chivescale.entry.tests.virtual_time import virtual_time
from chivescale.entry.tests.workload import Checker, Session
from chivescale.errors import is_failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    SheetAnswer,
    SheetUpload,
    WorkspaceRecord,
)
from chivescale.settings import (
    ClusterSettings,
    ControlMember,
    HostSettings,
    ListenSettings,
    Settings,
)
from chivescale.sheet import format_sheet, make_sheet
from chivescale.telemetry import Metrics
from chivescale_standin._endpoint import Endpoint
from chivescale_standin._settings import StandinSettings

SERVICE = "ledger"
WORKSPACES = ("mill", "atelier")
ZONES = ("z1", "z2", "z3")
RECOVERY_TIME_S = 25.0


class _StubCallerServer:
    """Replaces `CallerServer`; callers use the handlers directly."""

    address = ""
    listener = None

    def __init__(self, handlers=None, tls=None, options=None):
        self.sessions = {}

    async def start(self, address: str) -> None:
        self.address = address

    def stop_accepting(self) -> None:
        pass

    async def close(self) -> None:
        pass


class World:
    """Simulated system: processes by name, their network and the checker."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.network = fake.Network(random.Random(seed + 1))
        self.folder = folder
        (folder / "secret").write_text("s" * 40)
        self.members = tuple(
            ControlMember(f"c{n}", f"c{n}:1") for n in range(1, 6)
        )
        self.control: dict[str, ControlHost] = {}
        self.entry: dict[str, EntryHost] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.checker = Checker()
        self.sheet_number = 0
        self.last_sheet_numbers: dict[str, int] = {}
        self.next_wipe_at = 0.0
        self.faults: collections.Counter[str] = collections.Counter()

    # processes

    def _settings(self, name: str, role: str) -> Settings:
        control = role == "control"
        listen = ListenSettings(
            control_api=f"{name}:1" if control else "",
            api="" if control else f"{name}:1",
            mysql="" if control else f"{name}:2",
        )
        number = int(name[1:])
        self.network.zones[name] = ZONES[number % len(ZONES)]
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        return Settings(
            HostSettings(name, self.network.zones[name], (role,), str(folder)),
            listen,
            ClusterSettings(str(self.folder / "secret"), self.members),
        )

    async def start_control(self, name: str) -> None:
        settings = self._settings(name, "control")
        self.network.building = name
        host = ControlHost(settings, b"s" * 40, Metrics())
        failure = await host.start()
        assert failure is None, failure
        self.control[name] = host

    async def start_entry(self, name: str) -> None:
        settings = self._settings(name, "entry")
        self.network.building = name
        host = EntryHost(settings, b"s" * 40, Metrics())

        async def connect(record, deadline):
            connection = await fake.connect(
                self.network, name, record, deadline
            )
            if is_failure(connection):
                return connection
            return await check_incarnation(connection, record, deadline)

        host.services.connect = connect
        await host.start()
        self.entry[name] = host

    async def start_endpoint(self, name: str) -> None:
        self.network.zones[name] = ZONES[int(name[1:]) % len(ZONES)]
        self.network.building = name
        settings = StandinSettings(
            name,
            SERVICE,
            str(self.folder / name),
            str(self.folder / "secret"),
            self.network.zones[name],
            f"{name}:2",
            f"{name}:1",
            announce_to=("e1:1", "e2:1", "e3:1"),
        )
        endpoint = Endpoint(settings)
        endpoint.admin.runner = types.SimpleNamespace(addresses=[(name, 1)])
        endpoint.group.store.writer.execute("PRAGMA synchronous=OFF")
        await endpoint.start()
        self.network.sql[f"{name}:2"] = types.SimpleNamespace(
            name=name, side=endpoint.sql
        )
        self.endpoints[name] = endpoint

    async def kill(self, name: str) -> None:
        """Terminate a process abruptly."""
        self.network.stop(name)
        for table, end in (
            (self.control, "stop"),
            (self.entry, "stop"),
            (self.endpoints, "close"),
        ):
            host = table.pop(name, None)
            if host is not None:
                await getattr(host, end)()

    async def restart(self, name: str) -> None:
        """Restart a killed process with its data folder."""
        kind = {"c": "control", "e": "entry", "d": "endpoint"}[name[0]]
        await getattr(self, f"start_{kind}")(name)

    # sheets

    async def upload_sheet(self, number: int, rate: float) -> object:
        """Upload a sheet, trying the control hosts in random order."""
        sheet = make_sheet(
            [ServiceRecord(SERVICE, 3)],
            [
                WorkspaceRecord(
                    name, "0" * 40, (ServiceBinding(SERVICE),), max_rate=rate
                )
                for name in WORKSPACES
            ],
        )
        upload = SheetUpload(number, format_sheet(sheet))
        self.network.building = "operator"
        client = fake.client_class(self.network)(b"")
        answer = None
        for member in self.rng.sample(self.members, len(self.members)):
            answer = await client.call(
                member.address,
                "POST",
                "/v1/sheet",
                SheetAnswer,
                upload,
                timeout_s=3.0,
            )
            if not is_failure(answer):
                self.checker.sheet_accepted(number, rate, time.monotonic())
                break
        return answer

    def check_sheets(self) -> None:
        """Check that no host reverts to an older sheet."""
        for name, host in self.entry.items():
            sheet = host.watch.state.sheet
            number = sheet.number if sheet else 0
            if not host.watch.ready.is_set():
                continue
            previous = self.last_sheet_numbers.get(name, 0)
            assert number >= previous, (
                f"{name}: sheet {number} after {previous}"
            )
            self.last_sheet_numbers[name] = number

    # run

    async def start(self) -> None:
        for member in self.members:
            await self.start_control(member.name)
        for number in range(1, 4):
            await self.start_entry(f"e{number}")
            await self.start_endpoint(f"d{number}")
        while is_failure(await self.upload_sheet(1, 0.0)):
            await asyncio.sleep(0.1)
        self.sheet_number = 1
        while not self._terms_agree():
            await asyncio.sleep(0.1)

    def _terms_agree(self) -> bool:
        terms = [
            host.services.by_name[SERVICE].view.record.term
            if SERVICE in host.services.by_name
            else 0
            for host in self.entry.values()
        ]
        return len(set(terms)) == 1 and terms[0] > 0

    async def heal(self) -> None:
        """Remove all faults and restart stopped processes."""
        network = self.network
        network.cuts.clear()
        network.isolated.clear()
        network.frozen.clear()
        network.silent.clear()
        network.loss = 0.0
        names = [member.name for member in self.members]
        names += [f"{kind}{n}" for kind in "ed" for n in (1, 2, 3)]
        for name in names:
            table = {
                "c": self.control,
                "e": self.entry,
                "d": self.endpoints,
            }[name[0]]
            if name not in table:
                await self.restart(name)
        for endpoint in self.endpoints.values():
            endpoint.faults.clear()


FAULTS = (
    "kill",
    "freeze",
    "cut",
    "isolate",
    "lag",
    "silence",
    "loss",
    "sheet",
)


async def _inject(world: World, fault: str) -> None:
    """Inject one random fault; some faults end after a random time."""
    rng, network = world.rng, world.network
    world.faults[fault] += 1
    running = [*world.control, *world.entry, *world.endpoints]
    name = rng.choice(running)
    if fault == "kill":
        await world.kill(name)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        await world.restart(name)
    elif fault == "wipe":
        await _wipe_endpoint(world)
    elif fault == "freeze":
        network.frozen[name] = time.monotonic() + rng.uniform(0.1, 4.0)
    elif fault == "cut":
        pair = frozenset(rng.sample(ZONES, 2))
        network.cuts.add(pair)
        await asyncio.sleep(rng.uniform(0.2, 6.0))
        network.cuts.discard(pair)
    elif fault == "isolate":
        network.isolated.add(name)
        await asyncio.sleep(rng.uniform(0.2, 8.0))
        network.isolated.discard(name)
    elif fault == "lag":
        endpoint = rng.choice(list(world.endpoints.values()))
        endpoint.faults.lag_s = rng.choice((0.0, 0.01, 0.2, 2.0))
    elif fault == "silence":
        other = rng.choice(running)
        network.silence_connections(name, other)
    elif fault == "loss":
        network.loss = rng.choice((0.0, 0.01, 0.05))
    else:
        await _upload_conflicting_sheets(world)


async def _wipe_endpoint(world: World) -> None:
    """Delete the data of an endpoint.

    Wipes are spaced out: two lost disks within the time needed to readmit an
    endpoint can destroy every copy of a write, which no protocol with three
    copies can prevent.
    """
    now = time.monotonic()
    if now < world.next_wipe_at or len(world.endpoints) < 3:
        return
    world.next_wipe_at = now + 30.0
    name = world.rng.choice(list(world.endpoints))
    await world.kill(name)
    shutil.rmtree(world.folder / name)
    await asyncio.sleep(world.rng.uniform(0.0, 1.0))
    await world.restart(name)


async def _upload_conflicting_sheets(world: World) -> None:
    """Upload two different sheets with the same number concurrently."""
    world.sheet_number += 1
    number = world.sheet_number
    rates = [1000.0 + number, 2000.0 + number]
    await asyncio.gather(*(world.upload_sheet(number, rate) for rate in rates))


async def _run(world: World, steps: int, faults) -> None:
    await world.start()
    sessions = [
        Session(world, number, WORKSPACES[number % 2]) for number in range(6)
    ]
    session_tasks = [asyncio.ensure_future(each.run()) for each in sessions]
    injections = []
    for _ in range(steps):
        await asyncio.sleep(world.rng.uniform(0.05, 2.0))
        fault = world.rng.choice(faults)
        injections.append(asyncio.ensure_future(_inject(world, fault)))
        world.check_sheets()
        _raise_task_errors(session_tasks + injections)
        assert not world.network.errors, world.network.errors
    await asyncio.gather(*injections)
    await world.heal()
    await _wait_and_check(world)
    for each in sessions:
        each.stopping = True
    await asyncio.gather(*session_tasks)
    await _final_check(world)


def _raise_task_errors(tasks) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            task.result()


async def _wait_and_check(world: World) -> None:
    until = time.monotonic() + RECOVERY_TIME_S
    while time.monotonic() < until:
        await asyncio.sleep(0.2)
        world.check_sheets()


async def _final_check(world: World) -> None:
    """Compare the stored data with the outcomes reported to callers."""
    assert world._terms_agree(), "entry hosts disagree on the term"
    reader = Session(world, 99, WORKSPACES[0])
    rows = await reader.read_all()
    world.checker.check_final(rows)
    numbers = {
        name: host.watch.state.sheet.number
        for name, host in world.entry.items()
    }
    world.checker.check_sheets(numbers, world.entry)


def run_random(seed: int, steps: int, faults=FAULTS) -> dict:
    """Run one random simulation.

    Parameters
    ----------
    seed : int
        Seed of faults, delays and workload.
    steps : int
        Number of faults to inject.
    faults : tuple of str, optional
        Kinds of faults to choose from.

    Returns
    -------
    dict
        Counts of outcomes and faults.
    """
    with running_world(seed) as (loop, world):
        loop.run_until_complete(_run(world, steps, faults))
        return {**world.checker.outcomes, **world.faults}


@contextlib.contextmanager
def running_world(seed: int):
    """Yield an event loop in virtual time and a simulated system on it."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        loop = stack.enter_context(virtual_time(seed))
        asyncio.set_event_loop(loop)
        world = World(seed, pathlib.Path(folder))
        for patch in _patches(world.network):
            stack.enter_context(patch)
        yield loop, world


def _patches(network):
    client = fake.client_class(network)
    server = fake.server_class(network)
    modules = (
        "chivescale.entry._host",
        "chivescale.control._host",
        "chivescale_standin._endpoint",
    )
    for module in modules:
        yield mock.patch(f"{module}.Client", client)
        yield mock.patch(f"{module}.Server", server)
    yield mock.patch(
        "chivescale_standin._endpoint.CallerServer", _StubCallerServer
    )
    yield mock.patch("chivescale.mysql.CallerServer", _StubCallerServer)
    yield mock.patch("os.fsync", lambda descriptor: None)
