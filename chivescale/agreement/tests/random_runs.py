"""Simulation runs with random or given faults."""

import random

import msgspec

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import NAMES, World


class Report(msgspec.Struct):
    """Statistics of a run; `World` performs the checks."""

    seed: int
    steps: int
    terms: int
    committed: int
    acknowledged: int
    reads: int
    deliveries: int
    disk_losses: int
    simulated_s: float


# Repeated names are chosen more often. Faults end as often as they begin, so
# that the group works about half of the time.
ACTIONS = (
    ["run"] * 8
    + ["propose"] * 8
    + ["read_leader"] * 4
    + ["start"] * 4
    + ["heal_network", "end_faults"] * 3
    + ["propose_anywhere", "read", "burst", "replace", "replace"]
    + ["cut_one_way", "isolate", "split", "crash", "lose_disk", "freeze"]
    + ["loss", "reorder", "crash_rate"]
)


def run_random(seed: int, steps: int) -> Report:
    """Run `steps` random actions, then end all faults and check.

    Raises
    ------
    AssertionError
        If an invariant or a final check fails; contains the seed.
    """
    rng = random.Random(seed)
    actions = [
        (rng.choice(ACTIONS), rng.randrange(1 << 16)) for _ in range(steps)
    ]
    return run_actions(seed, actions)


def run_actions(seed: int, actions: list[tuple[str, int]]) -> Report:
    """Run the given actions, each with a number that sets its details."""
    world = World(seed)
    disk_losses = 0
    try:
        world.run(2.0, world.leader)
        for action, number in actions:
            disk_losses += bool(_HANDLERS[action](world, number))
            if seed % 3 == 0:
                # About one crash per 0.3 s during the whole run.
                world.crash_rate = max(world.crash_rate, 0.02)
            world.run(0.02)
        world.check_outcome()
    except AssertionError as err:
        raise AssertionError(f"seed {seed}: {err}") from err
    return Report(
        seed=seed,
        steps=len(actions),
        terms=max(world.leaders, default=0),
        committed=len(world.committed),
        acknowledged=len(world.acknowledged),
        reads=world.confirmed_reads,
        deliveries=world.deliveries,
        disk_losses=disk_losses,
        simulated_s=world.now,
    )


def _name(number: int) -> str:
    return NAMES[number % len(NAMES)]


def _run(world: World, number: int) -> None:
    world.run(0.01 * 10 ** (number % 100 / 50))


def _propose(world: World, number: int) -> None:
    world.propose(count=1 + number % 3)


def _propose_anywhere(world: World, number: int) -> None:
    world.propose(_name(number))


def _burst(world: World, number: int) -> None:
    world.propose(count=50 + number % 50)


def _read(world: World, number: int) -> None:
    world.read(_name(number))


def _read_leader(world: World, number: int) -> None:
    leader = world.leader()
    if leader is not None:
        world.read(leader.name)


def _cut_one_way(world: World, number: int) -> None:
    world.blocked_links.add((_name(number), _name(number // 7)))


def _isolate(world: World, number: int) -> None:
    leader = world.leader()
    chosen = leader.name if leader and number % 2 else _name(number)
    world.isolate(chosen)


def _split(world: World, number: int) -> None:
    world.isolate(_name(number), _name(number // 5))


def _heal_network(world: World, number: int) -> None:
    world.blocked_links.clear()


def _crash(world: World, number: int) -> None:
    world.crash(_name(number))


def _start(world: World, number: int) -> None:
    world.start(_name(number))


def _lose_disk(world: World, number: int) -> bool:
    name = _name(number)
    if not world.replacement_is_survivable(name):
        return False
    world.replace_disk(name)
    if number % 3:
        world.start(name)
    return True


def _replace(world: World, number: int) -> None:
    world.change(ag.ReplaceMember, _name(number))


def _freeze(world: World, number: int) -> None:
    world.freeze(_name(number), 0.1 + number % 20 / 10)


def _set_loss(world: World, number: int) -> None:
    world.loss_rate = number % 5 / 10
    world.duplication_rate = number % 7 / 10


def _set_reordering(world: World, number: int) -> None:
    world.reordering = bool(number % 2)


def _set_crash_rate(world: World, number: int) -> None:
    world.crash_rate = (0, 0.01, 0.03, 0.1)[number % 4]


def _end_faults(world: World, number: int) -> None:
    world.end_faults()
    world.run(1.0)


_HANDLERS = {
    "run": _run,
    "propose": _propose,
    "propose_anywhere": _propose_anywhere,
    "burst": _burst,
    "read": _read,
    "read_leader": _read_leader,
    "cut_one_way": _cut_one_way,
    "isolate": _isolate,
    "split": _split,
    "heal_network": _heal_network,
    "crash": _crash,
    "start": _start,
    "lose_disk": _lose_disk,
    "replace": _replace,
    "freeze": _freeze,
    "loss": _set_loss,
    "reorder": _set_reordering,
    "crash_rate": _set_crash_rate,
    "end_faults": _end_faults,
}
