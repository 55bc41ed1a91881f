"""Membership changes, one member at a time.

The quorums of two configurations that differ by one voter overlap, so a
single-member change needs no joint configuration. The leader starts a change
only after the previous change and an entry of its own term are committed.
"""

import msgspec

from chivescale.agreement._events import (
    Appended,
    RemoveMember,
    ReplaceMember,
    Role,
)
from chivescale.agreement._log import configuration_entry
from chivescale.agreement._messages import Configuration, Member
from chivescale.agreement._replication import (
    broadcast,
    in_contact,
    replicate,
)
from chivescale.errors import ErrorKind

# A learner that lags by at most this many entries counts as caught up. Under
# constant load it never holds the last committed entry when it replies.
CATCH_UP_ENTRIES = 64
# Election timeouts for which a leader that has stepped down is no candidate.
STEP_DOWN_ELECTION_TIMEOUTS = 4


def _can_change_configuration(machine) -> bool:
    return machine.ready and machine.log.configuration_index <= machine.commit


def _reject_if_unavailable(machine, request_id: int, name: str) -> bool:
    """Return True after rejecting a change that cannot start now."""
    if not machine.ready:
        machine.reject(request_id, ErrorKind.NOT_LEADER, "not the leader")
        return True
    if not _can_change_configuration(machine):
        reason = "another membership change is not yet committed"
        machine.reject(request_id, ErrorKind.NOT_READY, reason)
        return True
    if name == machine.name:
        reason = f"{name} is the leader and cannot be replaced or removed"
        machine.reject(request_id, ErrorKind.BAD_REQUEST, reason)
        return True
    return False


def _append_configuration(
    machine, configuration: Configuration, now: float
) -> int:
    index = machine.log.last_index + 1
    machine.append(configuration_entry(index, machine.term, configuration))
    replicate(machine, now)
    return index


def replace_member(machine, event: ReplaceMember, now: float) -> None:
    """Add the latest incarnation of a member as a learner."""
    if _reject_if_unavailable(machine, event.request_id, event.name):
        return
    candidate = machine.seen.get(event.name)
    if candidate is None:
        reason = f"no new incarnation of {event.name} has contacted the leader"
        machine.reject(event.request_id, ErrorKind.UNKNOWN_MEMBER, reason)
        return
    former = machine.configuration.find(event.name)
    if former and former.incarnation == candidate.incarnation:
        # A late request must not make a voter a learner.
        reason = f"{event.name} is a member with this incarnation"
        machine.reject(event.request_id, ErrorKind.BAD_REQUEST, reason)
        return
    if former is not None and in_contact(machine, former, now):
        reason = f"{event.name} still responds with its former incarnation"
        machine.reject(event.request_id, ErrorKind.BAD_REQUEST, reason)
        return
    learner = Member(
        candidate.name, candidate.address, candidate.incarnation, False
    )
    del machine.seen[event.name]
    index = _append_configuration(
        machine, machine.configuration.with_member(learner), now
    )
    machine.emit(Appended(event.request_id, index, machine.term))


def remove_member(machine, event: RemoveMember, now: float) -> None:
    """Remove a member from the configuration."""
    if _reject_if_unavailable(machine, event.request_id, event.name):
        return
    if machine.configuration.find(event.name) is None:
        reason = f"{event.name} is not a member"
        machine.reject(event.request_id, ErrorKind.UNKNOWN_MEMBER, reason)
        return
    index = _append_configuration(
        machine, machine.configuration.without(event.name), now
    )
    machine.emit(Appended(event.request_id, index, machine.term))


def promote_learner(machine, now: float) -> None:
    """Make a learner that has caught up a voter."""
    if not _can_change_configuration(machine):
        return
    for member in machine.configuration.members:
        if member.voter or not _caught_up(machine, member, now):
            continue
        voter = msgspec.structs.replace(member, voter=True)
        _append_configuration(
            machine, machine.configuration.with_member(voter), now
        )
        return


def step_down(machine, now: float) -> None:
    """End the leadership of a leader that will stop.

    It stands in no election while the others elect another leader. The last
    round tells them what is committed.
    """
    if machine.role is not Role.LEADER:
        return
    broadcast(machine, now)
    machine.become_follower(machine.term, None, now)
    pause_s = STEP_DOWN_ELECTION_TIMEOUTS * machine.timing.election_timeout_s
    machine.election_due = now + pause_s


def _caught_up(machine, member: Member, now: float) -> bool:
    progress = machine.leading.progress.get((member.name, member.incarnation))
    return (
        progress is not None
        and progress.matched
        and progress.match >= machine.commit - CATCH_UP_ENTRIES
        and in_contact(machine, member, now)
    )
