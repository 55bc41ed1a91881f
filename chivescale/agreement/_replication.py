"""Leader side of replication: commit, read rounds and quorum check."""

import msgspec

from chivescale.agreement._events import (
    Appended,
    Propose,
    ReadConfirmed,
    Role,
)
from chivescale.agreement._log import configuration_entry, require
from chivescale.agreement._messages import (
    NOOP,
    AppendReply,
    AppendRequest,
    Configuration,
    Entry,
    Member,
    SnapshotRequest,
)
from chivescale.errors import ErrorKind

MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 1 << 20
# More than this many entries without a quorum means that the group cannot
# keep up; new commands are refused before they take effect.
MAX_UNCOMMITTED = 8192
# A snapshot may have 64 MiB. Unless the transport reports its loss, it is
# not sent again before this time.
SNAPSHOT_TIMEOUT_S = 5.0
KEPT_ROUNDS = 128


class Progress(msgspec.Struct):
    """What the leader knows about one member of the group.

    Attributes
    ----------
    next : int
        Next entry to send while `matched` is False.
    match : int
        The member's log equals the leader's up to here.
    matched : bool
        Whether the member's log is known to agree at `match`.
    sent_last : int
        Last entry of the batch under way.
    sent_until, snapshot_until : float
        Until when the answer to a batch or snapshot is awaited.
    contact : float
        When the last answered round was sent.
    acked_round : int
        Highest round answered.
    """

    next: int
    contact: float
    match: int = 0
    matched: bool = False
    sent_last: int = 0
    sent_until: float = 0.0
    snapshot_until: float = 0.0
    acked_round: int = 0


class PendingRead(msgspec.Struct):
    """A read that waits for an answer of a quorum to `round`."""

    ticket: int
    round: int
    index: int


class Leading(msgspec.Struct):
    """State of a leader.

    Attributes
    ----------
    first_index : int
        First entry of the own term. Earlier entries are committed only
        together with it: a later leader could replace an entry of an
        older term although a quorum holds it.
    excused_until : float
        Until when an old contact is put down to a pause of this process.
    round : int
        Number of the last broadcast.
    read_round : int
        Round that waiting reads were last sent with.
    """

    first_index: int = 0
    heartbeat_due: float = 0.0
    excused_until: float = 0.0
    round: int = 0
    read_round: int = 0
    round_sent: dict[int, float] = msgspec.field(default_factory=dict)
    progress: dict[tuple[str, str], Progress] = msgspec.field(
        default_factory=dict
    )
    reads: list[PendingRead] = msgspec.field(default_factory=list)


def begin_leading(machine, forming: Configuration | None, now: float) -> None:
    """Lead the current term, starting with an own entry."""
    require(machine.term_leader is None, "two leaders in one term")
    machine.role = Role.LEADER
    index = machine.log.last_index + 1
    machine.leading = Leading(first_index=index)
    if forming is None:
        machine.append(Entry(index, machine.term, NOOP))
    else:
        machine.append(configuration_entry(index, machine.term, forming))
    machine.leader = machine.term_leader = machine.own_member
    broadcast(machine, now)


def others(machine) -> list[Member]:
    """Return the members except this one."""
    return [
        member
        for member in machine.configuration.members
        if member.name != machine.name
    ]


def progress_of(machine, member: Member, now: float) -> Progress:
    """Return the progress of a member, kept by incarnation."""
    key = (member.name, member.incarnation)
    progress = machine.leading.progress.get(key)
    if progress is None:
        progress = Progress(machine.log.last_index + 1, now)
        machine.leading.progress[key] = progress
    return progress


def broadcast(machine, now: float) -> None:
    """Send a heartbeat or entries to every member."""
    leading = machine.leading
    leading.round += 1
    leading.round_sent[leading.round] = now
    leading.round_sent.pop(leading.round - KEPT_ROUNDS, None)
    leading.heartbeat_due = now + machine.timing.heartbeat_s
    members = others(machine)
    keys = {(member.name, member.incarnation) for member in members}
    for key in set(leading.progress) - keys:
        del leading.progress[key]
    for member in members:
        _send_next(machine, member, now, heartbeat=True)


def replicate(machine, now: float) -> None:
    """Send new entries to the members that have no batch under way."""
    for member in others(machine):
        _send_next(machine, member, now, heartbeat=False)


def _recent(machine, progress: Progress, now: float) -> bool:
    age = now - progress.contact
    return age < machine.timing.election_timeout_s


def in_contact(machine, member: Member, now: float) -> bool:
    """Tell whether a member answered within the election timeout."""
    key = (member.name, member.incarnation)
    progress = machine.leading.progress.get(key)
    if progress is None or progress.acked_round == 0:
        return False
    return _recent(machine, progress, now)


def _send_next(machine, member: Member, now: float, *, heartbeat: bool):
    """Send what a member needs next.

    One that does not answer gets heartbeats only. Its first answer brings
    the entries, so nothing large is sent to a member that is gone.
    """
    log = machine.log
    progress = progress_of(machine, member, now)
    following = progress.match + 1 if progress.matched else progress.next
    pending = not progress.matched or following <= log.last_index
    if following <= log.base_index:
        if in_contact(machine, member, now):
            _send_snapshot(machine, member, progress, now)
    elif pending and now >= progress.sent_until:
        if _recent(machine, progress, now):
            _send_batch(machine, member, progress, following, now)
            return
    if heartbeat:
        _send_append(machine, member, progress.match, ())


def _send_batch(machine, member, progress, following, now: float) -> None:
    entries = machine.log.slice(following, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
    progress.sent_until = now + machine.timing.election_timeout_s
    progress.sent_last = following - 1 + len(entries)
    _send_append(machine, member, following - 1, entries)


def _send_append(machine, member, prev_index, entries) -> None:
    prev_term = machine.log.term_at(prev_index)
    if prev_term is None:
        # Compacted meanwhile; the start of the log matches trivially.
        prev_index = prev_term = 0
    request = AppendRequest(
        header=machine.header_to(member.name, member.incarnation),
        prev_index=prev_index,
        prev_term=prev_term,
        commit=machine.commit,
        round=machine.leading.round,
        entries=entries,
    )
    machine.send(member.address, request)


def _send_snapshot(machine, member, progress, now: float) -> None:
    if now < progress.snapshot_until:
        return
    progress.snapshot_until = now + SNAPSHOT_TIMEOUT_S
    request = SnapshotRequest(
        header=machine.header_to(member.name, member.incarnation),
        snapshot=machine.log.snapshot,
        round=machine.leading.round,
    )
    machine.send(member.address, request)


def on_reply(machine, reply: AppendReply, now: float) -> None:
    """Note the progress of a member and send what follows."""
    header = reply.header
    leading = machine.leading
    key = (header.sender, header.sender_incarnation)
    progress = leading.progress.get(key)
    member = machine.configuration.find(*key)
    if progress is None or member is None:
        return
    sent = leading.round_sent.get(reply.round, progress.contact)
    progress.contact = max(progress.contact, sent)
    progress.acked_round = max(progress.acked_round, reply.round)
    if reply.ok:
        _note_match(machine, progress, reply)
    elif not progress.matched and reply.prev_index == progress.next - 1:
        progress.next = max(1, min(reply.match_index + 1, progress.next - 1))
        progress.sent_until = 0.0
    _send_next(machine, member, now, heartbeat=False)


def on_undelivered(machine, message, now: float) -> None:
    """Repeat a batch or snapshot that got no answer."""
    header = message.header
    key = (header.target, header.target_incarnation)
    progress = machine.leading.progress.get(key)
    if machine.role is not Role.LEADER or progress is None:
        return
    if isinstance(message, SnapshotRequest):
        progress.snapshot_until = 0.0
    else:
        progress.sent_until = 0.0


def _note_match(machine, progress: Progress, reply: AppendReply) -> None:
    last = machine.log.last_index
    require(reply.match_index <= last, "member is ahead of its leader")
    if reply.match_index > 0 or reply.prev_index == progress.next - 1:
        progress.matched = True
    progress.match = max(progress.match, reply.match_index)
    if progress.match >= progress.sent_last:
        progress.sent_until = 0.0
    if progress.match >= machine.log.base_index:
        progress.snapshot_until = 0.0


def quorum_value(machine, own, value_of):
    """Return the highest value that a quorum of the voters has reached.

    Voters of whose current incarnation nothing is known do not count.
    """
    values = []
    for member in machine.configuration.voters:
        key = (member.name, member.incarnation)
        if key == (machine.name, machine.incarnation):
            values.append(own)
        elif key in machine.leading.progress:
            values.append(value_of(machine.leading.progress[key]))
    values.sort(reverse=True)
    quorum = machine.configuration.quorum
    return values[quorum - 1] if len(values) >= quorum else None


def quorum_contact(machine, now: float) -> float | None:
    """Return when a leader last sent what a quorum has answered."""
    return quorum_value(machine, now, lambda progress: progress.contact)


def tick(machine, now: float) -> None:
    """Step down without a quorum; send heartbeats."""
    contact = quorum_contact(machine, now)
    timeout = machine.timing.election_timeout_s
    if contact is not None:
        _excuse_pause(machine, contact, now)
    lost = contact is None or now - contact >= timeout
    if lost and now >= machine.leading.excused_until:
        machine.become_follower(machine.term, None, now)
        return
    if now >= machine.leading.heartbeat_due:
        broadcast(machine, now)


def _excuse_pause(machine, contact: float, now: float) -> None:
    """Allow time for a round after a pause of this process.

    Nobody was asked during the pause, so the lack of answers proves nothing.
    Without an answer since the last pause there is no further excuse.
    """
    leading = machine.leading
    pause = now - leading.heartbeat_due
    timeout = machine.timing.election_timeout_s
    in_contact_before = leading.heartbeat_due - contact < timeout
    if pause > machine.timing.heartbeat_s and in_contact_before:
        leading.excused_until = now + min(pause, timeout)


def advance_commit(machine) -> None:
    """Commit what a quorum holds, but only with an own entry."""
    own = machine.log.last_index
    index = quorum_value(machine, own, lambda progress: progress.match)
    if index is None or index <= machine.commit:
        return
    if machine.log.term_at(index) == machine.term:
        machine.commit = index


def propose(machine, event: Propose, now: float) -> None:
    """Append commands."""
    if machine.role is not Role.LEADER:
        machine.reject(event.ticket, ErrorKind.NOT_LEADER, "not the leader")
        return
    log = machine.log
    if log.last_index - machine.commit >= MAX_UNCOMMITTED:
        reason = f"{MAX_UNCOMMITTED} entries wait for a quorum"
        machine.reject(event.ticket, ErrorKind.OVERLOADED, reason)
        return
    first = log.last_index + 1
    for command in event.commands:
        index = log.last_index + 1
        machine.append(Entry(index, machine.term, data=command))
    machine.emit(Appended(event.ticket, first, machine.term))
    replicate(machine, now)


def confirm_read(machine, ticket: int, now: float) -> None:
    """Let a read wait for the next round; start it if none is open."""
    if machine.role is not Role.LEADER:
        machine.reject(ticket, ErrorKind.NOT_LEADER, "not the leader")
        return
    leading = machine.leading
    read = PendingRead(ticket, leading.round + 1, machine.commit)
    leading.reads.append(read)
    _open_read_round(machine, now)


def _acked_round(machine) -> int:
    own = machine.leading.round
    acked = quorum_value(machine, own, lambda progress: progress.acked_round)
    return acked or 0


def _open_read_round(machine, now: float) -> None:
    leading = machine.leading
    if leading.reads and leading.read_round <= _acked_round(machine):
        broadcast(machine, now)
        leading.read_round = leading.round


def answer_reads(machine, now: float) -> None:
    """Answer the reads whose round a quorum has acknowledged."""
    leading = machine.leading
    if not leading.reads or not machine.ready:
        return
    acked = _acked_round(machine)
    waiting = []
    for read in leading.reads:
        if read.round <= acked:
            index = max(read.index, leading.first_index)
            machine.emit(ReadConfirmed(read.ticket, index))
        else:
            waiting.append(read)
    leading.reads = waiting
    _open_read_round(machine, now)


def abandon(machine) -> None:
    """Refuse the waiting reads when leadership ends."""
    for read in machine.leading.reads:
        machine.reject(read.ticket, ErrorKind.NOT_LEADER, "leadership ended")
    machine.leading.reads = []
