"""Log replication on the leader: commit, read index and quorum check."""

import msgspec

from chivescale.agreement._events import (
    Appended,
    Propose,
    ReadConfirmed,
    Role,
)
from chivescale.agreement._limits import (
    MAX_BATCH_BYTES,
    MIN_BATCH_BYTES,
    entries_bytes,
    snapshot_bytes,
    transfer_time_s,
)
from chivescale.agreement._log import check_invariant, configuration_entry
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
# With this many uncommitted entries, the group cannot keep up, and the leader
# rejects new commands without effect.
MAX_UNCOMMITTED_ENTRIES = 8192
# A snapshot is sent again after this time and that of its transfer, or once
# the transport reports a failure.
SNAPSHOT_RESEND_S = 5.0
MAX_TRACKED_ROUNDS = 128


class Progress(msgspec.Struct):
    """Replication progress of one member.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send while `matched` is False.
    match : int
        Index up to which the member's log matches the leader's.
    matched : bool
        Whether the logs are known to match up to `match`.
    batch_bytes : int
        Limit of the next batch. It is low at first and halved when a batch
        fails, so that a slow link or a receiver with a lower limit does not
        stop replication, and doubled when one arrives.
    inflight_last_index : int
        Index of the last entry in the batch in flight.
    inflight_until, snapshot_inflight_until : float
        Time until which no further batch or snapshot is sent unless the
        one in flight is answered or fails.
    contact : float
        Send time of the latest acknowledged round.
    acked_round : int
        Highest acknowledged round.
    term_announced : bool
        Whether the member was told that the first entry is committed.
    """

    next_index: int
    contact: float
    match: int = 0
    matched: bool = False
    batch_bytes: int = MIN_BATCH_BYTES
    inflight_last_index: int = 0
    inflight_until: float = 0.0
    snapshot_inflight_until: float = 0.0
    acked_round: int = 0
    term_announced: bool = False


class PendingRead(msgspec.Struct):
    """A read that waits until a quorum acknowledges `round`."""

    request_id: int
    round: int
    index: int


class LeaderState(msgspec.Struct):
    """State of a leader.

    Attributes
    ----------
    first_index : int
        Index of the first entry of this term. Earlier entries are
        committed only together with it, because a later leader could replace
        an entry of an earlier term even if a quorum stores it.
    quorum_grace_until : float
        Time until which the quorum check is suspended after a pause of
        this process.
    round : int
        Number of the last broadcast.
    last_read_round : int
        Last round that was started for pending reads.
    """

    first_index: int = 0
    heartbeat_due: float = 0.0
    quorum_grace_until: float = 0.0
    round: int = 0
    last_read_round: int = 0
    round_sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    progress: dict[tuple[str, str], Progress] = msgspec.field(
        default_factory=dict
    )
    pending_reads: list[PendingRead] = msgspec.field(default_factory=list)


def become_leader(machine, forming: Configuration | None, now: float) -> None:
    """Become leader and append the first entry of the term."""
    check_invariant(machine.term_leader is None, "two leaders in one term")
    machine.role = Role.LEADER
    index = machine.log.last_index + 1
    machine.leading = LeaderState(first_index=index)
    if forming is None:
        machine.append(Entry(index, machine.term, NOOP))
    else:
        machine.append(configuration_entry(index, machine.term, forming))
    machine.leader = machine.term_leader = machine.own_member
    broadcast(machine, now)


def other_members(machine) -> list[Member]:
    """Return all members except this one."""
    return [
        member
        for member in machine.configuration.members
        if member.name != machine.name
    ]


def progress_of(machine, member: Member, now: float) -> Progress:
    """Return the progress of an incarnation; create it if needed."""
    key = (member.name, member.incarnation)
    progress = machine.leading.progress.get(key)
    if progress is None:
        progress = Progress(machine.log.last_index + 1, now)
        machine.leading.progress[key] = progress
    return progress


def broadcast(machine, now: float) -> None:
    """Start a round: send entries or a heartbeat to every member."""
    leading = machine.leading
    leading.round += 1
    leading.round_sent_at[leading.round] = now
    leading.round_sent_at.pop(leading.round - MAX_TRACKED_ROUNDS, None)
    leading.heartbeat_due = now + machine.timing.heartbeat_s
    members = other_members(machine)
    keys = {(member.name, member.incarnation) for member in members}
    for key in set(leading.progress) - keys:
        del leading.progress[key]
    for member in members:
        _send_next(machine, member, now, heartbeat=True)


def replicate(machine, now: float) -> None:
    """Send new entries to all members without a batch in flight."""
    for member in other_members(machine):
        _send_next(machine, member, now, heartbeat=False)


def _responded_recently(machine, progress: Progress, now: float) -> bool:
    age = now - progress.contact
    return age < machine.timing.election_timeout_s


def in_contact(machine, member: Member, now: float) -> bool:
    """Return whether a member replied within the election timeout."""
    key = (member.name, member.incarnation)
    progress = machine.leading.progress.get(key)
    if progress is None or progress.acked_round == 0:
        return False
    return _responded_recently(machine, progress, now)


def _send_next(machine, member: Member, now: float, *, heartbeat: bool):
    """Send the next entries, a snapshot or a heartbeat to a member.

    An unresponsive member receives only heartbeats, so that no large message
    is sent to a member that is down. Its first reply resumes replication.
    """
    log = machine.log
    progress = progress_of(machine, member, now)
    first_index = (
        progress.match + 1 if progress.matched else progress.next_index
    )
    has_pending = not progress.matched or first_index <= log.last_index
    if first_index <= log.base_index:
        if in_contact(machine, member, now):
            _send_snapshot(machine, member, progress, now)
    elif has_pending and now >= progress.inflight_until:
        if _responded_recently(machine, progress, now):
            _send_batch(machine, member, progress, first_index, now)
            return
    if heartbeat:
        _send_append(machine, member, progress.match, ())


def _send_batch(machine, member, progress, first_index, now: float) -> None:
    entries = machine.log.slice(
        first_index, MAX_BATCH_ENTRIES, progress.batch_bytes
    )
    wait_s = transfer_time_s(entries_bytes(entries))
    wait_s += machine.timing.election_timeout_s
    progress.inflight_until = now + wait_s
    progress.inflight_last_index = first_index - 1 + len(entries)
    _send_append(machine, member, first_index - 1, entries)


def _send_append(machine, member, prev_index, entries) -> None:
    prev_term = machine.log.term_at(prev_index)
    if prev_term is None:
        # The entry has been compacted. Index 0 matches every log.
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
    if now < progress.snapshot_inflight_until:
        return
    snapshot = machine.log.snapshot
    wait_s = SNAPSHOT_RESEND_S + transfer_time_s(snapshot_bytes(snapshot))
    progress.snapshot_inflight_until = now + wait_s
    request = SnapshotRequest(
        header=machine.header_to(member.name, member.incarnation),
        snapshot=snapshot,
        round=machine.leading.round,
    )
    machine.send(member.address, request)


def on_reply(machine, reply: AppendReply, now: float) -> None:
    """Update the progress of a member and send the next entries."""
    header = reply.header
    leading = machine.leading
    key = (header.sender, header.sender_incarnation)
    progress = leading.progress.get(key)
    member = machine.configuration.find(*key)
    if progress is None or member is None:
        return
    sent = leading.round_sent_at.get(reply.round, progress.contact)
    progress.contact = max(progress.contact, sent)
    progress.acked_round = max(progress.acked_round, reply.round)
    if reply.ok:
        _update_match(machine, progress, reply)
    elif not progress.matched and reply.prev_index == progress.next_index - 1:
        progress.next_index = max(
            1, min(reply.match_index + 1, progress.next_index - 1)
        )
        progress.inflight_until = 0.0
    _send_next(machine, member, now, heartbeat=False)
    _announce_term_to(machine, member)


def on_undelivered(machine, message, now: float) -> None:
    """Allow a failed batch, then a smaller one, or snapshot to be sent."""
    header = message.header
    key = (header.target, header.target_incarnation)
    progress = machine.leading.progress.get(key)
    if machine.role is not Role.LEADER or progress is None:
        return
    if isinstance(message, SnapshotRequest):
        progress.snapshot_inflight_until = 0.0
        return
    progress.inflight_until = 0.0
    if message.entries:
        size = min(progress.batch_bytes, entries_bytes(message.entries))
        progress.batch_bytes = max(MIN_BATCH_BYTES, size // 2)


def _update_match(machine, progress: Progress, reply: AppendReply) -> None:
    last = machine.log.last_index
    check_invariant(
        reply.match_index <= last,
        "match index of a member exceeds the leader's log",
    )
    if reply.match_index > 0 or reply.prev_index == progress.next_index - 1:
        progress.matched = True
    if reply.match_index > progress.match:
        progress.match = reply.match_index
        progress.batch_bytes = min(MAX_BATCH_BYTES, progress.batch_bytes * 2)
    if progress.match >= progress.inflight_last_index:
        progress.inflight_until = 0.0
    if progress.match >= machine.log.base_index:
        progress.snapshot_inflight_until = 0.0


def quorum_value(machine, own, value_of):
    """Return the highest value that a quorum of the voters has reached.

    Voters without known progress for their incarnation do not count.
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
    """Return the send time of the latest round that a quorum answered."""
    return quorum_value(machine, now, lambda progress: progress.contact)


def tick(machine, now: float) -> None:
    """Step down after losing the quorum; send heartbeats when due."""
    contact = quorum_contact(machine, now)
    timeout = machine.timing.election_timeout_s
    if contact is not None:
        _extend_quorum_grace(machine, contact, now)
    quorum_lost = contact is None or now - contact >= timeout
    if quorum_lost and now >= machine.leading.quorum_grace_until:
        machine.become_follower(machine.term, None, now)
        return
    if now >= machine.leading.heartbeat_due:
        broadcast(machine, now)


def _extend_quorum_grace(machine, contact: float, now: float) -> None:
    """Suspend the quorum check to allow one round after a process pause.

    No heartbeats were sent during the pause, so missing replies do not show
    a lost quorum. The check is not suspended again unless a quorum has
    replied since the last pause.
    """
    leading = machine.leading
    pause = now - leading.heartbeat_due
    timeout = machine.timing.election_timeout_s
    in_contact_before = leading.heartbeat_due - contact < timeout
    if pause > machine.timing.heartbeat_s and in_contact_before:
        leading.quorum_grace_until = now + min(pause, timeout)


def advance_commit(machine) -> None:
    """Advance the commit index if a quorum stores an entry of this term."""
    own = machine.log.last_index
    index = quorum_value(machine, own, lambda progress: progress.match)
    if index is None or index <= machine.commit:
        return
    if machine.log.term_at(index) == machine.term:
        machine.commit = index


def announce_term(machine) -> None:
    """Tell the members that the first entry of the term is committed.

    Members that restarted together cannot apply any entry before they know.
    """
    for member in other_members(machine):
        _announce_term_to(machine, member)


def _announce_term_to(machine, member: Member) -> None:
    """Tell one member once, as soon as it stores the first entry."""
    leading = machine.leading
    progress = leading.progress.get((member.name, member.incarnation))
    if progress is None or progress.match < leading.first_index:
        return
    if machine.ready and not progress.term_announced:
        progress.term_announced = True
        _send_append(machine, member, progress.match, ())


def propose(machine, event: Propose, now: float) -> None:
    """Append and replicate commands."""
    if machine.role is not Role.LEADER:
        machine.reject(
            event.request_id, ErrorKind.NOT_LEADER, "not the leader"
        )
        return
    log = machine.log
    if log.last_index - machine.commit >= MAX_UNCOMMITTED_ENTRIES:
        reason = f"{MAX_UNCOMMITTED_ENTRIES} log entries are not committed yet"
        machine.reject(event.request_id, ErrorKind.OVERLOADED, reason)
        return
    first = log.last_index + 1
    for command in event.commands:
        index = log.last_index + 1
        machine.append(Entry(index, machine.term, data=command))
    machine.emit(Appended(event.request_id, first, machine.term))
    replicate(machine, now)


def confirm_read(machine, request_id: int, now: float) -> None:
    """Add a read to the next round; start it if none is in progress."""
    if machine.role is not Role.LEADER:
        machine.reject(request_id, ErrorKind.NOT_LEADER, "not the leader")
        return
    leading = machine.leading
    read = PendingRead(request_id, leading.round + 1, machine.commit)
    leading.pending_reads.append(read)
    _start_read_round(machine, now)


def _acked_round(machine) -> int:
    own = machine.leading.round
    acked = quorum_value(machine, own, lambda progress: progress.acked_round)
    return acked or 0


def _start_read_round(machine, now: float) -> None:
    leading = machine.leading
    if leading.pending_reads and leading.last_read_round <= _acked_round(
        machine
    ):
        broadcast(machine, now)
        leading.last_read_round = leading.round


def answer_reads(machine, now: float) -> None:
    """Confirm the reads whose round a quorum has acknowledged."""
    leading = machine.leading
    if not leading.pending_reads or not machine.ready:
        return
    acked = _acked_round(machine)
    unconfirmed = []
    for read in leading.pending_reads:
        if read.round <= acked:
            index = max(read.index, leading.first_index)
            machine.emit(ReadConfirmed(read.request_id, index))
        else:
            unconfirmed.append(read)
    leading.pending_reads = unconfirmed
    _start_read_round(machine, now)


def reject_pending_reads(machine) -> None:
    """Reject all pending reads when leadership ends."""
    for read in machine.leading.pending_reads:
        machine.reject(
            read.request_id, ErrorKind.NOT_LEADER, "leadership ended"
        )
    machine.leading.pending_reads = []
