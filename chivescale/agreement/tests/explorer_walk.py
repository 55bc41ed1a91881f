"""Walks of all short orders, random long orders, and the shortest failure."""

import collections.abc
import itertools
import random
import re
import time

import msgspec

from chivescale.agreement.tests import explorer
from chivescale.agreement.tests.explorer import Event, Failed, Run

# Alphabet of the full walk: what loses machines or disks, and what makes a
# member lag. Random orders use all kinds.
WALK_SLOT_KINDS = ("planned", "unplanned", "wipe", "kill")
WALK_TARGETS = ("leader", "follower")
WALK_GROUP_KINDS = ("power", "halves", "many")
RANDOM_KINDS = (
    explorer.SLOT_KINDS
    + explorer.GROUP_KINDS
    + explorer.DISK_KINDS * 2
    + ("power", "halves", "kill")
)
# Resolution of times in a fingerprint, in seconds.
AGE_STEP_S = 1.0
LOG_STEP_BYTES = 1 << 18


class Found(msgspec.Struct):
    """A failing order, shrunk to its shortest.

    Attributes
    ----------
    seed, size : int
        Seed of the world and number of control hosts.
    order : tuple of Event
        Shortest order found.
    reason : str
        What failed.
    origin : str
        First order that shrank to this one.
    count : int
        Failing orders that shrank to this one, or that contain its kinds in
        sequence and failed alike.
    """

    seed: int
    size: int
    order: tuple[Event, ...]
    reason: str
    origin: str
    count: int = 1

    def row(self) -> str:
        """Return the order as a row of the feature."""
        text = explorer.format_order(self.order)
        return f"| {self.size} | {self.seed} | {text} |"


class Report(msgspec.Struct):
    """Figures of an exploration."""

    orders: int = 0
    states: int = 0
    known_states: int = 0
    steps: int = 0
    failed: int = 0
    seconds: float = 0.0
    found: dict[str, Found] = msgspec.field(default_factory=dict)

    def add_failure(self, seed, size, order, reason: str) -> None:
        """Shrink a failing order and count it."""
        self.failed += 1
        origin = explorer.format_order(order)
        for found in self.found.values():
            alike = category(found.reason) == category(reason)
            if found.size == size and alike and _contains(order, found.order):
                found.count += 1
                return
        shortest, reason = shrink(seed, size, order, reason)
        found = Found(seed, size, shortest, reason, origin)
        key = explorer.format_order(shortest)
        if key in self.found:
            self.found[key].count += 1
        else:
            self.found[key] = found


def failure_of(seed: int, size: int, order) -> str:
    """Run an order; return what failed, empty if nothing."""
    try:
        explorer.run_order(seed, size, order)
    except Failed as err:
        return str(err)
    return ""


def _contains(order, part) -> bool:
    """Return whether an order has the kinds of another one in sequence."""
    kinds = iter(event.kind for event in order)
    return all(event.kind in kinds for event in part)


def category(reason: str) -> str:
    """Return a reason without names and numbers."""
    return re.sub(r"c?\d+", "N", reason)


def _simpler(order: tuple[Event, ...]) -> collections.abc.Iterator:
    """Yield simpler orders: without an event, or with a simpler one."""
    for i in range(len(order)):
        yield order[:i] + order[i + 1 :]
    for i, event in enumerate(order):
        variants = []
        if event.gap == "soon":
            variants += [msgspec.structs.replace(event, gap="ready")]
        if event.gap in ("soon", "ready"):
            variants += [msgspec.structs.replace(event, gap="calm")]
        if event.kind in ("wipe_power", "unplanned"):
            variants += [msgspec.structs.replace(event, kind="wipe")]
        simpler = {"same": ("follower", "leader"), "leader": ("follower",)}
        variants += [
            msgspec.structs.replace(event, target=target)
            for target in simpler.get(event.target, ())
        ]
        for variant in variants:
            yield (*order[:i], variant, *order[i + 1 :])


def shrink(seed: int, size: int, order, reason: str):
    """Return the shortest order that fails alike, and what fails then."""
    order = tuple(order)
    wanted = category(reason)
    found = True
    while found:
        found = False
        for candidate in _simpler(order):
            failure = failure_of(seed, size, candidate)
            if failure and category(failure) == wanted:
                order, reason, found = candidate, failure, True
                break
    return order, reason


# Random orders.


def random_order(
    rng: random.Random, length: int, without=()
) -> tuple[Event, ...]:
    """Return an order of random events of all kinds but `without`."""
    kinds = [kind for kind in RANDOM_KINDS if kind not in without]
    order = []
    for _ in range(length):
        kind = rng.choice(kinds)
        group = kind in explorer.GROUP_KINDS
        target = "all" if group else rng.choice(explorer.TARGETS)
        gap = rng.choice(("soon", "ready", "ready", "calm"))
        order.append(Event(gap, kind, target))
    return tuple(order)


def explore_random(
    seeds: collections.abc.Iterable[int],
    sizes: collections.abc.Sequence[int] = tuple(explorer.LOSSES),
    lengths: tuple[int, int] = (3, 10),
    seconds: float = float("inf"),
    without: collections.abc.Collection[str] = (),
) -> Report:
    """Run one random order for each seed until the time is over.

    Parameters
    ----------
    seeds : iterable of int
        Each seed determines size, length, order and world of one run.
    sizes : sequence of int
        Sizes of the group to choose from.
    lengths : tuple of int
        Least and greatest number of events.
    seconds : float
        Time after which no further order starts.
    without : collection of str
        Kinds of events that do not occur.
    """
    report = Report()
    start = time.monotonic()
    for seed in seeds:
        if time.monotonic() - start > seconds:
            break
        rng = random.Random(seed)
        size = rng.choice(sizes)
        order = random_order(rng, rng.randint(*lengths), without)
        report.orders += 1
        try:
            run = explorer.run_order(seed, size, order)
        except Failed as err:
            report.add_failure(seed, size, order, str(err))
        else:
            report.steps += run.world.deliveries
    report.seconds = time.monotonic() - start
    return report


# Full walk of short orders.


def alphabet(losses: int) -> list[Event]:
    """Return the events of the full walk."""
    pairs = list(itertools.product(WALK_SLOT_KINDS, WALK_TARGETS))
    pairs += [(kind, "all") for kind in WALK_GROUP_KINDS]
    events = [
        Event(gap, kind, target)
        for kind, target in pairs
        for gap in explorer.GAPS
    ]
    return events


def fingerprint(run: Run) -> tuple:
    """Return what distinguishes a state, with coarse times and sizes.

    Slots are told apart only by their role, and equal states are walked
    once, from the shortest order that leads to them.
    """
    world = run.world
    leader = world.leader()
    current = leader and leader.machine.configuration
    slots = []
    for slot, name in enumerate(world.slots):
        host = world.hosts[name]
        member = current and current.find(name, host.disk.incarnation)
        lag = 0
        if leader is not None and host.machine is not None:
            behind = leader.machine.commit - host.machine.applied
            lag = behind.bit_length()
        slots.append(
            (
                leader is host,
                slot == run.last_slot,
                _age(run.lost_until[slot] - world.now),
                host.machine is not None,
                _age(host.frozen_until - world.now),
                member.voter if member else None,
                lag,
            )
        )
    group = ()
    if leader is not None:
        machine = leader.machine
        roster = leader.roster
        others = [m for m in current.members if m.name not in world.slots]
        log = machine.log
        size = sum(len(entry.data) for entry in log.entries)
        group = (
            sorted(name in world.slots for name in roster.leaving),
            len(roster.missing),
            sorted(m.voter for m in others),
            sorted(
                _age(world.now - at)
                for at in roster.unreachable_since.values()
            ),
            min(size // LOG_STEP_BYTES, 8),
            log.snapshot is not None,
            sorted(name in world.slots for name in machine.seen),
        )
    pending = sorted(
        (event[0], _age(at - world.now))
        for at, _, event in world.queue
        if isinstance(event, tuple)
        and event[0] in ("start", "terminate", "leave", "join_links")
    )
    return repr((sorted(slots, key=repr), group, pending))


def _age(seconds: float) -> int:
    return max(0, round(seconds / AGE_STEP_S))


def walk(
    seed: int, size: int, depth: int, seconds: float = float("inf")
) -> Report:
    """Run every order of up to `depth` events of the alphabet.

    The walk goes on, breadth first, from each state that was not reached by
    a shorter order. It does not go on from an order that failed.
    """
    report = Report(states=1)
    start = time.monotonic()
    run = explorer.new_run(seed, size)
    events = alphabet(run.losses)
    known = {fingerprint(run)}
    level = [((), run)]
    for at_depth in range(1, depth + 1):
        following = []
        for order, parent in level:
            for event in events:
                if time.monotonic() - start > seconds:
                    report.seconds = time.monotonic() - start
                    return report
                child = _extend(report, seed, size, order, parent, event)
                if child is None or at_depth == depth:
                    continue
                print_of = fingerprint(child)
                if print_of in known:
                    report.known_states += 1
                    continue
                known.add(print_of)
                report.states += 1
                following.append(((*order, event), child))
        level = following
    report.seconds = time.monotonic() - start
    return report


def _extend(report, seed, size, order, parent: Run, event) -> Run | None:
    """Apply an event to a copy; return it if the order did not fail."""
    child = parent.fork()
    extended = (*order, event)
    try:
        if not explorer.apply_event(child, event):
            # The same as with the gap `ready`.
            return None
        report.orders += 1
        ended = child.fork()
        explorer.finish(ended)
        report.steps += ended.world.deliveries - parent.world.deliveries
    except Failed as err:
        report.add_failure(seed, size, extended, str(err))
        return None
    return child
