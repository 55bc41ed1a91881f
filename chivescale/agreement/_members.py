"""Changes of the configuration, one member at a time.

The quorums of two configurations that differ in one voter overlap, so a
change needs no second phase. The leader starts a change only after the last
one and an entry of its own term are committed.
"""

import msgspec

from chivescale.agreement._events import Appended, RemoveMember, ReplaceMember
from chivescale.agreement._log import configuration_entry
from chivescale.agreement._messages import Configuration, Member
from chivescale.agreement._replication import in_contact, replicate
from chivescale.errors import ErrorKind

# A learner this close to the end counts as caught up; under constant load
# it never holds the very last committed entry at the time of its answer.
CATCH_UP_ENTRIES = 64


def _change_open(machine) -> bool:
    return machine.ready and machine.log.configuration_index <= machine.commit


def _refuse(machine, ticket: int, name: str) -> bool:
    """Refuse a change that cannot start now."""
    if not machine.ready:
        machine.reject(ticket, ErrorKind.NOT_LEADER, "not the leader")
        return True
    if not _change_open(machine):
        reason = "another change of members is not yet committed"
        machine.reject(ticket, ErrorKind.NOT_READY, reason)
        return True
    if name == machine.name:
        reason = f"{name} leads; a change of the leader needs another one"
        machine.reject(ticket, ErrorKind.BAD_REQUEST, reason)
        return True
    return False


def _write(machine, configuration: Configuration, now: float) -> int:
    index = machine.log.last_index + 1
    machine.append(configuration_entry(index, machine.term, configuration))
    replicate(machine, now)
    return index


def replace_member(machine, event: ReplaceMember, now: float) -> None:
    """Admit the incarnation that a member returned with, as a learner."""
    if _refuse(machine, event.ticket, event.name):
        return
    found = machine.seen.get(event.name)
    if found is None:
        reason = f"no new incarnation of {event.name} has called"
        machine.reject(event.ticket, ErrorKind.UNKNOWN_MEMBER, reason)
        return
    former = machine.configuration.find(event.name)
    if former is not None and in_contact(machine, former, now):
        reason = f"{event.name} still answers with its former incarnation"
        machine.reject(event.ticket, ErrorKind.BAD_REQUEST, reason)
        return
    learner = Member(found.name, found.address, found.incarnation, False)
    del machine.seen[event.name]
    index = _write(machine, machine.configuration.with_member(learner), now)
    machine.emit(Appended(event.ticket, index, machine.term))


def remove_member(machine, event: RemoveMember, now: float) -> None:
    """Take a member out of the group."""
    if _refuse(machine, event.ticket, event.name):
        return
    if machine.configuration.find(event.name) is None:
        reason = f"{event.name} is no member"
        machine.reject(event.ticket, ErrorKind.UNKNOWN_MEMBER, reason)
        return
    index = _write(machine, machine.configuration.without(event.name), now)
    machine.emit(Appended(event.ticket, index, machine.term))


def promote_learner(machine, now: float) -> None:
    """Turn a learner that has caught up into a voter."""
    if not _change_open(machine):
        return
    for member in machine.configuration.members:
        if member.voter or not _caught_up(machine, member, now):
            continue
        voter = msgspec.structs.replace(member, voter=True)
        _write(machine, machine.configuration.with_member(voter), now)
        return


def _caught_up(machine, member: Member, now: float) -> bool:
    progress = machine.leading.progress.get((member.name, member.incarnation))
    return (
        progress is not None
        and progress.matched
        and progress.match >= machine.commit - CATCH_UP_ENTRIES
        and in_contact(machine, member, now)
    )
