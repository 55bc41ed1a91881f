"""Random runs of the fake world: faults drawn from a seed or given."""

import random

import msgspec

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import NAMES, World


class Report(msgspec.Struct):
    """What happened in a run; the checks are in the world."""

    seed: int
    steps: int
    terms: int
    committed: int
    acknowledged: int
    reads: int
    deliveries: int
    wipes: int
    simulated_s: float


# Repeated names are drawn more often; ends of faults are as frequent as
# faults, so that the group works for about half of the time.
ACTIONS = (
    ["run"] * 8
    + ["propose"] * 8
    + ["read_leader"] * 4
    + ["start"] * 4
    + ["heal_network", "calm"] * 3
    + ["propose_anywhere", "read", "burst", "replace", "replace"]
    + ["cut_one_way", "isolate", "split", "crash", "wipe", "freeze"]
    + ["loss", "reorder", "crash_chance"]
)


def run_random(seed: int, steps: int) -> Report:
    """Run `steps` random actions, then heal and check.

    Raises
    ------
    AssertionError
        With the seed, if an invariant or a final check fails.
    """
    rng = random.Random(seed)
    actions = [
        (rng.choice(ACTIONS), rng.randrange(1 << 16)) for _ in range(steps)
    ]
    return run_actions(seed, actions)


def run_actions(seed: int, actions: list[tuple[str, int]]) -> Report:
    """Run given actions, each with a number that selects its details."""
    world = World(seed)
    wipes = 0
    try:
        world.run(2.0, world.leader)
        for action, number in actions:
            wipes += bool(_HANDLERS[action](world, number))
            if seed % 3 == 0:
                # About one crash in every 0.3 s during the whole run.
                world.crash_chance = max(world.crash_chance, 0.02)
            world.run(0.02)
        world.settle()
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
        wipes=wipes,
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
    world.cuts.add((_name(number), _name(number // 7)))


def _isolate(world: World, number: int) -> None:
    leader = world.leader()
    chosen = leader.name if leader and number % 2 else _name(number)
    world.isolate(chosen)


def _split(world: World, number: int) -> None:
    world.isolate(_name(number), _name(number // 5))


def _heal_network(world: World, number: int) -> None:
    world.cuts.clear()


def _crash(world: World, number: int) -> None:
    world.crash(_name(number))


def _start(world: World, number: int) -> None:
    world.start(_name(number))


def _wipe(world: World, number: int) -> bool:
    name = _name(number)
    if not world.wipe_is_survivable(name):
        return False
    world.wipe(name)
    if number % 3:
        world.start(name)
    return True


def _replace(world: World, number: int) -> None:
    world.change(ag.ReplaceMember, _name(number))


def _freeze(world: World, number: int) -> None:
    world.freeze(_name(number), 0.1 + number % 20 / 10)


def _loss(world: World, number: int) -> None:
    world.loss = number % 5 / 10
    world.duplication = number % 7 / 10


def _reorder(world: World, number: int) -> None:
    world.reordering = bool(number % 2)


def _crash_chance(world: World, number: int) -> None:
    world.crash_chance = (0, 0.01, 0.03, 0.1)[number % 4]


def _calm(world: World, number: int) -> None:
    world.heal()
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
    "wipe": _wipe,
    "replace": _replace,
    "freeze": _freeze,
    "loss": _loss,
    "reorder": _reorder,
    "crash_chance": _crash_chance,
    "calm": _calm,
}
