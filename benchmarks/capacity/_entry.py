"""Cost of an entry host's own duties, without the network."""

import asyncio
import functools
import time

import msgspec

from benchmarks.capacity import _records as records
from benchmarks.capacity._clock import cpu_us, memory_bytes, point
from chivescale import session as decisions
from chivescale.entry._probes import Probes
from chivescale.entry._services import Services
from chivescale.messages import (
    EndpointStatus,
    Heartbeat,
    HeartbeatReply,
    Lease,
    Position,
    RegisterEndpoint,
    RegisterHost,
    decode,
    encode,
)
from chivescale.settings import FailoverSettings, PoolSettings
from chivescale.state import ClusterState
from chivescale.transport import Client

SERVICES = (50, 100, 200, 400)
HOSTS = (25, 50, 100, 200)
WATCHED = (5, 10, 20, 40)
INTERVALS_MS = (100, 400)
SHARED = (1, 8, 32, 128)
PROBE_S = 1.5


async def _no_connect(record, deadline):
    raise AssertionError("no connection is opened here")


def _services(state) -> Services:
    made = Services(Client(b"x"), _no_connect, PoolSettings())
    made.update(state)
    return made


class StatusClient:
    """Answers every question at once with the status of the endpoint."""

    def __init__(self, group: int = 3):
        self.statuses = {}
        for number in range(max(WATCHED) * group):
            status = records.status(number, group)
            self.statuses[status.admin_address] = status
        self.calls = 0

    async def call(self, address, *_request, **_options) -> EndpointStatus:
        """Return the status at an address."""
        self.calls += 1
        return self.statuses[address]


def _probes(state, client, interval_ms: int = 100) -> Probes:
    settings = FailoverSettings(probe_interval_ms=interval_ms)
    name = records.host(0).host
    return Probes(name, client, None, settings, lambda status: None)


def state_changes():
    """Measure taking over one changed endpoint or host."""
    for count in SERVICES:
        state = records.cluster(hosts=20, services=count)
        services = _services(state)
        flip = iter(range(1 << 60))

        def change(state=state, flip=flip):
            record = msgspec.structs.replace(
                records.endpoint(5), slots=2 + next(flip) % 2
            )
            state.apply(state.index + 1, RegisterEndpoint(record))

        def taken(change=change, services=services, state=state):
            change()
            services.update(state)

        runs = cpu_us(taken, 3)
        yield point("entry.services_change", "services", count, "us", runs)
        probes = _probes(state, StatusClient())
        probes._spawn = lambda coroutine: coroutine.close()
        probes.update(state)

        def watched(change=change, probes=probes, state=state):
            change()
            probes.update(state)

        runs = cpu_us(watched, 3)
        yield point("entry.probes_change", "services", count, "us", runs)
    for count in HOSTS:
        state = records.cluster(hosts=count, services=20)
        probes = _probes(state, StatusClient())
        probes._spawn = lambda coroutine: coroutine.close()
        probes.update(state)
        flip = iter(range(1 << 60))

        def host_changed(state=state, probes=probes, flip=flip):
            record = msgspec.structs.replace(
                records.host(5), incarnation=f"{next(flip):016x}"
            )
            state.apply(state.index + 1, RegisterHost(record))
            probes.update(state)

        runs = [run / 20 for run in cpu_us(host_changed, 3)]
        yield point("entry.watchers_of", "hosts", count, "us", runs)


def memory():
    """Measure the memory of services with three endpoints each."""
    for count in SERVICES:
        data = records.cluster(services=count).to_bytes()
        state = ClusterState.from_bytes(data)
        used = memory_bytes(functools.partial(_services, state))
        yield point("entry.service_memory", "services", count, "B", [used])


def heartbeats():
    """Measure making a heartbeat and taking its reply, by endpoints."""
    for count in SERVICES:
        services = _services(records.cluster(services=count))
        record = records.host(1)
        reply = encode(
            HeartbeatReply(
                tuple(
                    Lease(gate.record.endpoint, 2) for gate in services.gates()
                )
            )
        )

        def beat(services=services, record=record, reply=reply):
            services.expire_leases()
            message = Heartbeat(
                record, 1000, services.held(), services.wanted()
            )
            encode(message)
            services.apply_leases(decode(reply, HeartbeatReply).leases, 3.0)

        endpoints = count * 3
        runs = cpu_us(beat)
        yield point("entry.heartbeat", "endpoints", endpoints, "us", runs)


async def _probe_cpu(state, services: int, interval_ms: int):
    """Return processor time and probes per second."""
    client = StatusClient()
    probes = _probes(state, client, interval_ms)
    probes.update(state)
    task = asyncio.ensure_future(probes.run())
    await asyncio.sleep(0.3)
    before, used = client.calls, time.thread_time()
    started = time.monotonic()
    await asyncio.sleep(PROBE_S)
    wall = time.monotonic() - started
    used = time.thread_time() - used
    calls = client.calls - before
    task.cancel()
    probes.close()
    return used / wall * 1e6, calls / wall


async def probes():
    """Measure watching by services watched, at two intervals."""
    points = []
    for count in WATCHED:
        state = records.cluster(hosts=1, services=count)
        for interval_ms in INTERVALS_MS:
            runs = [
                await _probe_cpu(state, count, interval_ms) for _ in range(2)
            ]
            name = f"entry.probes_{interval_ms}"
            cpu, rate = zip(*runs, strict=True)
            points.append(point(name, "services", count, "us", cpu))
            name = f"entry.probe_rate_{interval_ms}"
            points.append(point(name, "services", count, "1/s", rate))
    return points


def barriers():
    """Measure one shared barrier round and one shared confirmation."""
    state = records.cluster(services=1)
    record = state.services[records.service(0)]
    term = decisions.TermChanged(
        record.voters, record.incarnations, record.primary, record.term
    )
    replicas = [records.status(1), records.status(2)]
    for count in SHARED:
        numbers = iter(range(1, 1 << 60))
        machine = decisions.Barriers(term)

        def round_(machine=machine, numbers=numbers, count=count):
            asked = []
            for _ in range(count):
                asked += machine.step(
                    decisions.ReadArrived(next(numbers), 1e9), 1.0
                )
            while machine.rounds:
                number = next(iter(machine.rounds))
                for status in replicas:
                    machine.step(
                        decisions.StatusReceived(
                            number, status.endpoint, status
                        ),
                        1.0,
                    )

        runs = [run / count for run in cpu_us(round_)]
        yield point("entry.barrier", "reads", count, "us", runs)
        positions = iter(range(2_000_000, 1 << 60))
        waits = decisions.Confirmations(record)

        def confirm(
            waits=waits, numbers=numbers, count=count, positions=positions
        ):
            last = Position(7, 0)
            for _ in range(count):
                last = Position(7, next(positions))
                waits.step(
                    decisions.WriteAccepted(next(numbers), last, 1e9), 1.0
                )
            for status in (records.status(0), *replicas):
                held = msgspec.structs.replace(status, last=last)
                event = decisions.PositionReceived(status.endpoint, held)
                waits.step(event, 1.0)
            assert not waits.waits

        runs = [run / count for run in cpu_us(confirm)]
        yield point("entry.confirmation", "writes", count, "us", runs)


async def _all():
    found = list(state_changes()) + list(memory()) + list(heartbeats())
    return found + await probes() + list(barriers())


def measure():
    """Return all points."""
    return asyncio.run(_all())
