"""Logs of a coordinator that has no contact with a quorum."""

import asyncio

import msgspec

from chivescale.clock import now
from chivescale.telemetry import log_event

CHECK_INTERVAL_S = 0.5
# An election after the loss of a leader is over by then.
FIRST_REPORT_AFTER_S = 3.0
MAX_REPORT_INTERVAL_S = 60.0


class GroupView(msgspec.Struct, frozen=True):
    """What a member knows about its group, as log fields.

    Attributes
    ----------
    standing : str
        ``voter``, ``learner``, ``no member`` or ``unformed``.
    term, last_index, commit : int
        Term and log indexes of this member.
    leader : str
        Address of the leader it follows; empty if it knows none.
    voters, learners, granted : str
        Addresses of the members, and of the voters that granted their vote
        to the last attempt of this member, separated by commas.
    """

    standing: str
    term: int
    last_index: int
    commit: int
    leader: str
    voters: str
    learners: str
    granted: str


def view_group(machine) -> GroupView:
    """Return the view of an `Agreement` machine."""
    own = machine.own_member
    members = machine.configuration.members
    standing = "no member"
    if not machine.formed:
        standing = "unformed"
    elif own is not None:
        standing = "voter" if own.voter else "learner"
    return GroupView(
        standing,
        machine.term,
        machine.log.last_index,
        machine.commit,
        machine.leader_address,
        ",".join(m.address for m in members if m.voter),
        ",".join(m.address for m in members if not m.voter),
        ",".join(
            m.address for m in members if m.name in machine.election.votes
        ),
    )


class ReportSchedule:
    """Decides when a loss of contact is reported: at once, then rarely.

    Attributes
    ----------
    due_s : float
        Age of the last contact at which the next report is due, in seconds.
    """

    def __init__(self):
        self.due_s = FIRST_REPORT_AFTER_S

    def step(self, contact_age_s: float) -> str:
        """Return ``missing``, ``regained`` or an empty string."""
        if contact_age_s >= self.due_s:
            wait_s = min(contact_age_s, MAX_REPORT_INTERVAL_S)
            self.due_s = contact_age_s + wait_s
            return "missing"
        reported = self.due_s > FIRST_REPORT_AFTER_S
        if reported and contact_age_s < FIRST_REPORT_AFTER_S:
            self.due_s = FIRST_REPORT_AFTER_S
            return "regained"
        return ""


class GroupMonitor:
    """Logs what this coordinator knows while it lacks a quorum.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.
    """

    def __init__(self, host):
        self.host = host
        self.schedule = ReportSchedule()
        self.contact_at = now()

    async def run(self) -> None:
        """Check at intervals."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(now())

    def check(self, time: float) -> None:
        """Log a loss of contact that has lasted, and its end."""
        agreement = self.host.agreement
        if agreement.machine is None or agreement.failure is not None:
            return
        age_s = min(self.host.contact_age_s(), time - self.contact_at)
        if age_s < CHECK_INTERVAL_S:
            self.contact_at = time
        outcome = self.schedule.step(age_s)
        if not outcome:
            return
        level = "warning" if outcome == "missing" else "info"
        fields = msgspec.structs.asdict(view_group(agreement.machine))
        log_event(
            f"quorum_{outcome}", level, contact_age_s=round(age_s, 1), **fields
        )
