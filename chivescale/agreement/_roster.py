"""Automatic membership changes for groups without an operator."""

import msgspec

from chivescale.agreement._messages import Configuration, Member

# An unreachable voter is removed after this time if a replacement has been
# admitted.
RETIRE_REPLACED_AFTER_S = 1.0
# Without a replacement it is removed only after this longer time, when it is
# not expected to return, and only while more voters remain than the smallest
# group that tolerates the loss of one.
RETIRE_UNREPLACED_AFTER_S = 20.0
MIN_VOTERS = 3


class Admit(msgspec.Struct, frozen=True):
    """Admit the latest incarnation of a member or a new member."""

    name: str


class Retire(msgspec.Struct, frozen=True):
    """Remove a member from the group."""

    name: str


class Roster:
    """Plans single membership changes during one leadership.

    Attributes
    ----------
    target_voters : int
        Intended number of voters. It grows with members that join while all
        voters are reachable. A member that joins while a voter is
        unreachable counts as its replacement.
    unreachable_since : dict of str to float
        Time since which a voter has been unreachable, by name.
    """

    def __init__(self):
        self.target_voters = 0
        self.unreachable_since: dict[str, float] = {}

    def plan(
        self,
        own: str,
        configuration: Configuration,
        applicants: dict[str, Member],
        reachable: set[str],
        now: float,
    ) -> Admit | Retire | None:
        """Return the next membership change, if any.

        A member that returns with an empty disk replaces its former
        incarnation. A member with a new name is added. If the group has
        more voters than intended, the voter that has been unreachable for
        longest is removed.

        Parameters
        ----------
        own : str
            Name of the leader.
        configuration : Configuration
            Current configuration.
        applicants : dict of str to Member
            Incarnations that have requested admission, by name.
        reachable : set of str
            Members that replied within the election timeout.
        now : float
            Monotonic time in seconds.
        """
        voters = len(configuration.voters)
        self._update_unreachable(own, configuration, reachable, now)
        if not self.target_voters or not self.unreachable_since:
            self.target_voters = max(self.target_voters, voters)
        for name in sorted(applicants):
            member = configuration.find(name)
            if member is None or name not in reachable:
                return Admit(name)
        if len(configuration.members) > voters:
            # Wait until the learner has become a voter.
            return None
        return self._retire(voters, now)

    def _retire(self, voters: int, now: float) -> Retire | None:
        if not self.unreachable_since or voters <= MIN_VOTERS:
            return None
        since, name = min((at, n) for n, at in self.unreachable_since.items())
        timeout_s = RETIRE_REPLACED_AFTER_S
        if voters <= self.target_voters:
            timeout_s = RETIRE_UNREPLACED_AFTER_S
        return Retire(name) if now - since >= timeout_s else None

    def _update_unreachable(
        self, own, configuration, reachable, now: float
    ) -> None:
        names = {member.name for member in configuration.voters} - {own}
        for name in list(self.unreachable_since):
            if name not in names or name in reachable:
                del self.unreachable_since[name]
        for name in names - reachable:
            self.unreachable_since.setdefault(name, now)
