"""Decides which members a group without an operator admits and retires."""

import msgspec

from chivescale.agreement._messages import Configuration, Member

# A voter that has been silent for this long is retired once a successor has
# been admitted meanwhile.
RETIRE_AFTER_S = 1.0
# Without a successor it is retired only after a loss that nobody expects to
# end, and never below the smallest group that survives one loss.
RETIRE_WITHOUT_SUCCESSOR_S = 20.0
SMALLEST_GROUP = 3


class Admit(msgspec.Struct, frozen=True):
    """Admit the incarnation that called under this name."""

    name: str


class Retire(msgspec.Struct, frozen=True):
    """Take a member out of the group."""

    name: str


class Roster:
    """Plans one change of members at a time during one leadership.

    Attributes
    ----------
    size : int
        Voters that the group is meant to have. It grows with members that
        join while no voter is silent; one that joins while a voter is
        silent is taken for its successor.
    """

    def __init__(self):
        self.size = 0
        self.silent_since: dict[str, float] = {}

    def plan(
        self,
        own: str,
        configuration: Configuration,
        callers: dict[str, Member],
        reachable: set[str],
        now: float,
    ) -> Admit | Retire | None:
        """Return the next change.

        A member that returned with an empty disk replaces its former
        incarnation, and one with a new name is added. Once the group has
        more voters than it is meant to have, the one that has been silent
        for longest is retired.

        Parameters
        ----------
        own : str
            Name of the leader.
        configuration : Configuration
            Members in use.
        callers : dict of str to Member
            Incarnations that asked to be admitted.
        reachable : set of str
            Members that answered within the election timeout.
        now : float
            Seconds.
        """
        voters = len(configuration.voters)
        self._note_silence(own, configuration, reachable, now)
        if not self.size or not self.silent_since:
            self.size = max(self.size, voters)
        for name in sorted(callers):
            member = configuration.find(name)
            if member is None or name not in reachable:
                return Admit(name)
        if len(configuration.members) > voters:
            # A learner is about to become a voter.
            return None
        return self._retire(voters, now)

    def _retire(self, voters: int, now: float) -> Retire | None:
        if not self.silent_since or voters <= SMALLEST_GROUP:
            return None
        since, name = min((at, n) for n, at in self.silent_since.items())
        bound = RETIRE_AFTER_S
        if voters <= self.size:
            bound = RETIRE_WITHOUT_SUCCESSOR_S
        return Retire(name) if now - since >= bound else None

    def _note_silence(self, own, configuration, reachable, now: float) -> None:
        names = {member.name for member in configuration.voters} - {own}
        for name in list(self.silent_since):
            if name not in names or name in reachable:
                del self.silent_since[name]
        for name in names - reachable:
            self.silent_since.setdefault(name, now)
