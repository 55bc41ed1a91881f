"""Plan of a failover attempt and its quorum checks."""

import collections.abc

import msgspec

from chivescale.failover._selection import Member, quorum
from chivescale.failover._watcher import DETACHED, DETACHED_CONTACT_MS
from chivescale.messages import EndpointStatus

CHECKING = "checking"
BEGINNING = "beginning"
PROMISING = "promising"
PROMOTING = "promoting"
ESTABLISHING = "establishing"

# Delays before a request is repeated after a failure and without an answer.
# All requests are idempotent, and the connection of the first one may have
# stopped responding permanently.
FAILED_RETRY_S = 0.05
UNANSWERED_RETRY_S = 0.1

# A single lost message must not confirm the verdict of a lone watcher.
CHECK_REQUESTS = 2

Statuses = collections.abc.Mapping[str, EndpointStatus]

_DURATION_FIELDS = {
    CHECKING: "check_ms",
    BEGINNING: "agreement_ms",
    PROMISING: "promise_ms",
    PROMOTING: "promote_ms",
    ESTABLISHING: "establish_ms",
}


class Plan(msgspec.Struct, frozen=True):
    """Reason for a new term and its voters.

    Attributes
    ----------
    reason : str
        Verdict of the watchers or another cause, as logged.
    suspect : str
        Primary reported as failed; empty if there is none.
    since : float
        When the cause was detected, in monotonic seconds.
    needs_probe : bool
        Whether the leader's own probe has to confirm the verdict.
    old_voters, new_voters : tuple of Member
        Voters of the last established term (empty before the first) and
        of the new term.
    """

    reason: str
    suspect: str
    since: float
    needs_probe: bool
    old_voters: tuple[Member, ...]
    new_voters: tuple[Member, ...]

    @property
    def voter_names(self) -> list[str]:
        """Names of all old and new voters without duplicates."""
        names = [
            member.endpoint for member in self.old_voters + self.new_voters
        ]
        return list(dict.fromkeys(names))

    def includes_voter(self, status: EndpointStatus) -> bool:
        """Tell whether a status comes from an old or new voter.

        A voter that lost its disk also lost its promises and its data. Its
        new incarnation is therefore no longer the same voter.
        """
        member = Member(status.endpoint, status.incarnation)
        return member in self.old_voters or member in self.new_voters

    def has_promise_quorum(self, statuses: Statuses) -> bool:
        """Tell whether quorums of both old and new voters answered.

        Before the first term the earlier voters are unknown. Data from an
        earlier control state is preserved only if all endpoints answer.
        """
        new = count_statuses(self.new_voters, statuses)
        if not self.old_voters:
            return new == len(self.new_voters)
        old = count_statuses(self.old_voters, statuses)
        return old >= quorum(len(self.old_voters)) and new >= quorum(
            len(self.new_voters)
        )

    def has_marker_quorum(self, statuses: Statuses) -> bool:
        """Tell whether quorums of new and old voters hold the marker."""
        if count_statuses(self.new_voters, statuses) < quorum(
            len(self.new_voters)
        ):
            return False
        old = count_statuses(self.old_voters, statuses)
        return not self.old_voters or old >= quorum(len(self.old_voters))


def count_statuses(members: tuple[Member, ...], statuses: Statuses) -> int:
    """Count the members whose incarnation has a status."""
    return sum(has_status(member, statuses) for member in members)


def has_status(member: Member, statuses: Statuses) -> bool:
    """Tell whether there is a status of the member's incarnation."""
    status = statuses.get(member.endpoint)
    return status is not None and status.incarnation == member.incarnation


def probe_confirms(
    plan: Plan, answered: Statuses, failed: set[str]
) -> bool | None:
    """Tell whether the leader's own probe confirms the verdict.

    Parameters
    ----------
    plan : Plan
        Plan that is based on the verdict of a single watcher.
    answered : dict of EndpointStatus
        Voters that answered the leader.
    failed : set of str
        Voters that did not answer.

    Returns
    -------
    bool or None
        None while the result is pending.
    """
    if plan.reason == DETACHED:
        cut_off = sum(
            status.primary == plan.suspect
            and not 0 <= status.primary_contact_ms < DETACHED_CONTACT_MS
            for status in answered.values()
        )
        return cut_off >= quorum(len(plan.old_voters))
    if plan.suspect in answered:
        return False
    return True if plan.suspect in failed else None


def phase_durations_ms(
    phase_started_at: collections.abc.Mapping[str, float], since: float
) -> dict[str, object]:
    """Return the duration of each phase in milliseconds.

    Parameters
    ----------
    phase_started_at : dict of float
        Start time of each phase, in chronological order.
    since : float
        When the cause was detected; the first phase ends the detection.
    """
    times = list(phase_started_at.items())
    fields: dict[str, object] = {"detection_ms": _ms(times[0][1] - since)}
    for (phase, at), (_, until) in zip(times, times[1:], strict=False):
        fields[_DURATION_FIELDS[phase]] = _ms(until - at)
    fields["total_ms"] = _ms(times[-1][1] - since)
    return fields


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 3)
