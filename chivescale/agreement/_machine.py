"""Agreement state machine: event dispatch, commit and apply."""

import random

from chivescale.agreement import _election, _follower, _members, _replication
from chivescale.agreement._events import (
    Apply,
    ConfigurationChanged,
    ConfirmRead,
    Effect,
    Event,
    HardState,
    LeadershipChanged,
    Persist,
    Propose,
    Received,
    Recovered,
    Rejected,
    RemoveMember,
    ReplaceMember,
    Restore,
    Role,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    StepDown,
    TakeSnapshot,
    Tick,
    Timing,
    Undelivered,
)
from chivescale.agreement._log import MemoryLog, check_invariant
from chivescale.agreement._messages import (
    AgreementMessage,
    AppendReply,
    AppendRequest,
    Configuration,
    Entry,
    Header,
    Member,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from chivescale.errors import ErrorKind, Failure

# A timer that fires later than this fraction of a heartbeat interval indicates
# a pause of the process.
PAUSE_THRESHOLD_HEARTBEATS = 0.2
# Longest wait of a follower, in heartbeat intervals. A late wake-up shows that
# the process itself was paused.
MAX_WAKEUP_HEARTBEATS = 2


class Agreement:
    """State machine of one member of the group; performs no I/O.

    The caller must execute the effects of a step in order and before the
    next step. If a disk write fails, the remaining effects must not be
    executed and the machine must not be used again.

    Parameters
    ----------
    name : str
        Name of this member, which `initial` need not contain.
    initial : Configuration
        Members from the settings, without incarnations.
    recovered : Recovered
        Durable state of this member.
    timing : Timing
        Timeouts and snapshot interval.
    rng : random.Random
        Random generator for election timeouts.
    address : str, optional
        Address of this member; required if `initial` does not contain it.
    may_form : bool, optional
        Whether this member may take part in the initial formation of the
        group.
    """

    def __init__(
        self,
        name: str,
        initial: Configuration,
        recovered: Recovered,
        timing: Timing,
        rng: random.Random,
        *,
        address: str = "",
        may_form: bool = True,
    ):
        self.name = name
        self.address = address
        # A member that lost its disk, or that is not in the initial
        # configuration, must not form a second group.
        self.may_form = may_form and initial.find(name) is not None
        self.incarnation = recovered.incarnation
        self.identity = f"{name}/{recovered.incarnation}"
        self.initial = initial
        self.timing = timing
        self.rng = rng
        self.term = recovered.hard_state.term
        self.vote = recovered.hard_state.vote
        self.log = MemoryLog(initial, recovered.snapshot, recovered.entries)
        self.commit = self.applied = self.log.base_index
        self.snapshot_pending = False
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.term_leader: Member | None = None
        self.leader_contact_at: float | None = None
        # Last message of a leader that named no committed entry beyond those
        # that this member knows.
        self.current_at: float | None = None
        self.election_due: float | None = None
        self.last_step_at = 0.0
        self.election_deferred = False
        self.election = _election.Election()
        self.leading = _replication.LeaderState()
        self.seen: dict[str, Member] = {}
        self._hard_state_changed = False
        self._new_entries: list[Entry] = []
        self._snapshot_to_restore: Snapshot | None = None
        self._snapshot_to_save: Snapshot | None = None
        self._sends: list[Send] = []
        self._effects: list[Effect] = []
        if recovered.snapshot is not None:
            self._effects.append(Restore(recovered.snapshot))

    # State that the driver reads.

    @property
    def configuration(self) -> Configuration:
        """Latest configuration, committed or not."""
        return self.log.configuration

    @property
    def formed(self) -> bool:
        """Whether this member knows a configuration with incarnations."""
        return self.configuration.formed

    @property
    def own_member(self) -> Member | None:
        """This member in the configuration; None for another incarnation."""
        return self.configuration.find(self.name, self.incarnation)

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty if unknown."""
        if self.leader is None:
            return ""
        known = self.configuration.find(self.leader.name)
        return known.address if known else self.leader.address

    @property
    def ready(self) -> bool:
        """Whether this member leads and applied all entries of past terms."""
        return (
            self.role is Role.LEADER
            and self.applied >= self.leading.first_index
        )

    def contact_age_s(self, now: float) -> float:
        """Return the time since the last contact with a quorum, in seconds.

        A follower counts the last message of its leader, and only while it
        has all entries that were committed then.
        """
        if self.role is Role.LEADER:
            contact = _replication.quorum_contact(self, now)
        else:
            contact = self.current_at if self.leader else None
        return float("inf") if contact is None else now - contact

    def next_wakeup(self) -> float | None:
        """Return the time of the next `Tick`; None if it is due now."""
        if self.role is Role.LEADER:
            return self.leading.heartbeat_due
        if self.election_due is None:
            return None
        max_wait_s = MAX_WAKEUP_HEARTBEATS * self.timing.heartbeat_s
        return min(self.election_due, self.last_step_at + max_wait_s)

    # Events.

    def step(self, event: Event, now: float) -> list[Effect]:
        """Process one event.

        Parameters
        ----------
        event : Event
            Event to process.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            Effects to execute in order.

        Raises
        ------
        AssertionError
            If an invariant is violated. The member must stop.
        """
        before = (self.commit, self.configuration)
        was_ready = self.ready
        self._handle_pause(now)
        match event:
            case Tick():
                self._tick(now)
            case Received(message):
                self._receive(message, now)
            case Undelivered(message):
                _replication.on_undelivered(self, message, now)
            case Propose():
                _replication.propose(self, event, now)
            case ConfirmRead(request_id):
                _replication.confirm_read(self, request_id, now)
            case ReplaceMember():
                _members.replace_member(self, event, now)
            case RemoveMember():
                _members.remove_member(self, event, now)
            case StepDown():
                _members.step_down(self, now)
            case SnapshotTaken(index, data):
                self._compact(index, data)
        if self.role is Role.LEADER:
            _members.promote_learner(self, now)
            _replication.advance_commit(self)
        self._apply_committed()
        if self.role is Role.LEADER:
            if self.ready and not was_ready:
                _replication.announce_term(self)
            _replication.answer_reads(self, now)
        check_invariant(self.commit >= before[0], "commit index decreased")
        if self.configuration != before[1]:
            self.emit(ConfigurationChanged(self.configuration))
        if self.ready != was_ready:
            self.emit(LeadershipChanged(self.ready, self.term))
        return self._collect_effects()

    def _handle_pause(self, now: float) -> None:
        """Start the election timer; postpone it once after a pause.

        After a pause, the process must first handle the messages that arrived
        in the meantime. The leader may have been paused as well, so it gets
        time to send the next heartbeat.
        """
        if self.election_due is None:
            self.last_step_at = now
            _election.start_election_timer(self, now)
            return
        delay_s = now - self.next_wakeup()
        self.last_step_at = now
        heartbeat = self.timing.heartbeat_s
        if (
            delay_s > PAUSE_THRESHOLD_HEARTBEATS * heartbeat
            and not self.election_deferred
        ):
            self.election_deferred = True
            wait = max(heartbeat, min(delay_s, self.timing.election_timeout_s))
            self.election_due = max(self.election_due, now + wait)

    def _tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            _replication.tick(self, now)
        elif now >= self.election_due:
            _election.start_pre_vote(self, now)

    def _receive(self, message: AgreementMessage, now: float) -> None:
        header = message.header
        if not self._is_addressee(message):
            return
        match message:
            case VoteRequest():
                _election.on_vote_request(self, message, now)
            case VoteReply():
                _election.on_vote_reply(self, message, now)
            case AppendRequest():
                _follower.on_append(self, message, now)
            case SnapshotRequest():
                _follower.on_snapshot(self, message, now)
            case AppendReply():
                if header.term > self.term:
                    self.become_follower(header.term, None, now)
                elif self.role is Role.LEADER and header.term == self.term:
                    _replication.on_reply(self, message, now)

    def _is_addressee(self, message: AgreementMessage) -> bool:
        """Return whether a message is for this member and incarnation.

        A member that lost its disk must not vote or acknowledge entries in
        place of its former incarnation. Only a pre-vote request may omit the
        incarnation, since it is unknown until the group is formed.
        """
        header = message.header
        if header.target != self.name:
            return False
        if header.target_incarnation == self.incarnation:
            return True
        is_pre_vote = isinstance(message, VoteRequest) and message.pre
        return is_pre_vote and not header.target_incarnation

    # State changes used by the other modules.

    def emit(self, effect: Effect) -> None:
        """Add an effect, executed after the writes and sends of this step."""
        self._effects.append(effect)

    def reject(self, request_id: int, kind: ErrorKind, reason: str) -> None:
        """Reject a request, which had no effect."""
        redirect = self.leader_address if kind is ErrorKind.NOT_LEADER else ""
        failure = Failure(kind, reason, leader_address=redirect)
        self.emit(Rejected(request_id, failure))

    def header_to(self, name: str, incarnation: str) -> Header:
        """Return a message header for the current term."""
        return Header(
            self.name, self.incarnation, name, incarnation, self.term
        )

    def send(self, address: str, message: AgreementMessage) -> None:
        """Send a message once the writes of this step are durable."""
        self._sends.append(Send(address, message))

    def reply_header(self, header: Header) -> Header:
        """Return the header of a reply."""
        return self.header_to(header.sender, header.sender_incarnation)

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change term and vote; a vote never changes within a term."""
        check_invariant(term >= self.term, "term decreased")
        if term == self.term:
            check_invariant(
                self.vote in ("", vote), "vote changed within a term"
            )
        if (term, vote) != (self.term, self.vote):
            if term > self.term:
                self.term_leader = None
            self.term, self.vote = term, vote
            self._hard_state_changed = True

    def append(self, entry: Entry) -> None:
        """Append an entry to the log."""
        self.log.append(entry)
        self._new_entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove log entries that conflict with the leader's log."""
        self.log.truncate_from(index, self.commit)
        kept = [entry for entry in self._new_entries if entry.index < index]
        self._new_entries = kept

    def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot of the leader as log and applied state."""
        check_invariant(
            snapshot.index > self.commit,
            "snapshot is older than the commit index",
        )
        self.log.install(snapshot)
        self.commit = self.applied = snapshot.index
        self.snapshot_pending = False
        self._snapshot_to_restore = self._snapshot_to_save = snapshot

    def become_follower(
        self, term: int, leader: Member | None, now: float
    ) -> None:
        """Become a follower in the given term, of `leader` if it is known."""
        if self.role is Role.LEADER:
            self.leader = None
            _replication.reject_pending_reads(self)
            _election.reset_election_timer(self, now)
        if term > self.term:
            self.set_hard_state(term, "")
            self.leader = None
        self.role = Role.FOLLOWER
        if leader is not None:
            known = self.term_leader or leader
            same = known.name == leader.name
            same = same and known.incarnation == leader.incarnation
            check_invariant(same, "two leaders in one term")
            self.leader = self.term_leader = leader
            self.leader_contact_at = now
            _election.reset_election_timer(self, now)

    def _apply_committed(self) -> None:
        check_invariant(
            self.commit <= self.log.last_index,
            "commit index exceeds the last log index",
        )
        check_invariant(
            self.applied <= self.commit,
            "applied index exceeds the commit index",
        )
        for index in range(self.applied + 1, self.commit + 1):
            self.emit(Apply(self.log.entry(index)))
        self.applied = self.commit
        snapshot_index = self.log.snapshot.index if self.log.snapshot else 0
        due = self.applied - snapshot_index >= self.timing.snapshot_entries
        if due and not self.snapshot_pending:
            self.snapshot_pending = True
            self.emit(TakeSnapshot(self.applied))

    def _compact(self, index: int, data: bytes) -> None:
        if not self.snapshot_pending:
            return
        self.snapshot_pending = False
        check_invariant(
            index <= self.applied, "snapshot index exceeds the applied index"
        )
        term = self.log.term_at(index)
        configuration = self.log.configuration_at(index)
        snapshot = Snapshot(index, term, configuration, data)
        keep_after = index - self.timing.snapshot_entries // 4
        self.log.compact(snapshot, keep_after)
        self._snapshot_to_save = snapshot

    def _collect_effects(self) -> list[Effect]:
        """Return the effects: writes first, then sends, then all others."""
        hard_state = HardState(self.term, self.vote)
        ordered: list[Effect] = []
        if self._snapshot_to_save is not None:
            kept = self.log.entries_after(self._snapshot_to_save.index)
            ordered.append(
                SaveSnapshot(self._snapshot_to_save, hard_state, kept)
            )
        elif self._hard_state_changed or self._new_entries:
            changed = hard_state if self._hard_state_changed else None
            ordered.append(Persist(changed, tuple(self._new_entries)))
        if self._snapshot_to_restore is not None:
            ordered.append(Restore(self._snapshot_to_restore))
        ordered += self._sends
        ordered += self._effects
        self._hard_state_changed = False
        self._new_entries, self._sends, self._effects = [], [], []
        self._snapshot_to_restore = self._snapshot_to_save = None
        return ordered
