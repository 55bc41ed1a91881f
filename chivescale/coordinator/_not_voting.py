"""Why members of the group are not voters, and for how long."""

from chivescale.agreement import Agreement, in_contact

# A member that joins becomes a voter within about a second.
REPORT_AFTER_S = 5.0
SILENT = "silent"
BEHIND = "behind"
CAUGHT_UP = "caught up"
NO_GROUP = "in no group"
REMOVED = "removed"
NO_LEADER = "no leader"
LEARNER = "learner"


class NotVoting:
    """Tells once about each member that is not a voter for seconds.

    Attributes
    ----------
    reasons : dict of str to tuple
        Kind of reason and its details, by address of the member.
    since : dict of str to float
        Time since which a member has not been a voter.
    reported : set of str
        Members that were told about and are still no voters.
    """

    def __init__(self):
        self.reasons: dict[str, tuple[str, str]] = {}
        self.since: dict[str, float] = {}
        self.reported: set[str] = set()

    def update(
        self, reasons: dict[str, tuple[str, str]], now: float
    ) -> list[str]:
        """Replace the reasons; return the members to tell about now."""
        self.reasons = reasons
        self.since = {name: self.since.get(name, now) for name in reasons}
        self.reported &= set(reasons)
        due = [
            name
            for name, since in self.since.items()
            if now - since >= REPORT_AFTER_S and name not in self.reported
        ]
        self.reported.update(due)
        return due

    def described(self) -> dict[str, str]:
        """Return the reasons as text, by address."""
        return {
            name: f"{kind}: {details}" if details else kind
            for name, (kind, details) in self.reasons.items()
        }


def reasons_of(
    machine: Agreement, leading: bool, hears_leader: bool, now: float
) -> dict[str, tuple[str, str]]:
    """Return why members are not voters, as far as this host knows.

    Only the leader knows about others.

    Parameters
    ----------
    machine : Agreement
        State of this member.
    leading : bool
        Whether it leads the group.
    hears_leader : bool
        Whether a leader has sent something within the last seconds.
    now : float
        Monotonic time in seconds.
    """
    if leading:
        return {
            member.address: _learner_reason(machine, member, now)
            for member in machine.configuration.members
            if not member.voter
        }
    own = machine.own_member
    if machine.formed and own is not None and own.voter and hears_leader:
        return {}
    if not machine.formed:
        reason = (NO_GROUP, "")
    elif own is None:
        reason = (REMOVED, "")
    elif not hears_leader:
        # A voter that has been removed does not know it.
        reason = (NO_LEADER, "")
    else:
        reason = (LEARNER, f"applied {machine.applied}")
    return {machine.address: reason}


def _learner_reason(machine, member, now: float) -> tuple[str, str]:
    key = (member.name, member.incarnation)
    progress = machine.leading.progress.get(key)
    if progress is None or not in_contact(machine, member, now):
        return (SILENT, "")
    missing = machine.commit - progress.match
    if missing > 0:
        return (BEHIND, f"{missing} entries")
    return (CAUGHT_UP, "")
