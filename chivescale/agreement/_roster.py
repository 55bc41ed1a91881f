"""Automatic membership changes for groups without an operator.

Nobody tells the group how many members it has, so it must not count on an
intended number. It relies on the parity instead: an even number of voters
bears the loss of as many disks as the odd number below it, with a larger
quorum. Removing one of 2k voters keeps what the group bears and lowers the
quorum. Removing one of 2k + 1 would cost the group one loss, so that is done
only if a second one is silent as well, for longer than a split lasts, and only
while the group bears the losses that it has to without these two: they may be
cut off and hold the only other copies.
"""

import msgspec

from chivescale.agreement._messages import Configuration, Member

# An unreachable voter is removed after this time if the group bears as many
# losses without it.
RETIRE_AFTER_S = 3.0
# The same if a member with a new name became a voter meanwhile, or if the
# voter has not answered since the leader was elected.
RETIRE_MISSING_AFTER_S = 1.0
# The same for two voters of an odd number. Between the two removals the group
# bears one loss less if the first one is only cut off.
RETIRE_TWO_AFTER_S = 10.0
# A learner counts towards no quorum; an unreachable one is removed so that it
# does not stay a member for good.
RETIRE_LEARNER_AFTER_S = 20.0
# Without a voter fewer, the group would bear no loss.
MIN_VOTERS_TO_RETIRE = 4
# Losses that a group bears if nothing else is asked of it.
DEFAULT_LOSSES = 1
# A member that stops repeats its request more often than this. If it is
# reachable later, it has started again.
LEAVE_REPEATED_WITHIN_S = 1.0


class Admit(msgspec.Struct, frozen=True):
    """Admit the latest incarnation of a member or a new member."""

    name: str


class Retire(msgspec.Struct, frozen=True):
    """Remove a member from the group."""

    name: str


def can_lose_voter(configuration: Configuration) -> bool:
    """Return whether the group bears as many losses with a voter fewer."""
    voters = len(configuration.voters)
    return voters >= MIN_VOTERS_TO_RETIRE and voters % 2 == 0


def awaits_removal(
    name: str, configuration: Configuration, applicants: dict[str, Member]
) -> bool:
    """Return whether a voter that stops may soon be removed.

    If the group needs it, it is removed only once a learner has become a
    voter.
    """
    member = configuration.find(name)
    if member is None or not member.voter:
        return False
    learners = len(configuration.members) > len(configuration.voters)
    new_names = any(configuration.find(other) is None for other in applicants)
    return can_lose_voter(configuration) or learners or new_names


class Roster:
    """Plans single membership changes during one leadership.

    Parameters
    ----------
    losses : int
        Number of members that the group has to bear the loss of at a time.

    Attributes
    ----------
    unreachable_since : dict of str to float
        Time since which a member has been unreachable, by name.
    leaving : dict of str to float
        Members that are stopping, and when they last said so.
    missing : set of str
        Unreachable voters since whose loss a new name has become a voter, or
        that have not answered this leader yet.
    """

    def __init__(self, losses: int = DEFAULT_LOSSES):
        self.losses = losses
        self.unreachable_since: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.missing: set[str] = set()
        self.voter_names: set[str] | None = None

    def leave(self, name: str, now: float) -> None:
        """Record that a member, but not the leader, is stopping."""
        self.leaving[name] = now

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
        incarnation. A member with a new name is added. A voter that stops or
        is unreachable is removed if the group bears as many losses without
        it.

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
        self._update(own, configuration, reachable, now)
        stopping = {m.name for m in configuration.voters} & set(self.leaving)
        if stopping and can_lose_voter(configuration):
            return Retire(min(stopping))
        for name in sorted(applicants):
            member = configuration.find(name)
            if name in self.leaving:
                continue
            if member is None or name not in reachable:
                return Admit(name)
        return self._retire(configuration, reachable, now)

    def _retire(self, configuration, reachable, now: float) -> Retire | None:
        learners = {m.name for m in configuration.members if not m.voter}
        silent = [
            (since, name)
            for name, since in self.unreachable_since.items()
            if now - since >= self._timeout_s(name, learners)
        ]
        for _, name in sorted(silent):
            if name in learners:
                return Retire(name)
        # A learner that is about to become a voter changes the parity.
        if not silent or learners & reachable:
            return None
        if can_lose_voter(configuration):
            return Retire(min(silent)[1])
        silent = [s for s in silent if now - s[0] >= RETIRE_TWO_AFTER_S]
        if len(silent) > 1 and self._can_lose_two(configuration, reachable):
            return Retire(min(silent)[1])
        return None

    def _can_lose_two(self, configuration: Configuration, reachable) -> bool:
        """Return whether the group bears its losses without two voters.

        Also the first of the two removals must leave a quorum, without the
        voters that are stopping.
        """
        voters = {member.name for member in configuration.voters}
        alive = 1 + len(voters & reachable - set(self.leaving))
        remaining = len(voters) - 2
        return remaining >= 2 * self.losses + 1 and (
            alive > (remaining + 1) // 2
        )

    def _timeout_s(self, name: str, learners: set[str]) -> float:
        if name in learners:
            return RETIRE_LEARNER_AFTER_S
        if name in self.missing:
            return RETIRE_MISSING_AFTER_S
        return RETIRE_AFTER_S

    def _update(self, own, configuration, reachable, now: float) -> None:
        names = {member.name for member in configuration.members} - {own}
        for name in list(self.unreachable_since):
            if name not in names or name in reachable:
                del self.unreachable_since[name]
        for name in names - reachable:
            self.unreachable_since.setdefault(name, now)
        for name, asked_at in list(self.leaving.items()):
            silent = name in names and name not in reachable
            if not silent and now - asked_at >= LEAVE_REPEATED_WITHIN_S:
                del self.leaving[name]
        voters = {member.name for member in configuration.voters}
        if self.voter_names is None or voters - self.voter_names:
            self.missing |= set(self.unreachable_since)
        self.voter_names = voters
        self.missing &= set(self.unreachable_since)
