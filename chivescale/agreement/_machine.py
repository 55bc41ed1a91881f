"""The agreement state machine: dispatch, commit and apply."""

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
    TakeSnapshot,
    Tick,
    Timing,
    Undelivered,
)
from chivescale.agreement._log import MemoryLog, require
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

# A timer that is late by more than this share of a heartbeat was held up by
# a pause of the process.
LATE_SHARE = 0.2
# A member that hears nothing wakes up after this many heartbeats; a late
# wake-up shows that it was paused itself.
WAKEUP_HEARTBEATS = 2


class Agreement:
    """One member of the group that keeps the replicated log.

    The caller executes the effects of a step in order, before the next
    step. If one that writes to disk fails, the later ones must not be
    executed and the machine must not be used any more.

    Parameters
    ----------
    name : str
        Own name, one of the initial members or a name to be added.
    initial : Configuration
        Members of the settings, without incarnations.
    recovered : Recovered
        Durable state.
    timing : Timing
        Durations.
    rng : random.Random
        Source of the random part of election timeouts.
    address : str, optional
        Own address; needed by a member that `initial` does not name.
    may_form : bool, optional
        Whether this member may take part in forming the group.
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
        # A member that starts without its disk, or that the initial
        # configuration does not name, must not form a second group.
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
        self.leader_contact: float | None = None
        self.election_due: float | None = None
        self.stepped_at = 0.0
        self.deferred = False
        self.election = _election.Election()
        self.leading = _replication.Leading()
        self.seen: dict[str, Member] = {}
        self._hard_state_changed = False
        self._new_entries: list[Entry] = []
        self._installed: Snapshot | None = None
        self._saved: Snapshot | None = None
        self._sends: list[Send] = []
        self._effects: list[Effect] = []
        if recovered.snapshot is not None:
            self._effects.append(Restore(recovered.snapshot))

    # State that the shell reads.

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
        """Own entry in the configuration, of the own incarnation."""
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
        """Whether this member leads and has applied all before its term."""
        return (
            self.role is Role.LEADER
            and self.applied >= self.leading.first_index
        )

    def contact_age_s(self, now: float) -> float:
        """Return how long ago this member was in contact with a quorum.

        A follower is in contact through its leader.
        """
        if self.role is Role.LEADER:
            contact = _replication.quorum_contact(self, now)
        else:
            contact = self.leader_contact if self.leader else None
        return float("inf") if contact is None else now - contact

    def next_wakeup(self) -> float | None:
        """Return when the next `Tick` is due; None for at once."""
        if self.role is Role.LEADER:
            return self.leading.heartbeat_due
        if self.election_due is None:
            return None
        check = WAKEUP_HEARTBEATS * self.timing.heartbeat_s
        return min(self.election_due, self.stepped_at + check)

    # Events.

    def step(self, event: Event, now: float) -> list[Effect]:
        """Handle one event.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            To be executed in order.

        Raises
        ------
        AssertionError
            If an invariant is violated; the member must stop.
        """
        before = (self.commit, self.configuration)
        was_ready = self.ready
        self._note_time(now)
        match event:
            case Tick():
                self._tick(now)
            case Received(message):
                self._receive(message, now)
            case Undelivered(message):
                _replication.on_undelivered(self, message, now)
            case Propose():
                _replication.propose(self, event, now)
            case ConfirmRead(ticket):
                _replication.confirm_read(self, ticket, now)
            case ReplaceMember():
                _members.replace_member(self, event, now)
            case RemoveMember():
                _members.remove_member(self, event, now)
            case SnapshotTaken(index, data):
                self._compact(index, data)
        if self.role is Role.LEADER:
            _members.promote_learner(self, now)
            _replication.advance_commit(self)
        self._apply_committed()
        if self.role is Role.LEADER:
            _replication.answer_reads(self, now)
        require(self.commit >= before[0], "commit index went back")
        if self.configuration != before[1]:
            self.emit(ConfigurationChanged(self.configuration))
        if self.ready != was_ready:
            self.emit(LeadershipChanged(self.ready, self.term))
        return self._collect()

    def _note_time(self, now: float) -> None:
        """Start the timer; put an election off once after a pause.

        A process that was paused has to see the messages that arrived
        meanwhile before it misses its leader, which may have been paused
        too.
        """
        if self.election_due is None:
            self.stepped_at = now
            _election.start_timer(self, now)
            return
        late = now - self.next_wakeup()
        self.stepped_at = now
        heartbeat = self.timing.heartbeat_s
        if late > LATE_SHARE * heartbeat and not self.deferred:
            self.deferred = True
            wait = max(heartbeat, min(late, self.timing.election_timeout_s))
            self.election_due = max(self.election_due, now + wait)

    def _tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            _replication.tick(self, now)
        elif now >= self.election_due:
            _election.begin_prevote(self, now)

    def _receive(self, message: AgreementMessage, now: float) -> None:
        header = message.header
        if not self._addressed_to_me(message):
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

    def _addressed_to_me(self, message: AgreementMessage) -> bool:
        """Refuse what was meant for a former incarnation.

        A member that lost its disk must not vote or acknowledge as the
        one that was asked. Only a question before the group is formed
        may leave the incarnation open.
        """
        header = message.header
        if header.target != self.name:
            return False
        if header.target_incarnation == self.incarnation:
            return True
        open_question = isinstance(message, VoteRequest) and message.pre
        return open_question and not header.target_incarnation

    # Changes used by the other modules.

    def emit(self, effect: Effect) -> None:
        """Add an effect that follows the writes and sends of this step."""
        self._effects.append(effect)

    def reject(self, ticket: int, kind: ErrorKind, reason: str) -> None:
        """Answer a request that took no effect."""
        redirect = self.leader_address if kind is ErrorKind.NOT_LEADER else ""
        failure = Failure(kind, reason, redirect=redirect)
        self.emit(Rejected(ticket, failure))

    def header_to(self, name: str, incarnation: str) -> Header:
        """Return the header of a message of the current term."""
        return Header(
            self.name, self.incarnation, name, incarnation, self.term
        )

    def send(self, address: str, message: AgreementMessage) -> None:
        """Send a message once the writes of this step are durable."""
        self._sends.append(Send(address, message))

    def reply_header(self, header: Header) -> Header:
        """Return the header of an answer."""
        return self.header_to(header.sender, header.sender_incarnation)

    def set_hard_state(self, term: int, vote: str) -> None:
        """Change term and vote; a vote never changes within a term."""
        require(term >= self.term, "term went back")
        if term == self.term:
            require(self.vote in ("", vote), "second vote in one term")
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
        """Remove entries of the log that the leader does not have."""
        self.log.truncate_from(index, self.commit)
        kept = [entry for entry in self._new_entries if entry.index < index]
        self._new_entries = kept

    def install(self, snapshot: Snapshot) -> None:
        """Replace log and applied state by a leader's snapshot."""
        require(snapshot.index > self.commit, "snapshot goes back")
        self.log.install(snapshot)
        self.commit = self.applied = snapshot.index
        self.snapshot_pending = False
        self._installed = self._saved = snapshot

    def become_follower(
        self, term: int, leader: Member | None, now: float
    ) -> None:
        """Follow `leader`, or nobody yet, in a term at or above the own."""
        if self.role is Role.LEADER:
            self.leader = None
            _replication.abandon(self)
            _election.reset_timer(self, now)
        if term > self.term:
            self.set_hard_state(term, "")
            self.leader = None
        self.role = Role.FOLLOWER
        if leader is not None:
            known = self.term_leader or leader
            same = known.name == leader.name
            same = same and known.incarnation == leader.incarnation
            require(same, "two leaders in one term")
            self.leader = self.term_leader = leader
            self.leader_contact = now
            _election.reset_timer(self, now)

    def _apply_committed(self) -> None:
        require(self.commit <= self.log.last_index, "commit past the log")
        require(self.applied <= self.commit, "applied past the commit")
        for index in range(self.applied + 1, self.commit + 1):
            self.emit(Apply(self.log.entry(index)))
        self.applied = self.commit
        covered = self.log.snapshot.index if self.log.snapshot else 0
        due = self.applied - covered >= self.timing.snapshot_entries
        if due and not self.snapshot_pending:
            self.snapshot_pending = True
            self.emit(TakeSnapshot(self.applied))

    def _compact(self, index: int, data: bytes) -> None:
        if not self.snapshot_pending:
            return
        self.snapshot_pending = False
        require(index <= self.applied, "snapshot of entries not applied")
        term = self.log.term_at(index)
        configuration = self.log.configuration_at(index)
        snapshot = Snapshot(index, term, configuration, data)
        keep_after = index - self.timing.snapshot_entries // 4
        self.log.compact(snapshot, keep_after)
        self._saved = snapshot

    def _collect(self) -> list[Effect]:
        """Return the effects: writes first, then sends, then the rest."""
        hard_state = HardState(self.term, self.vote)
        ordered: list[Effect] = []
        if self._saved is not None:
            kept = self.log.entries_after(self._saved.index)
            ordered.append(SaveSnapshot(self._saved, hard_state, kept))
        elif self._hard_state_changed or self._new_entries:
            changed = hard_state if self._hard_state_changed else None
            ordered.append(Persist(changed, tuple(self._new_entries)))
        if self._installed is not None:
            ordered.append(Restore(self._installed))
        ordered += self._sends
        ordered += self._effects
        self._hard_state_changed = False
        self._new_entries, self._sends, self._effects = [], [], []
        self._installed = self._saved = None
        return ordered
