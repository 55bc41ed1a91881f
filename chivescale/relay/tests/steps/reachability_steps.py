"""Steps for a host that polls coordinators which disagree."""

import asyncio
import random
import zlib

from behave import given, then, when

from chivescale.catalog import Catalog, ServiceOptions
from chivescale.errors import ErrorKind, Failure
from chivescale.messages import EndpointUpdate, WatchAnswer, encode
from chivescale.registry import EndpointBeat, Registry
from chivescale.relay import RelayHost, RelaySettings

SEEDS = ("c1", "c2", "c3")
NO_QUORUM_S = 10.0
SAMPLE_S = 0.01


def beat(sequence: int) -> EndpointBeat:
    return EndpointBeat(
        "e1", "s1", "127.0.0.1:1", "z1", 1, False, True, 1, sequence
    )


class FakeCoordinators:
    """HTTP client of coordinators with one registry each.

    Attributes
    ----------
    unaware : int
        Coordinators that hear no heartbeat after the first one.
    """

    def __init__(self):
        self.unaware = 0
        self.sequence = 1
        self.age_s = 0.0
        self.registries = {seed: Registry() for seed in SEEDS}
        for registry in self.registries.values():
            registry.record_heartbeat(beat(1), 0.0)

    def pass_time(self) -> None:
        """Let the silence of the primary expire where it is not heard."""
        self.age_s = NO_QUORUM_S
        for seed in SEEDS[self.unaware :]:
            self.registries[seed].record_heartbeat(beat(31), 31.0)
        for registry in self.registries.values():
            registry.expire(32.0)

    async def call(self, address, method, path, reply_type, body, **options):
        """Answer a poll at once."""
        await asyncio.sleep(0.005)
        registry = self.registries[address]
        updates = tuple(
            EndpointUpdate(entry.heartbeat, 1.0)
            for entry in registry.changed_since(-1)
        )
        catalog = zlib.compress(
            encode(Catalog(1, (), (ServiceOptions("s1", 50),)))
        )
        return WatchAnswer(
            address, 1, catalog, updates, {}, "", self.age_s, 1, (), ()
        )


async def confirm_position(service):
    """Stand for a primary that answers as long as the host knows it."""
    if service.endpoints:
        return None
    return Failure(ErrorKind.NO_PRIMARY, "no primary")


async def poll(host, coordinators, seconds: float) -> tuple[int, int]:
    """Return how often reachability changed and the primary was lost."""
    readiness, known = [], []
    tasks = [
        asyncio.ensure_future(run())
        for run in (host.follower.run, host.isolation_monitor.run)
    ]
    while not (host.catalog and host.by_id):
        await asyncio.sleep(SAMPLE_S)
    coordinators.pass_time()
    for _ in range(round(seconds / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        readiness.append(host.isolation_monitor.isolated_since is None)
        known.append(bool(host.by_id))
    for task in tasks:
        task.cancel()
    return (
        sum(a != b for a, b in zip(readiness, readiness[1:], strict=False)),
        sum(a and not b for a, b in zip(known, known[1:], strict=False)),
    )


@given("a host that uses a primary and polls coordinators without a quorum")
def polling_host(context):
    context.coordinators = FakeCoordinators()


@given("{count:d} of 3 coordinators consider the primary silent")
def unaware(context, count):
    context.coordinators.unaware = count


@when("the host polls them in turn for {seconds:d} s")
def polls(context, seconds):
    async def work():
        settings = RelaySettings("h1", "z1", "", SEEDS, 6.0)
        host = RelayHost(
            settings, context.coordinators, None, None, random.Random(1)
        )
        barriers = host.local_executor.read_barriers
        barriers.confirm_position = confirm_position
        return await poll(host, context.coordinators, seconds)

    context.changes, context.forgotten = asyncio.run(work())


@then("the host changes its reachability {count:d} times")
def changes_match(context, count):
    assert context.changes == count, (context.changes, context.forgotten)


@then("the host forgets the primary {count:d} times")
def forgotten_match(context, count):
    assert context.forgotten == count, context.forgotten
