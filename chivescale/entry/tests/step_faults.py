"""One fault at every packet of a request, one after the other.

The packets between entry host e1 and the endpoints are counted while a
request runs; the fault strikes at the chosen one.
"""

import asyncio
import time

from chivescale.entry.tests.random_system import SERVICE, running_world
from chivescale.entry.tests.workload import Session, is_denied
from chivescale.errors import is_failure

HOST = "e1"
FREEZE_S = 2.5
# Longer than any request takes in packets; cases beyond the last packet
# would run without a fault.
MAX_PACKETS = 60


class Trap:
    """Applies a fault at one packet of a request."""

    def __init__(self, world, fault: str, packet: int):
        self.world = world
        self.fault = fault
        self.packet = packet
        self.count = 0
        self.struck = False
        self.kill: asyncio.Task | None = None

    def __call__(self, one: str, other: str) -> bool:
        """Count a packet; true loses it."""
        pair = {one, other}
        if HOST not in pair or not pair & set(self.world.endpoints):
            return False
        self.count += 1
        if self.count != self.packet:
            return False
        self.struck = True
        return self._strike()

    def _strike(self) -> bool:
        world, network = self.world, self.world.network
        primary = world.entry[HOST].services.by_name[SERVICE].view.record
        if self.fault == "lose":
            return True
        if self.fault == "kill":
            self.kill = network.spawn(world.kill(primary.primary))
            return True
        if self.fault == "isolate":
            network.isolated.add(HOST)
            return True
        network.frozen[primary.primary] = time.monotonic() + FREEZE_S
        return False


async def _case(world, operation: str, fault: str, packet: int) -> bool:
    """Run one case; false if the request had fewer packets."""
    session = Session(world, 1, "mill")
    session.only = HOST
    while session.caller is None:
        await session._connect()
        await asyncio.sleep(0.05)
    trap = Trap(world, fault, packet)
    world.network.on_travel = trap
    numbers, answer = await session.perform(operation)
    world.network.on_travel = None
    if session.caller is not None:
        await session._disconnect()
    if trap.kill is not None:
        await trap.kill
    await world.heal()
    await _settle(world)
    rows = await Session(world, 2, "mill").read_all()
    seen = [int(row[0]) for row in rows]
    counts = [seen.count(number) for number in numbers]
    case = f"{operation} {fault} at packet {packet}: {answer} {counts}"
    if not is_failure(answer):
        assert counts == [1] * len(counts), case
    elif is_denied(answer):
        assert counts == [0] * len(counts), case
    else:
        assert len(set(counts)) == 1 and counts[0] <= 1, case
    world.checker.outcomes["confirmed"] += not is_failure(answer)
    world.checker.outcomes["failed"] += is_failure(answer)
    return trap.struck


async def _settle(world) -> None:
    """Wait until a primary is in office everywhere."""
    for _ in range(400):
        await asyncio.sleep(0.1)
        records = {
            host.services.by_name[SERVICE].view.record
            for host in world.entry.values()
            if SERVICE in host.services.by_name
        }
        if len(records) != 1:
            continue
        (record,) = records
        primary = world.endpoints.get(record.primary)
        if primary is not None and primary.group.is_primary():
            return
    raise AssertionError("no primary in office after 40 s")


async def _run(world, operation: str, fault: str, stride: int) -> None:
    await world.start()
    setup = Session(world, 1, "mill")
    while setup.caller is None:
        await setup._connect()
    await setup.perform("write")
    assert not is_failure(await setup._execute("SELECT id, owner FROM orders"))
    await setup.perform("keyed")
    await setup._disconnect()
    world.checker.outcomes.clear()
    for packet in range(1, MAX_PACKETS, stride):
        if not await _case(world, operation, fault, packet):
            break
        world.checker.outcomes["cases"] += 1


def run_step_faults(
    seed: int, operation: str, fault: str, stride: int = 1
) -> dict:
    """Strike at every packet of an operation, `stride` apart.

    Returns
    -------
    dict
        Number of cases and outcomes.
    """
    with running_world(seed) as (loop, world):
        loop.run_until_complete(_run(world, operation, fault, stride))
        assert not world.network.errors, world.network.errors
        return dict(world.checker.outcomes)
