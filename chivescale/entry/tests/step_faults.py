"""Injection of one fault at each packet of a request in turn.

The packets between entry host e1 and the endpoints are counted while a
request runs; the fault is injected at the selected packet.
"""

import asyncio
import time

from chivescale.entry.tests.random_system import SERVICE, running_world
from chivescale.entry.tests.workload import Session, is_not_run
from chivescale.errors import is_failure

ENTRY_HOST = "e1"
FREEZE_S = 2.5
# More than the number of packets of any request; a case beyond the last
# packet would run without a fault.
MAX_PACKETS = 60


class FaultTrigger:
    """Packet hook that injects a fault at one packet of a request."""

    def __init__(self, world, fault: str, packet: int):
        self.world = world
        self.fault = fault
        self.packet = packet
        self.count = 0
        self.triggered = False
        self.kill: asyncio.Task | None = None

    def __call__(self, sender: str, receiver: str) -> bool:
        """Count a packet; return whether it is lost."""
        pair = {sender, receiver}
        if ENTRY_HOST not in pair or not pair & set(self.world.endpoints):
            return False
        self.count += 1
        if self.count != self.packet:
            return False
        self.triggered = True
        return self._apply()

    def _apply(self) -> bool:
        world, network = self.world, self.world.network
        primary = world.entry[ENTRY_HOST].services.by_name[SERVICE].view.record
        if self.fault == "lose":
            return True
        if self.fault == "kill":
            self.kill = network.spawn(world.kill(primary.primary))
            return True
        if self.fault == "isolate":
            network.isolated.add(ENTRY_HOST)
            return True
        network.frozen[primary.primary] = time.monotonic() + FREEZE_S
        return False


async def _run_case(world, operation: str, fault: str, packet: int) -> bool:
    """Run one case; return False if the request had fewer packets."""
    session = Session(world, 1, "mill")
    session.only_host = ENTRY_HOST
    while session.caller is None:
        await session._connect()
        await asyncio.sleep(0.05)
    trigger = FaultTrigger(world, fault, packet)
    world.network.drop_packet = trigger
    numbers, answer = await session.perform(operation)
    world.network.drop_packet = None
    if session.caller is not None:
        await session._disconnect()
    if trigger.kill is not None:
        await trigger.kill
    await world.heal()
    await _wait_for_primary(world)
    rows = await Session(world, 2, "mill").read_all()
    seen = [int(row[0]) for row in rows]
    counts = [seen.count(number) for number in numbers]
    case = f"{operation} {fault} at packet {packet}: {answer} {counts}"
    if not is_failure(answer):
        assert counts == [1] * len(counts), case
    elif is_not_run(answer):
        assert counts == [0] * len(counts), case
    else:
        assert len(set(counts)) == 1 and counts[0] <= 1, case
    world.checker.outcomes["confirmed"] += not is_failure(answer)
    world.checker.outcomes["failed"] += is_failure(answer)
    return trigger.triggered


async def _wait_for_primary(world) -> None:
    """Wait until all entry hosts know the same working primary."""
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
    raise AssertionError("no primary known to all entry hosts after 40 s")


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
        if not await _run_case(world, operation, fault, packet):
            break
        world.checker.outcomes["cases"] += 1


def run_step_faults(
    seed: int, operation: str, fault: str, stride: int = 1
) -> dict:
    """Inject a fault at every `stride`-th packet of an operation.

    Parameters
    ----------
    seed : int
        Seed of the simulated system.
    operation : {"write", "keyed", "transaction"}
        Operation of the caller.
    fault : {"lose", "kill", "isolate", "freeze"}
        Fault to inject.
    stride : int, optional
        Distance between two packets under test.

    Returns
    -------
    dict
        Number of cases and outcomes.
    """
    with running_world(seed) as (loop, world):
        loop.run_until_complete(_run(world, operation, fault, stride))
        assert not world.network.errors, world.network.errors
        return dict(world.checker.outcomes)
