"""Barriers: the position that a read without a token must include."""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import EndpointStatus
from chivescale.session._barrier_events import (
    BarrierFailed,
    BarrierReady,
    ReadArrived,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
)
from chivescale.session._quorum import quorum_of

# The primary is contacted only if the replicas do not form a quorum within
# this time, to keep the load of barriers off it. Several round trips between
# availability zones fit into it.
PRIMARY_DELAY_S = 0.02
# A second round on new connections is started after this time: an existing
# connection may have stopped responding while new ones work.
STALL_TIMEOUT_S = 0.1
ROUND_TIMEOUT_S = 0.5
MAX_ROUNDS = 2


class _Round(msgspec.Struct):
    sent_at: float
    read_ids: set[int]
    contacted: set[str]
    answers: dict[str, EndpointStatus] = {}
    failed: set[str] = set()
    fresh: bool = False


class Barriers:
    """State machine for the barrier rounds of one service.

    All reads that are pending when a round starts share it. A read never uses
    a round sent before it arrived, because a write confirmed in between could
    be above the answers of that round.

    Parameters
    ----------
    term : TermChanged, optional
        Initial term.
    round_timeout_s, primary_delay_s, stall_timeout_s : float, optional
        Time limits of a round, in seconds.

    Notes
    -----
    The answers must come from a quorum of the voters of the current term.
    This host may not know yet that a newer term with other voters has been
    established. In that case the first entry of the newer term is on a quorum
    of the voters known here, so at least one answer has a higher last term.
    Such a round proves nothing, and its reads wait until the newer term is
    published.
    """

    def __init__(
        self,
        term: TermChanged | None = None,
        *,
        round_timeout_s: float = ROUND_TIMEOUT_S,
        primary_delay_s: float = PRIMARY_DELAY_S,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ):
        self.round_timeout_s = round_timeout_s
        self.primary_delay_s = primary_delay_s
        self.stall_timeout_s = stall_timeout_s
        self.term = term or TermChanged((), (), "", 0)
        self.deadlines: dict[int, float] = {}
        self.pending_reads: list[int] = []
        self.rounds: dict[int, _Round] = {}
        self.last_round = 0
        # Endpoints that did not answer their last round in time. If too few
        # other replicas remain, the primary is contacted immediately.
        self.slow_endpoints: set[str] = set()
        # Term seen in answers that is not published on this host yet, and
        # when to start another round in case it was never established.
        self.unpublished_term = 0
        self.next_round_at = 0.0

    @property
    def wake_at(self) -> float | None:
        """Time of the next `Tick` in monotonic seconds; None if not needed."""
        times = list(self.deadlines.values())
        if self.pending_reads and self.unpublished_term:
            times.append(self.next_round_at)
        for round_ in self.rounds.values():
            times.append(round_.sent_at + self.round_timeout_s)
            if self._primary_not_contacted(round_):
                times.append(round_.sent_at + self.primary_delay_s)
        if len(self.rounds) == 1:
            (only,) = self.rounds.values()
            if self.pending_reads or not only.fresh:
                times.append(only.sent_at + self.stall_timeout_s)
        return min(times, default=None)

    def step(self, event, now: float) -> list:
        """Process an event and return the effects to execute.

        Parameters
        ----------
        event : ReadArrived, StatusReceived, StatusFailed, TermChanged or Tick
            Event to process.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of StartRound, BarrierReady or BarrierFailed
        """
        effects: list = []
        match event:
            case ReadArrived():
                self.deadlines[event.read_id] = event.deadline
                self.pending_reads.append(event.read_id)
            case StatusReceived():
                self._handle_status(event)
            case StatusFailed():
                self._handle_failure(event)
            case TermChanged():
                self._change_term(event)
        self._expire_reads(now, effects)
        for number in list(self.rounds):
            self._evaluate_round(number, now, effects)
        self._start_round(now, effects)
        return effects

    def _handle_status(self, event: StatusReceived) -> None:
        round_ = self.rounds.get(event.round)
        is_voter = self._is_current_voter(event.endpoint, event.status)
        if is_voter:
            # A late answer counts as well: otherwise a replica that answers
            # just after the primary would be considered slow forever, and
            # barriers that include the primary are ahead of the replicas.
            self.slow_endpoints.discard(event.endpoint)
        if round_ is None:
            return
        if not is_voter:
            round_.failed.add(event.endpoint)
            return
        round_.failed.discard(event.endpoint)
        round_.answers[event.endpoint] = event.status

    def _is_current_voter(self, endpoint: str, status: EndpointStatus) -> bool:
        # A voter that lost its data reports a new incarnation; its low
        # position must not count towards the quorum.
        members = zip(self.term.voters, self.term.incarnations, strict=True)
        return (
            status.endpoint == endpoint
            and (endpoint, status.incarnation) in members
        )

    def _handle_failure(self, event: StatusFailed) -> None:
        round_ = self.rounds.get(event.round)
        if round_ is not None and event.endpoint not in round_.answers:
            round_.failed.add(event.endpoint)
            self.slow_endpoints.add(event.endpoint)

    def _change_term(self, event: TermChanged) -> None:
        if event.term <= self.term.term:
            return
        self.term = event
        self.slow_endpoints.clear()
        if event.term >= self.unpublished_term:
            self.unpublished_term = 0
        for round_ in self.rounds.values():
            self._requeue(round_)
        self.rounds.clear()

    def _requeue(self, round_: _Round) -> None:
        already_pending = set(self.pending_reads)
        self.pending_reads += sorted(
            read
            for read in round_.read_ids
            if read in self.deadlines and read not in already_pending
        )

    def _expire_reads(self, now: float, effects: list) -> None:
        expired = [read for read, at in self.deadlines.items() if at <= now]
        if expired:
            self._remove_reads(expired)
            failure = self._make_failure("before the deadline of the read")
            effects.append(BarrierFailed(tuple(expired), failure))

    def _make_failure(self, when: str) -> Failure:
        if self.unpublished_term:
            return Failure(
                ErrorKind.FRESHNESS_UNPROVED,
                f"term {self.unpublished_term} was not published on this host "
                f"{when}",
            )
        return Failure(
            ErrorKind.NO_QUORUM,
            f"no quorum of {len(self.term.voters)} voters answered {when}",
        )

    def _remove_reads(self, reads) -> None:
        for read in reads:
            self.deadlines.pop(read, None)
        self.pending_reads = [
            r for r in self.pending_reads if r in self.deadlines
        ]
        for number, round_ in list(self.rounds.items()):
            round_.read_ids.difference_update(reads)
            if not round_.read_ids:
                del self.rounds[number]

    def _evaluate_round(self, number: int, now: float, effects: list) -> None:
        round_ = self.rounds.get(number)
        if round_ is None:
            return
        voters = self.term.voters
        quorum = quorum_of(len(voters))
        if len(round_.answers) >= quorum:
            self._complete_round(number, round_, now, effects)
            return
        available = [name for name in voters if name not in round_.failed]
        timed_out = now >= round_.sent_at + self.round_timeout_s
        if timed_out or len(available) < quorum:
            self._fail_round(number, round_, effects)
            return
        self._contact_primary(number, round_, now, effects)

    def _complete_round(self, number, round_, now, effects) -> None:
        answers = round_.answers
        position = max(status.last for status in answers.values())
        if position.term != self.term.term:
            # A higher term is not published on this host yet. A lower term is
            # possible only if voters lost data, since the first entry of an
            # established term is on a quorum. Neither proves anything.
            self.unpublished_term = max(position.term, self.term.term)
            self.next_round_at = now + self.stall_timeout_s
            del self.rounds[number]
            self._requeue(round_)
            return
        self.unpublished_term = 0
        promised = max(status.promised_term for status in answers.values())
        holders = tuple(
            name
            for name in self.term.voters
            if name in answers
            and answers[name].last >= position
            and answers[name].promised_term >= promised
        )
        reads = tuple(sorted(round_.read_ids))
        if now >= round_.sent_at + self.primary_delay_s:
            self.slow_endpoints |= (
                round_.contacted - set(answers) - {self.term.primary}
            )
        self._remove_reads(reads)
        effects.append(
            BarrierReady(reads, round_.sent_at, promised, position, holders)
        )

    def _fail_round(self, number: int, round_: _Round, effects: list) -> None:
        del self.rounds[number]
        self.slow_endpoints |= round_.contacted - set(round_.answers)
        read_ids_of_others = set()
        for other in self.rounds.values():
            read_ids_of_others |= other.read_ids
        reads = tuple(sorted(round_.read_ids - read_ids_of_others))
        if reads:
            self._remove_reads(reads)
            failure = self._make_failure("in time")
            effects.append(BarrierFailed(reads, failure))

    def _contact_primary(self, number, round_, now, effects) -> None:
        if not self._primary_not_contacted(round_):
            return
        primary = self.term.primary
        delay_passed = now >= round_.sent_at + self.primary_delay_s
        replicas = [
            name
            for name in round_.contacted
            if name not in round_.failed and name not in self.slow_endpoints
        ]
        if delay_passed or len(replicas) < quorum_of(len(self.term.voters)):
            round_.contacted.add(primary)
            effects.append(StartRound(number, (primary,)))

    def _primary_not_contacted(self, round_: _Round) -> bool:
        primary = self.term.primary
        return primary in self.term.voters and primary not in round_.contacted

    def _start_round(self, now: float, effects: list) -> None:
        if self.unpublished_term:
            if now < self.next_round_at:
                return
        elif not self.term.voters:
            return
        stalled = self._stalled_rounds(now)
        if self.rounds and not stalled:
            return
        if len(self.rounds) >= MAX_ROUNDS:
            return
        reads = set(self.pending_reads)
        for round_ in stalled:
            # A round that already uses new connections is not repeated; its
            # reads fail when it times out.
            if not round_.fresh:
                reads |= round_.read_ids
        if not reads:
            return
        self.pending_reads = []
        self.last_round += 1
        number = self.last_round
        replicas = {v for v in self.term.voters if v != self.term.primary}
        round_ = _Round(now, reads, replicas, fresh=bool(stalled))
        self.rounds[number] = round_
        contacted = tuple(v for v in self.term.voters if v in replicas)
        if contacted:
            effects.append(StartRound(number, contacted, bool(stalled)))
        self._contact_primary(number, round_, now, effects)

    def _stalled_rounds(self, now: float) -> list[_Round]:
        return [
            round_
            for round_ in self.rounds.values()
            if now >= round_.sent_at + self.stall_timeout_s
        ]
