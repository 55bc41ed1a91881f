"""Log replication on followers."""

from chivescale.agreement._log import check_invariant
from chivescale.agreement._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    Header,
    Member,
    SnapshotRequest,
)


def _accept_leader(machine, header: Header, now: float) -> bool:
    """Follow the sender unless its term is outdated."""
    if header.term < machine.term:
        return False
    known = machine.configuration.find(header.sender)
    address = known.address if known else ""
    leader = Member(header.sender, address, header.sender_incarnation)
    machine.become_follower(header.term, leader, now)
    return True


def _reply(machine, request, ok: bool, prev_index: int, match_index: int):
    reply = AppendReply(
        header=machine.reply_header(request.header),
        ok=ok,
        prev_index=prev_index,
        match_index=match_index,
        round=request.round,
    )
    machine.send(machine.leader_address, reply)


def on_append(machine, request: AppendRequest, now: float) -> None:
    """Append the entries of the leader and reply."""
    prev = request.prev_index
    if not _accept_leader(machine, request.header, now):
        _reply(machine, request, False, prev, 0)
        return
    if not _matches_previous(machine, request):
        _reply(machine, request, False, prev, _conflict_index(machine, prev))
        return
    for entry in request.entries:
        _store_entry(machine, entry)
    last = prev + len(request.entries)
    machine.commit = max(machine.commit, min(request.commit, last))
    if machine.commit >= request.commit:
        machine.current_at = now
    _reply(machine, request, True, prev, last)


def _matches_previous(machine, request: AppendRequest) -> bool:
    log, prev = machine.log, request.prev_index
    if prev > log.last_index:
        return False
    if prev < log.base_index or prev == 0:
        return True
    same = log.term_at(prev) == request.prev_term
    check_invariant(same or prev > machine.commit, "committed entry differs")
    return same


def _conflict_index(machine, prev: int) -> int:
    """Return the highest index at which the logs may match.

    All entries of a conflicting term are skipped at once, so that a long
    divergent suffix takes one message per term instead of one per entry.
    """
    log = machine.log
    if prev > log.last_index:
        return log.last_index
    term, index = log.term_at(prev), prev
    while index > machine.commit and log.term_at(index) == term:
        index -= 1
    return index


def _store_entry(machine, entry: Entry) -> None:
    log = machine.log
    if entry.index <= log.base_index:
        return
    if entry.index <= log.last_index:
        if log.term_at(entry.index) == entry.term:
            same = log.entry(entry.index) == entry
            check_invariant(same, "entries with equal index and term differ")
            return
        machine.truncate_from(entry.index)
    machine.append(entry)


def on_snapshot(machine, request: SnapshotRequest, now: float) -> None:
    """Install a snapshot of the leader and reply."""
    index = request.snapshot.index
    if not _accept_leader(machine, request.header, now):
        _reply(machine, request, False, index, 0)
        return
    if index > machine.commit:
        machine.install(request.snapshot)
    _reply(machine, request, True, index, index)
