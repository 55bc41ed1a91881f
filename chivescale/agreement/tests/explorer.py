"""Explorer of the orders of events that a group of coordinators must survive.

An order is a list of events, each with a target and the time before it.
Events keep the stated tolerance: `world.losses` slots at most are lost at a
time. A slot is lost while its machine is down, frozen or cut off, and until a
machine that is back or new has had its time to catch up. All machines may be
killed at once, and the group may be split, at any time.
"""

import collections.abc
import pickle

import msgspec

from chivescale.agreement.tests.explorer_hosts import LARGE_BYTES
from chivescale.agreement.tests.explorer_world import ControlWorld

# Losses that a group tolerates, by its size.
LOSSES = {3: 1, 4: 1, 6: 2, 8: 2}
CATCH_UP_S = 4.0
CALM_S = 20.0
FORMATION_S = 20.0
SOON_S = 0.3
RESTART_S = 0.73
REPLACE_S = 1.5
TERM_AFTER_S = 2.0
FAULT_S = 3.0
HALVES_S = 5.0
MANY_CHANGES = 150
COMPACTING_CHANGES = 520

GAPS = ("soon", "ready", "calm")
TARGETS = ("leader", "follower", "same")
SLOT_KINDS = (
    "planned",
    "unplanned",
    "wipe",
    "kill",
    "freeze",
    "cut",
    "cut_in",
    "cut_out",
    "wipe_power",
    "join_halves",
)
GROUP_KINDS = ("power", "halves", "seeds", "large", "many", "compact")
REPLACEMENTS = ("planned", "unplanned", "join_halves")
# Kinds that lose a disk, the only ones that a group cannot undo.
DISK_KINDS = (*REPLACEMENTS, "wipe", "wipe_power")


class Event(msgspec.Struct, frozen=True):
    """One event of an order.

    Attributes
    ----------
    gap : str
        Time before the event: ``soon`` (0.3 s), ``ready`` (no slot is lost)
        or ``calm`` (20 s without an event, and the group must be whole).
    kind : str
        One of `SLOT_KINDS` or `GROUP_KINDS`.
    target : str
        ``leader``, ``follower`` or ``same`` (the slot of the former event);
        ``all`` for `GROUP_KINDS`.
    """

    gap: str
    kind: str
    target: str = "all"


class Run(msgspec.Struct):
    """A world with the tolerance that its events keep.

    Attributes
    ----------
    lost_until : list of float
        Time until which each slot counts as lost.
    replaced_until : dict of int to float
        Time until which the successor in a slot has not had its time, so
        that the disk of the machine before it counts as lost as well.
    last_slot : int
        Slot of the former event.
    suspended_until : float
        End of the last split or power loss. A slot that is lost meanwhile
        has its time to catch up after that.
    events_end : float
        Time at which the effects of all events have ended.
    """

    world: ControlWorld
    losses: int
    lost_until: list[float]
    replaced_until: dict[int, float] = msgspec.field(default_factory=dict)
    last_slot: int = 0
    suspended_until: float = 0.0
    events_end: float = 0.0

    def lost(self) -> set[int]:
        """Return the slots that are lost now."""
        now = self.world.now
        return {i for i, at in enumerate(self.lost_until) if at > now}

    def fork(self) -> "Run":
        """Return an independent copy."""
        return pickle.loads(pickle.dumps(self))


class Failed(Exception):
    """An order that the group did not survive."""


def format_order(order: collections.abc.Sequence[Event]) -> str:
    """Return an order as text, the form of a row of the feature."""
    return ", ".join(
        f"{event.gap} {event.kind} {event.target}" for event in order
    )


def parse_order(text: str) -> tuple[Event, ...]:
    """Return the order that `format_order` wrote."""
    return tuple(Event(*part.split()) for part in text.split(", "))


def new_run(seed: int, size: int) -> Run:
    """Return a run whose group has formed and is whole."""
    losses = LOSSES[size]
    world = ControlWorld(seed, size, losses)
    run = Run(world, losses, [0.0] * size)
    _require_whole(run, FORMATION_S)
    return run


def _require_whole(run: Run, timeout_s: float) -> None:
    reason = run.world.settle(timeout_s)
    if reason:
        raise Failed(f"after {timeout_s:.0f} s of calm: {reason}")
    run.world.check_acknowledged()


def run_order(seed: int, size: int, order) -> Run:
    """Run an order from a formed group to its final checks.

    Raises
    ------
    Failed
        If the group is not whole after the calm or a check failed.
    """
    run = new_run(seed, size)
    for event in order:
        apply_event(run, event)
    finish(run)
    return run


def finish(run: Run) -> None:
    """Let all events end, then require a whole group after the calm."""
    try:
        run.world.run(max(0.0, run.events_end - run.world.now))
        _require_whole(run, CALM_S)
    except AssertionError as err:
        raise Failed(str(err)) from err


def apply_event(run: Run, event: Event) -> bool:
    """Wait as the event demands, then carry it out.

    Returns
    -------
    bool
        False if ``soon`` had to wait until the tolerance allows the event.
    """
    try:
        at_once = _wait(run, event)
        slot = _target(run, event.target)
        _acknowledge_one(run.world)
        _HANDLERS[event.kind](run, slot)
        if event.kind in REPLACEMENTS:
            run.replaced_until[slot] = run.lost_until[slot]
        run.events_end = max(run.events_end, run.world.now)
        run.world.write(10)
    except AssertionError as err:
        raise Failed(str(err)) from err
    return at_once


def _wait(run: Run, event: Event) -> bool:
    world = run.world
    if event.gap == "calm":
        world.run(max(0.0, run.events_end - world.now))
        start = world.now
        _require_whole(run, CALM_S)
        world.run(start + CALM_S - world.now)
    else:
        world.run(SOON_S)
    if event.gap == "ready":
        world.run(max(0.0, max(run.lost_until) + 0.05 - world.now))
    at_once = True
    while not _allowed(run, event):
        at_once = False
        later = [at for at in run.lost_until if at > world.now]
        world.run(min(later) + 0.05 - world.now)
    return at_once


def _allowed(run: Run, event: Event) -> bool:
    if event.kind in GROUP_KINDS:
        return True
    slot = _target(run, event.target)
    lost = len(run.lost() | {slot})
    if event.kind in DISK_KINDS:
        lost += run.replaced_until.get(slot, 0.0) > run.world.now
    return lost <= run.losses


def _target(run: Run, target: str) -> int:
    leader = run.world.slot_of_leader()
    if target == "same":
        return run.last_slot
    if target == "leader" and leader is not None:
        return leader
    lost = run.lost()
    slots = [i for i in range(len(run.lost_until)) if i != leader]
    return next((i for i in slots if i not in lost), slots[0])


def _acknowledge_one(world: ControlWorld) -> None:
    """Send a change; the event comes right after its acknowledgement."""
    sent = world.write(10)
    if sent:
        world.run(0.5, lambda: sent[0] in world.acknowledged)


# Events.


def _lose(run: Run, slot: int, seconds: float) -> None:
    """Count a slot as lost for some seconds and the time to catch up."""
    run.last_slot = slot
    end = run.world.now + seconds
    run.events_end = max(run.events_end, end)
    caught_up = max(end, run.suspended_until) + CATCH_UP_S
    run.lost_until[slot] = max(run.lost_until[slot], caught_up)


def _suspend(run: Run, seconds: float) -> None:
    """Let lost slots count as lost until the whole group is back."""
    end = run.world.now + seconds
    run.events_end = max(run.events_end, end)
    run.suspended_until = max(run.suspended_until, end)
    for slot in run.lost():
        run.lost_until[slot] = max(run.lost_until[slot], end + CATCH_UP_S)


def _planned(run: Run, slot: int) -> None:
    world = run.world
    old = world.slots[slot]
    world.replace(slot, 0.0)
    world.schedule(TERM_AFTER_S, "terminate", old)
    _lose(run, slot, 0.0)
    run.events_end = max(run.events_end, world.now + TERM_AFTER_S)


def _unplanned(run: Run, slot: int) -> None:
    run.world.remove(run.world.slots[slot])
    run.world.replace(slot, REPLACE_S)
    _lose(run, slot, REPLACE_S)


def _wipe(run: Run, slot: int) -> None:
    name = run.world.slots[slot]
    run.world.wipe(name)
    run.world.schedule(RESTART_S, "start", name)
    _lose(run, slot, RESTART_S)


def _kill(run: Run, slot: int) -> None:
    name = run.world.slots[slot]
    run.world.crash(name)
    run.world.schedule(RESTART_S, "start", name)
    _lose(run, slot, RESTART_S)


def _freeze(run: Run, slot: int) -> None:
    run.world.freeze(run.world.slots[slot], FAULT_S)
    _lose(run, slot, FAULT_S)


def _cut_links(run: Run, names, seconds: float, inward=True, outward=True):
    world = run.world
    group = set(names)
    others = set(world.hosts) - group
    links = {(b, a) for a in group for b in others if inward}
    links |= {(a, b) for a in group for b in others if outward}
    world.blocked_links |= links
    world.schedule(seconds, "join_links", links)


def _cut(run: Run, slot: int) -> None:
    _cut_links(run, [run.world.slots[slot]], FAULT_S)
    _lose(run, slot, FAULT_S)


def _cut_in(run: Run, slot: int) -> None:
    _cut_links(run, [run.world.slots[slot]], FAULT_S, outward=False)
    _lose(run, slot, FAULT_S)


def _cut_out(run: Run, slot: int) -> None:
    _cut_links(run, [run.world.slots[slot]], FAULT_S, inward=False)
    _lose(run, slot, FAULT_S)


def _halves(run: Run, slot: int) -> None:
    """Split the group; the leader is in the smaller half."""
    world = run.world
    leader = world.slot_of_leader() or 0
    count = len(world.slots)
    half = [world.slots[(leader + i) % count] for i in range(count // 2)]
    _cut_links(run, half, HALVES_S)
    _suspend(run, HALVES_S)


def _join_halves(run: Run, slot: int) -> None:
    """Replace a machine as planned, and split the group as it is admitted.

    The leader and the new machine are in the smaller half.
    """
    world = run.world
    leader = world.leader()
    _planned(run, slot)
    name = world.slots[slot]

    def knows() -> bool:
        found = world.leader()
        return found is not None and name in found.machine.seen

    world.run(TERM_AFTER_S / 2, knows)
    half = [name] if leader is None else [leader.name, name]
    rest = [n for n in world.slots if n not in half]
    _cut_links(run, half + rest[: len(world.slots) // 2 - 2], HALVES_S)
    _suspend(run, HALVES_S)


def _power(run: Run, slot: int) -> None:
    """Stop all machines; all start again within a second, in any order."""
    world = run.world
    for host in world.hosts.values():
        if host.machine is not None:
            world.crash(host.name)
            world.schedule(world.rng.uniform(0.3, 0.9), "start", host.name)
    _suspend(run, 0.9)


def _wipe_power(run: Run, slot: int) -> None:
    _wipe(run, slot)
    _power(run, slot)


def _seeds(run: Run, slot: int) -> None:
    world = run.world
    world.operator_list = world.operator_list[1:] + world.operator_list[:1]
    world.use_seeds()


def _large(run: Run, slot: int) -> None:
    run.world.write(LARGE_BYTES)


def _many(run: Run, slot: int) -> None:
    run.world.write_many(MANY_CHANGES, LARGE_BYTES)
    run.world.run(MANY_CHANGES / 5 * 0.1)


def _compact(run: Run, slot: int) -> None:
    run.world.write_many(COMPACTING_CHANGES, 10)
    run.world.run(COMPACTING_CHANGES / 5 * 0.1)


_HANDLERS = {
    "planned": _planned,
    "unplanned": _unplanned,
    "wipe": _wipe,
    "kill": _kill,
    "freeze": _freeze,
    "cut": _cut,
    "cut_in": _cut_in,
    "cut_out": _cut_out,
    "wipe_power": _wipe_power,
    "join_halves": _join_halves,
    "power": _power,
    "halves": _halves,
    "seeds": _seeds,
    "large": _large,
    "many": _many,
    "compact": _compact,
}
