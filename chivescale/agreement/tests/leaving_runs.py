"""Random simulation runs in which voters leave, return and are replaced."""

import random

from chivescale import agreement as ag
from chivescale.agreement.tests import random_runs
from chivescale.agreement.tests.fakes import World

# Names that join beside the initial members.
SPARE_NAMES = ("c5", "c6")
ACTIONS = [*random_runs.ACTIONS, *(["leave"] * 6), *(["call"] * 6), "join"]


class LeavingWorld(World):
    """Admits hosts that have left again, as the coordinators do.

    Attributes
    ----------
    left : int
        Removals that were requested.
    """

    left = 0

    def call(self) -> None:
        """Let each host that is no member call the leader."""
        leader = self.leader()
        if leader is None:
            return
        machine = leader.machine
        for name, host in self.hosts.items():
            incarnation = host.disk.incarnation
            running = host.machine is not None
            if running and not machine.configuration.find(name, incarnation):
                machine.seen[name] = ag.Member(name, name, incarnation)

    def admit(self) -> None:
        """Admit one host that has called."""
        leader = self.leader()
        if leader is not None and leader.machine.seen:
            self.change(ag.ReplaceMember, min(leader.machine.seen))

    def leave(self, number: int) -> None:
        """Remove a voter if the group can do without; a leader steps down."""
        leader = self.leader()
        if leader is None:
            return
        configuration = leader.machine.configuration
        if not ag.can_lose_voter(configuration):
            return
        if number % 3 == 0:
            self._step(leader, ag.StepDown())
            return
        names = {m.name for m in configuration.voters} - {leader.name}
        self.left += 1
        self.change(ag.RemoveMember, sorted(names)[number % len(names)])

    def join(self, number: int) -> None:
        """Start a host with a new name."""
        name = SPARE_NAMES[number % len(SPARE_NAMES)]
        if name not in self.hosts:
            self.add_host(name, self.names)
            self.names = (*self.names, name)

    def _recovered(self) -> bool:
        self.call()
        return super()._recovered()


def run_leaving(seed: int, steps: int) -> LeavingWorld:
    """Run `steps` random actions, then end all faults and check.

    Raises
    ------
    AssertionError
        If an invariant or a final check fails; contains the seed.
    """
    rng = random.Random(seed)
    world = LeavingWorld(seed)
    try:
        world.run(2.0, world.leader)
        world.join(seed)
        for _ in range(steps):
            action, number = rng.choice(ACTIONS), rng.randrange(1 << 16)
            if action == "leave":
                world.leave(number)
            elif action == "join":
                world.join(number)
            elif action == "call":
                world.call()
                world.admit()
            else:
                random_runs._HANDLERS[action](world, number)
            if seed % 3 == 0:
                world.crash_rate = max(world.crash_rate, 0.02)
            world.run(0.02)
        world.check_outcome()
    except AssertionError as err:
        raise AssertionError(f"seed {seed}: {err}") from err
    return world
