"""Cost of a committed entry in a group of five members."""

import pathlib
import statistics
import tempfile
import time

from benchmarks.capacity._clock import point
from chivescale import agreement as ag
from chivescale.agreement.tests import fakes
from chivescale.messages import encode

MEMBERS = 5
SEED = 1
ENTRIES = (100, 200, 400, 800)
PAYLOADS = (100, 1000, 4000, 16000)
SIZES = (3, 5, 7, 9)
IDLE_S = 20.0
SYNCS = 60


class MeteredWorld(fakes.World):
    """Counts processor time of the machines and bytes of the messages.

    Checks and disks of the test world are left out, because their cost
    grows with the entries of a run.
    """

    def __init__(self, names):
        self.used_s: dict[str, float] = dict.fromkeys(names, 0.0)
        self.sent_bytes = self.sent = 0
        super().__init__(SEED, names)

    def _step(self, host, event) -> None:
        machine, events = host.machine, [event]
        while events:
            started = time.process_time()
            effects = machine.step(events.pop(0), self.now * host.rate)
            self.used_s[host.name] += time.process_time() - started
            for effect in effects:
                events += self._execute(host, effect)
        host.wakeup = machine.next_wakeup() / host.rate + 1e-6

    def _execute(self, host, effect) -> list:
        match effect:
            case ag.Persist() | ag.SaveSnapshot() | ag.Appended():
                return []
            case ag.Apply(entry):
                host.state.append(entry.index)
                return []
            case ag.TakeSnapshot(index):
                return [ag.SnapshotTaken(index, b"")]
        return super()._execute(host, effect)

    def _transmit(self, message) -> None:
        self.sent += 1
        self.sent_bytes += len(encode(message))
        super()._transmit(message)


def _elected(members: int = MEMBERS) -> MeteredWorld:
    world = MeteredWorld(tuple(f"c{n}" for n in range(members)))
    assert world.run(10, lambda: world.leader() is not None)
    world.run(1)
    return world


def _commit(world: MeteredWorld, entries: int, payload: int) -> dict:
    """Commit entries one by one; return what the group used for them."""
    leader = world.leader()
    before = dict(world.used_s), world.sent_bytes, world.sent, world.now
    for number in range(entries):
        event = ag.Propose(10**9 + number, (b"x" * payload,))
        world._step(leader, event)
        index = leader.machine.log.last_index
        world.run(1, lambda at=index: leader.machine.applied >= at)
    world.run(0.1)
    used = {n: s - before[0][n] for n, s in world.used_s.items()}
    mine = used.pop(leader.name)
    return {
        "leader": mine * 1e6,
        "follower": statistics.mean(used.values()) * 1e6,
        "bytes": world.sent_bytes - before[1],
        "messages": world.sent - before[2],
        "seconds": world.now - before[3],
    }


def measure():
    """Return cost by entries, payload and members, and of a sync."""
    for entries in ENTRIES:
        runs = [_commit(_elected(), entries, 300) for _ in range(3)]
        for key, unit in (
            ("leader", "us"),
            ("follower", "us"),
            ("bytes", "B"),
            ("messages", "messages"),
        ):
            values = [run[key] for run in runs]
            name = f"agreement.entries_{key}"
            yield point(name, "entries", entries, unit, values)
    for payload in PAYLOADS:
        runs = [_commit(_elected(), 50, payload) for _ in range(3)]
        values = [run["bytes"] / 50 for run in runs]
        yield point("agreement.payload_bytes", "bytes", payload, "B", values)
        values = [run["leader"] / 50 for run in runs]
        yield point("agreement.payload_leader", "bytes", payload, "us", values)
    for members in SIZES:
        yield from _idle(members)
    yield from _syncs()


def _idle(members: int):
    world = _elected(members)
    leader = world.leader().name
    used, sent, size = dict(world.used_s), world.sent, world.sent_bytes
    world.run(IDLE_S)
    mine = (world.used_s[leader] - used[leader]) / IDLE_S * 1e6
    others = sum(world.used_s.values()) - sum(used.values())
    theirs = (others / IDLE_S * 1e6 - mine) / (members - 1)
    rows = (
        ("leader", mine, "us"),
        ("follower", theirs, "us"),
        ("messages", (world.sent - sent) / IDLE_S, "messages"),
        ("bytes", (world.sent_bytes - size) / IDLE_S, "B"),
    )
    for key, value, unit in rows:
        name = f"agreement.idle_{key}"
        yield point(name, "members", members, unit, [value])


def _syncs():
    """Append and sync records of some size, in wall and processor time."""
    for payload in PAYLOADS:
        with tempfile.TemporaryDirectory() as folder:
            log = ag.DurableLog(pathlib.Path(folder) / "log")
            log.open()
            walls, used = [], time.process_time()
            for number in range(1, SYNCS + 1):
                entry = ag.Entry(index=number, term=1, data=b"x" * payload)
                started = time.perf_counter()
                assert log.append(ag.HardState(1, ""), (entry,)) is None
                assert log.sync() is None
                walls.append((time.perf_counter() - started) * 1e6)
            cpu = (time.process_time() - used) / SYNCS * 1e6
            log.close()
        name = "agreement.sync_wall"
        yield point(name, "bytes", payload, "us", walls)
        yield point("agreement.sync_cpu", "bytes", payload, "us", [cpu])
