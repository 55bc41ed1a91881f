"""Plan of an attempt and the counting of its votes."""

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

# A failed request is repeated after this time, and one without an answer
# after the second. All requests are safe to repeat, and the connection that
# the first one used may be silent for good.
RESEND_S = 0.05
UNANSWERED_S = 0.1

# The loss of one message must not confirm the verdict of a single watcher.
CHECK_ASKS = 2

Statuses = collections.abc.Mapping[str, EndpointStatus]

_DURATIONS = {
    CHECKING: "check_ms",
    BEGINNING: "agreement_ms",
    PROMISING: "promise_ms",
    PROMOTING: "promote_ms",
    ESTABLISHING: "establish_ms",
}


class Plan(msgspec.Struct, frozen=True):
    """Why a term begins and with which voters.

    Attributes
    ----------
    reason : str
        Verdict or cause, for the log.
    suspect : str
        Primary that failed; empty if none did.
    since : float
        When the cause was first seen.
    needs_probe : bool
        The verdict has to be confirmed by the leader's own probe.
    old, new : tuple of Member
        Voters of the last established term (empty before the first) and
        of the new term.
    """

    reason: str
    suspect: str
    since: float
    needs_probe: bool
    old: tuple[Member, ...]
    new: tuple[Member, ...]

    @property
    def members(self) -> list[str]:
        """Names of all voters, old and new, without repetition."""
        names = [member.endpoint for member in self.old + self.new]
        return list(dict.fromkeys(names))

    def counts(self, status: EndpointStatus) -> bool:
        """Tell whether an answer comes from a voter that counts.

        A voter that lost its disk forgot its promises and its data, so it
        does not count as the voter it was.
        """
        member = Member(status.endpoint, status.incarnation)
        return member in self.old or member in self.new

    def promised_enough(self, found: Statuses) -> bool:
        """Tell whether answers make a quorum of old and of new voters.

        Before the first term nothing is known of earlier voters: endpoints
        with data from an earlier control state are covered only if all
        answer.
        """
        new = count_voters(self.new, found)
        if not self.old:
            return new == len(self.new)
        old = count_voters(self.old, found)
        return old >= quorum(len(self.old)) and new >= quorum(len(self.new))

    def held_enough(self, found: Statuses) -> bool:
        """Tell whether the holders of the marker are enough."""
        if count_voters(self.new, found) < quorum(len(self.new)):
            return False
        old = count_voters(self.old, found)
        return not self.old or old >= quorum(len(self.old))


def count_voters(members: tuple[Member, ...], found: Statuses) -> int:
    """Count members among `found`, by endpoint and incarnation."""
    return sum(is_found(member, found) for member in members)


def is_found(member: Member, found: Statuses) -> bool:
    """Tell whether `found` has a status of the member's incarnation."""
    status = found.get(member.endpoint)
    return status is not None and status.incarnation == member.incarnation


def probe_confirms(
    plan: Plan, answered: Statuses, failed: set[str]
) -> bool | None:
    """Tell what the leader's own probe says; None while it runs.

    Parameters
    ----------
    plan : Plan
        Plan with the verdict of a single watcher.
    answered : dict of EndpointStatus
        Voters that answered the leader.
    failed : set of str
        Voters that did not.
    """
    if plan.reason == DETACHED:
        cut_off = sum(
            status.primary == plan.suspect
            and not 0 <= status.primary_contact_ms < DETACHED_CONTACT_MS
            for status in answered.values()
        )
        return cut_off >= quorum(len(plan.old))
    if plan.suspect in answered:
        return False
    return True if plan.suspect in failed else None


def durations(
    entered: collections.abc.Mapping[str, float], since: float
) -> dict[str, object]:
    """Return the time spent in each phase, in milliseconds.

    Parameters
    ----------
    entered : dict of float
        When each phase began, in order.
    since : float
        When the cause was first seen; detection ends with the first phase.
    """
    times = list(entered.items())
    fields: dict[str, object] = {"detection_ms": _ms(times[0][1] - since)}
    for (phase, at), (_, until) in zip(times, times[1:], strict=False):
        fields[_DURATIONS[phase]] = _ms(until - at)
    fields["total_ms"] = _ms(times[-1][1] - since)
    return fields


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 3)
