"""Confirmation that a quorum of a database group holds a write."""

import heapq

import msgspec

from chivescale.messages import EndpointStatus, Position, ServiceRecord
from chivescale.session._barrier_events import Tick
from chivescale.session._quorum import quorum_of

# Delay before an endpoint is polled again after a failure or an answer without
# progress, so that an endpoint that answers immediately causes no busy loop.
RETRY_DELAY_S = 0.02
# Timeout of a poll; must exceed the duration of any long poll that the caller
# of this module executes.
POLL_TIMEOUT_S = 2.0


class WriteAccepted(msgspec.Struct, frozen=True):
    """Event: a primary executed a write at `position`.

    A quorum of the voters of the term of `position` has to hold it.
    """

    write_id: int
    position: Position
    deadline: float


class PositionReceived(msgspec.Struct, frozen=True):
    """Event: an endpoint reported its status.

    Attributes
    ----------
    polled : bool
        Whether it is the answer to `PollPositions`; false for a status that
        was obtained in another way.
    """

    endpoint: str
    status: EndpointStatus
    polled: bool = True


class PollFailed(msgspec.Struct, frozen=True):
    """Event: an endpoint of `PollPositions` did not answer."""

    endpoint: str


class TermEstablished(msgspec.Struct, frozen=True):
    """Event: an established term was published."""

    record: ServiceRecord


class TermStartsReceived(msgspec.Struct, frozen=True):
    """Event: answer to `RequestTermStarts`, a status with its term starts."""

    endpoint: str
    status: EndpointStatus


class TermStartsFailed(msgspec.Struct, frozen=True):
    """Event: the endpoint of `RequestTermStarts` did not answer."""

    endpoint: str


class PollPositions(msgspec.Struct, frozen=True):
    """Effect: long-poll `endpoints` until they hold `position`."""

    endpoints: tuple[str, ...]
    position: Position


class RequestTermStarts(msgspec.Struct, frozen=True):
    """Effect: request the term starts of the primary of established `term`."""

    endpoint: str
    term: int


class Confirmed(msgspec.Struct, frozen=True):
    """Effect: the write is on a quorum or in an established term's log."""

    write_id: int


class WriteAbsent(msgspec.Struct, frozen=True):
    """Effect: the log of an established higher term lacks the write."""

    write_id: int


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Effect: the deadline passed before the outcome was proven."""

    write_id: int


class _TermState(msgspec.Struct):
    # Highest position of this term that each endpoint has reported. It stays
    # valid when the endpoint promises a higher term later: entries are
    # accepted only before such a promise, so the promise includes them.
    positions: dict[str, int] = {}
    # Heap of (position, write_id); may contain writes that are decided.
    pending: list[tuple[int, int]] = []
    record: ServiceRecord | None = None


class Confirmations:
    """State machine that confirms the writes of one service.

    Parameters
    ----------
    record : ServiceRecord, optional
        Initial established term.
    retry_delay_s, poll_timeout_s : float, optional
        Delay before an endpoint is polled again and timeout of a poll, in
        seconds.
    """

    def __init__(
        self,
        record: ServiceRecord | None = None,
        *,
        retry_delay_s: float = RETRY_DELAY_S,
        poll_timeout_s: float = POLL_TIMEOUT_S,
    ):
        self.retry_delay_s = retry_delay_s
        self.poll_timeout_s = poll_timeout_s
        self.record = record
        self.terms: dict[int, _TermState] = {}
        self.waits: dict[int, WriteAccepted] = {}
        self.deadlines: list[tuple[float, int]] = []
        # When each endpoint may be polled again; while a poll is in progress,
        # the time at which it times out.
        self.next_poll_at: dict[str, float] = {}
        self.next_history_at = 0.0
        if record is not None:
            self._term_state(record.term).record = record

    @property
    def wake_at(self) -> float | None:
        """Time of the next `Tick` in monotonic seconds; None if not needed."""
        self._drop_finished_deadlines()
        if not self.waits:
            return None
        times = [self.deadlines[0][0]]
        if self._has_writes_of_older_terms():
            times.append(self.next_history_at)
        if self.record is not None:
            for voter in self.record.voters:
                if self._first_missing_position(voter) is not None:
                    times.append(self.next_poll_at.get(voter, 0.0))
        return min(times)

    def step(self, event, now: float) -> list:
        """Process an event and return the effects to execute.

        Parameters
        ----------
        event : WriteAccepted, PositionReceived, PollFailed, TermEstablished, \
TermStartsReceived, TermStartsFailed or Tick
            Event to process.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of PollPositions, RequestTermStarts, Confirmed, WriteAbsent, \
OutcomeUnknown
        """
        effects: list = []
        match event:
            case WriteAccepted():
                self._add_write(event)
            case PositionReceived():
                self._record_position(event, now)
                self._resolve_by_history(event.status, effects)
            case PollFailed():
                self.next_poll_at[event.endpoint] = now + self.retry_delay_s
            case TermEstablished():
                self._handle_term(event.record)
            case TermStartsReceived():
                self.next_history_at = now + self.retry_delay_s
                self._resolve_by_history(event.status, effects)
            case TermStartsFailed():
                self.next_history_at = now + self.retry_delay_s
            case Tick():
                pass
        self._confirm_writes(effects)
        self._expire_writes(now, effects)
        self._request_statuses(now, effects)
        return effects

    def _term_state(self, term: int) -> _TermState:
        if term not in self.terms:
            self.terms[term] = _TermState({}, [], None)
        return self.terms[term]

    def _add_write(self, wait: WriteAccepted) -> None:
        self.waits[wait.write_id] = wait
        entry = (wait.position.position, wait.write_id)
        heapq.heappush(self._term_state(wait.position.term).pending, entry)
        heapq.heappush(self.deadlines, (wait.deadline, wait.write_id))

    def _record_position(self, event: PositionReceived, now: float) -> None:
        status = event.status
        progress = False
        state = self.terms.get(status.last.term)
        if state is not None and state.record is not None:
            if _is_voter(state.record, event.endpoint, status.incarnation):
                previous = state.positions.get(event.endpoint, -1)
                progress = status.last.position > previous
                if progress:
                    state.positions[event.endpoint] = status.last.position
        if event.polled:
            delay_s = 0.0 if progress else self.retry_delay_s
            self.next_poll_at[event.endpoint] = now + delay_s

    def _handle_term(self, record: ServiceRecord) -> None:
        if self.record is not None and record.term <= self.record.term:
            return
        self.record = record
        self._term_state(record.term).record = record
        self.next_poll_at.clear()
        self.next_history_at = 0.0
        for term, state in list(self.terms.items()):
            if term < record.term and not self._pending_of(state):
                del self.terms[term]

    def _pending_of(self, state: _TermState) -> list[tuple[int, int]]:
        """Return the heap of a term after removing decided writes on top."""
        while state.pending and state.pending[0][1] not in self.waits:
            heapq.heappop(state.pending)
        return state.pending

    def _has_writes_of_older_terms(self) -> bool:
        current = self.record.term if self.record else 0
        return any(
            term < current and self._pending_of(state)
            for term, state in self.terms.items()
        )

    def _confirm_writes(self, effects: list) -> None:
        for state in self.terms.values():
            if state.record is None:
                continue
            quorum_position = self._quorum_position(state)
            while (
                self._pending_of(state)
                and state.pending[0][0] <= quorum_position
            ):
                _, write_id = heapq.heappop(state.pending)
                wait = self.waits.pop(write_id)
                _assert_on_quorum(state, wait.position)
                effects.append(Confirmed(write_id))

    def _quorum_position(self, state: _TermState) -> float:
        """Return the highest position that a quorum holds.

        The primary holds every write that it has executed.
        """
        record = state.record
        quorum = quorum_of(len(record.voters))
        positions = [
            float("inf") if v == record.primary else state.positions.get(v, -1)
            for v in record.voters
        ]
        return sorted(positions, reverse=True)[quorum - 1] if positions else -1

    def _resolve_by_history(
        self, status: EndpointStatus, effects: list
    ) -> None:
        record = self.record
        if record is None or not self.waits:
            return
        # A log whose last term is at least an established term contains the
        # established log up to the first entry of that term. This is true on
        # any endpoint, not only on the primary, which has it first.
        if status.last.term < record.term or not _is_voter(
            record, status.endpoint, status.incarnation
        ):
            return
        for wait in list(self.waits.values()):
            if wait.position.term >= record.term:
                continue
            owning_term = _term_at(status, wait.position.position)
            if owning_term is None:
                continue
            del self.waits[wait.write_id]
            is_present = owning_term == wait.position.term
            outcome = Confirmed if is_present else WriteAbsent
            effects.append(outcome(wait.write_id))

    def _expire_writes(self, now: float, effects: list) -> None:
        self._drop_finished_deadlines()
        while self.deadlines and self.deadlines[0][0] <= now:
            _, write_id = heapq.heappop(self.deadlines)
            if self.waits.pop(write_id, None) is not None:
                effects.append(OutcomeUnknown(write_id))

    def _drop_finished_deadlines(self) -> None:
        while self.deadlines and self.deadlines[0][1] not in self.waits:
            heapq.heappop(self.deadlines)

    def _first_missing_position(self, voter: str) -> int | None:
        """Return the smallest pending position that a replica lacks."""
        record = self.record
        state = self.terms.get(record.term)
        if voter == record.primary or not self._pending_of(state):
            return None
        reached = state.positions.get(voter, -1)
        return min(
            (
                position
                for position, write_id in state.pending
                if position > reached and write_id in self.waits
            ),
            default=None,
        )

    def _request_statuses(self, now: float, effects: list) -> None:
        if self.record is None:
            return
        by_position: dict[int, list[str]] = {}
        for voter in self.record.voters:
            if now < self.next_poll_at.get(voter, 0.0):
                continue
            position = self._first_missing_position(voter)
            if position is not None:
                self.next_poll_at[voter] = now + self.poll_timeout_s
                by_position.setdefault(position, []).append(voter)
        for position, voters in sorted(by_position.items()):
            target = Position(self.record.term, position)
            effects.append(PollPositions(tuple(voters), target))
        if now >= self.next_history_at and self._has_writes_of_older_terms():
            self.next_history_at = now + self.poll_timeout_s
            effects.append(
                RequestTermStarts(self.record.primary, self.record.term)
            )


def _is_voter(record: ServiceRecord, endpoint: str, incarnation: str) -> bool:
    members = zip(record.voters, record.incarnations, strict=True)
    return (endpoint, incarnation) in members


def _term_at(status: EndpointStatus, position: int) -> int | None:
    """Return the term of the entry at `position`; None if not recorded."""
    owning_term = None
    for start in status.term_starts:
        if start.position <= position:
            owning_term = start.term
    return owning_term


def _assert_on_quorum(state: _TermState, position: Position) -> None:
    record = state.record
    holders = [
        voter
        for voter in record.voters
        if voter == record.primary
        or state.positions.get(voter, -1) >= position.position
    ]
    assert record.term == position.term, (record.term, position)
    assert len(holders) >= quorum_of(len(record.voters)), (holders, position)
