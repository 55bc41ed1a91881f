"""Barriers: the position that a read without a token has to include."""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import EndpointStatus
from chivescale.session._barrier_events import (
    BarrierFailed,
    BarrierReady,
    Join,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
)
from chivescale.session._quorum import quorum_of

# The primary is asked only if the replicas have not formed a quorum by then,
# which keeps barrier load off it. Several round trips between zones.
PRIMARY_AFTER_S = 0.02
# A second round on fresh connections starts when the first hangs this long:
# an open connection may have stopped responding while new ones work.
HANG_S = 0.1
ROUND_TIMEOUT_S = 0.5
MAX_ROUNDS = 2


class _Round(msgspec.Struct):
    sent_at: float
    reads: set[int]
    asked: set[str]
    answers: dict[str, EndpointStatus] = {}
    failed: set[str] = set()
    fresh: bool = False


class Barriers:
    """Shared barrier rounds of one service.

    Reads that wait when a round starts share it. A read never uses a round
    sent before it arrived, because a write confirmed in between could be
    above that round's answers.

    Parameters
    ----------
    term : TermChanged, optional
        Term in force at the start.
    round_timeout_s, primary_after_s, hang_s : float, optional
        Bounds of one round, in seconds.

    Notes
    -----
    The answers must come from a quorum of the voters of the term in force.
    A host may not know yet that a newer term with other voters is
    established. The first entry of that term is then on a quorum of the
    voters known here, so some answer has a higher last term; such a round
    proves nothing and the reads wait until the newer term is published.
    """

    def __init__(
        self,
        term: TermChanged | None = None,
        *,
        round_timeout_s: float = ROUND_TIMEOUT_S,
        primary_after_s: float = PRIMARY_AFTER_S,
        hang_s: float = HANG_S,
    ):
        self.round_timeout_s = round_timeout_s
        self.primary_after_s = primary_after_s
        self.hang_s = hang_s
        self.term = term or TermChanged((), (), "", 0)
        self.deadlines: dict[int, float] = {}
        self.waiting: list[int] = []
        self.rounds: dict[int, _Round] = {}
        self.last_round = 0
        # Endpoints that missed their last round; with too few others the
        # primary is asked at once.
        self.slow: set[str] = set()
        # A term seen in answers that is not published here yet, and when to
        # ask again in case it was never established.
        self.unknown_term = 0
        self.hold_until = 0.0

    @property
    def wake_at(self) -> float | None:
        """When the next `Tick` is due, in monotonic seconds."""
        times = list(self.deadlines.values())
        if self.waiting and self.unknown_term:
            times.append(self.hold_until)
        for round_ in self.rounds.values():
            times.append(round_.sent_at + self.round_timeout_s)
            if self._primary_unasked(round_):
                times.append(round_.sent_at + self.primary_after_s)
        if len(self.rounds) == 1:
            (only,) = self.rounds.values()
            if self.waiting or not only.fresh:
                times.append(only.sent_at + self.hang_s)
        return min(times, default=None)

    def step(self, event, now: float) -> list:
        """Apply one event and return the effects to execute.

        Parameters
        ----------
        event : Join, StatusReceived, StatusFailed, TermChanged or Tick
            What happened.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of StartRound, BarrierReady or BarrierFailed
        """
        effects: list = []
        match event:
            case Join():
                self.deadlines[event.read_id] = event.deadline
                self.waiting.append(event.read_id)
            case StatusReceived():
                self._answer(event)
            case StatusFailed():
                self._fail(event)
            case TermChanged():
                self._change_term(event)
        self._expire(now, effects)
        for number in list(self.rounds):
            self._evaluate(number, now, effects)
        self._start(now, effects)
        return effects

    def _answer(self, event: StatusReceived) -> None:
        round_ = self.rounds.get(event.round)
        counts = self._counts(event.endpoint, event.status)
        if counts:
            # Also with a late answer: otherwise a replica that answers just
            # after the primary would count as slow for good, and barriers
            # with the primary are ahead of the replicas.
            self.slow.discard(event.endpoint)
        if round_ is None:
            return
        if not counts:
            round_.failed.add(event.endpoint)
            return
        round_.failed.discard(event.endpoint)
        round_.answers[event.endpoint] = event.status

    def _counts(self, endpoint: str, status: EndpointStatus) -> bool:
        # A voter that lost its data reports a new incarnation; its low
        # position must not count towards the quorum.
        members = zip(self.term.voters, self.term.incarnations, strict=True)
        return (
            status.endpoint == endpoint
            and (endpoint, status.incarnation) in members
        )

    def _fail(self, event: StatusFailed) -> None:
        round_ = self.rounds.get(event.round)
        if round_ is not None and event.endpoint not in round_.answers:
            round_.failed.add(event.endpoint)
            self.slow.add(event.endpoint)

    def _change_term(self, event: TermChanged) -> None:
        if event.term <= self.term.term:
            return
        self.term = event
        self.slow.clear()
        if event.term >= self.unknown_term:
            self.unknown_term = 0
        for round_ in self.rounds.values():
            self._requeue(round_)
        self.rounds.clear()

    def _requeue(self, round_: _Round) -> None:
        known = set(self.waiting)
        self.waiting += sorted(
            read
            for read in round_.reads
            if read in self.deadlines and read not in known
        )

    def _expire(self, now: float, effects: list) -> None:
        late = [read for read, at in self.deadlines.items() if at <= now]
        if late:
            self._finish(late)
            failure = self._failure("before the deadline of the read")
            effects.append(BarrierFailed(tuple(late), failure))

    def _failure(self, when: str) -> Failure:
        if self.unknown_term:
            return Failure(
                ErrorKind.FRESHNESS_UNPROVED,
                f"term {self.unknown_term} is not published here {when}",
            )
        return Failure(
            ErrorKind.NO_QUORUM,
            f"no quorum of {len(self.term.voters)} voters answered {when}",
        )

    def _finish(self, reads) -> None:
        for read in reads:
            self.deadlines.pop(read, None)
        self.waiting = [r for r in self.waiting if r in self.deadlines]
        for number, round_ in list(self.rounds.items()):
            round_.reads.difference_update(reads)
            if not round_.reads:
                del self.rounds[number]

    def _evaluate(self, number: int, now: float, effects: list) -> None:
        round_ = self.rounds.get(number)
        if round_ is None:
            return
        voters = self.term.voters
        quorum = quorum_of(len(voters))
        if len(round_.answers) >= quorum:
            self._conclude(number, round_, now, effects)
            return
        possible = [name for name in voters if name not in round_.failed]
        timed_out = now >= round_.sent_at + self.round_timeout_s
        if timed_out or len(possible) < quorum:
            self._give_up(number, round_, effects)
            return
        self._widen(number, round_, now, effects)

    def _conclude(self, number, round_, now, effects) -> None:
        answers = round_.answers
        position = max(status.last for status in answers.values())
        if position.term != self.term.term:
            # Above: a term that is not published here. Below: impossible
            # unless voters lost data, since the first entry of an
            # established term is on a quorum. Neither proves anything.
            self.unknown_term = max(position.term, self.term.term)
            self.hold_until = now + self.hang_s
            del self.rounds[number]
            self._requeue(round_)
            return
        self.unknown_term = 0
        promised = max(status.promised_term for status in answers.values())
        holders = tuple(
            name
            for name in self.term.voters
            if name in answers
            and answers[name].last >= position
            and answers[name].promised_term >= promised
        )
        reads = tuple(sorted(round_.reads))
        if now >= round_.sent_at + self.primary_after_s:
            self.slow |= round_.asked - set(answers) - {self.term.primary}
        self._finish(reads)
        effects.append(
            BarrierReady(reads, round_.sent_at, promised, position, holders)
        )

    def _give_up(self, number: int, round_: _Round, effects: list) -> None:
        del self.rounds[number]
        self.slow |= round_.asked - set(round_.answers)
        in_other = set()
        for other in self.rounds.values():
            in_other |= other.reads
        reads = tuple(sorted(round_.reads - in_other))
        if reads:
            self._finish(reads)
            failure = self._failure("in time")
            effects.append(BarrierFailed(reads, failure))

    def _widen(self, number, round_, now, effects) -> None:
        if not self._primary_unasked(round_):
            return
        primary = self.term.primary
        due = now >= round_.sent_at + self.primary_after_s
        replicas = [
            name
            for name in round_.asked
            if name not in round_.failed and name not in self.slow
        ]
        if due or len(replicas) < quorum_of(len(self.term.voters)):
            round_.asked.add(primary)
            effects.append(StartRound(number, (primary,)))

    def _primary_unasked(self, round_: _Round) -> bool:
        primary = self.term.primary
        return primary in self.term.voters and primary not in round_.asked

    def _start(self, now: float, effects: list) -> None:
        if self.unknown_term:
            if now < self.hold_until:
                return
        elif not self.term.voters:
            return
        hanging = self._hanging(now)
        if self.rounds and not hanging:
            return
        if len(self.rounds) >= MAX_ROUNDS:
            return
        reads = set(self.waiting)
        for round_ in hanging:
            # A round on fresh connections is not replaced again; its reads
            # fail when it times out.
            if not round_.fresh:
                reads |= round_.reads
        if not reads:
            return
        self.waiting = []
        self.last_round += 1
        number = self.last_round
        replicas = {v for v in self.term.voters if v != self.term.primary}
        round_ = _Round(now, reads, replicas, fresh=bool(hanging))
        self.rounds[number] = round_
        asked = tuple(v for v in self.term.voters if v in replicas)
        if asked:
            effects.append(StartRound(number, asked, bool(hanging)))
        self._widen(number, round_, now, effects)

    def _hanging(self, now: float) -> list[_Round]:
        return [
            round_
            for round_ in self.rounds.values()
            if now >= round_.sent_at + self.hang_s
        ]
