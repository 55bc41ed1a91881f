"""Hosts of the explored group: member check, settings and size limit."""

import msgspec

from chivescale import agreement as ag
from chivescale.agreement.tests.fakes import Host
from chivescale.coordinator._host import (
    ELECTION_TIMEOUT_MS,
    HEARTBEAT_MS,
    MAX_GROUP_MESSAGE_BYTES,
    SNAPSHOT_ENTRIES,
)
from chivescale.messages import encode

TIMING = ag.Timing(
    HEARTBEAT_MS / 1000, ELECTION_TIMEOUT_MS / 1000, SNAPSHOT_ENTRIES
)
CALL_TIMEOUT_S = TIMING.election_timeout_s - TIMING.heartbeat_s
SEEDS = 3
# Compressed document of the largest configuration.
LARGE_BYTES = 10_000


class ControlHost(Host, kw_only=True):
    """A host with the state of its member check.

    Attributes
    ----------
    losses : int
        Number of machines that the group has to bear the loss of.
    boot : int
        Number of the start; checks of an earlier start are void.
    gone : bool
        Whether the machine was removed for good.
    change : tuple of (int, str) or None
        Request and member of the membership change in progress.
    change_index : int or None
        Log index of that change once it is appended.
    change_deadline : float
        Time until which the next check waits for that change.
    """

    may_form: bool
    losses: int
    boot: int = 0
    gone: bool = False
    roster: ag.Roster = msgspec.field(default_factory=ag.Roster)
    roster_term: int = 0
    change: tuple[int, str] | None = None
    change_index: int | None = None
    change_deadline: float = 0.0


def plan_change(host: ControlHost, now: float):
    """Return the change that the leader's member check starts, if any."""
    machine = host.machine
    reachable = {
        member.name
        for member in machine.configuration.members
        if ag.in_contact(machine, member, now)
    }
    use_term(host)
    return host.roster.plan(
        host.name, machine.configuration, machine.seen, reachable, now
    )


def use_term(host: ControlHost) -> None:
    """Begin a roster for the term that a host leads."""
    term = host.machine.term
    if term != host.roster_term:
        host.roster, host.roster_term = ag.Roster(host.losses), term


def exceeds_limit(message, known: dict[tuple, bool]) -> bool:
    """Return whether the receiver refuses a message for its size.

    Parameters
    ----------
    message : AgreementMessage
        Message to send.
    known : dict
        Results for the batches that were encoded before.
    """
    if isinstance(message, ag.AppendRequest):
        entries = message.entries
        size = sum(len(entry.data) for entry in entries)
    elif isinstance(message, ag.SnapshotRequest):
        entries = ()
        size = len(message.snapshot.data)
    else:
        return False
    # Encoding at most doubles the size, so small ones need not be encoded.
    if size < MAX_GROUP_MESSAGE_BYTES // 2:
        return False
    ends = [(e.index, e.term) for e in (*entries[:1], *entries[-1:])]
    key = (*ends, size)
    if key not in known:
        known[key] = len(encode(message)) > MAX_GROUP_MESSAGE_BYTES
    return known[key]
