"""Confirmation of writes by a quorum of a database group."""

import heapq

import msgspec

from chivescale.messages import EndpointStatus, Position, ServiceRecord
from chivescale.session._barrier_events import Tick
from chivescale.session._quorum import quorum_of

# Pause before an endpoint is asked again after an answer without progress or
# a failure, so that an endpoint that answers at once causes no busy loop.
RETRY_PAUSE_S = 0.02
# An ask without an answer for this long is given up; longer than any long
# poll of the shell.
ASK_TIMEOUT_S = 2.0


class Wait(msgspec.Struct, frozen=True):
    """A primary answered OK to a write at `position`.

    The term of `position` is the term whose voters have to hold it.
    """

    write_id: int
    position: Position
    deadline: float


class PositionReceived(msgspec.Struct, frozen=True):
    """An endpoint reported its status.

    Attributes
    ----------
    asked : bool
        Whether it answers `AskPositions`; false for a status that became
        known otherwise.
    """

    endpoint: str
    status: EndpointStatus
    asked: bool = True


class AskFailed(msgspec.Struct, frozen=True):
    """An endpoint of `AskPositions` did not answer."""

    endpoint: str


class TermEstablished(msgspec.Struct, frozen=True):
    """A term was published."""

    record: ServiceRecord


class HistoryReceived(msgspec.Struct, frozen=True):
    """Answer to `AskHistory`: a status with its term starts."""

    endpoint: str
    status: EndpointStatus


class HistoryFailed(msgspec.Struct, frozen=True):
    """The endpoint of `AskHistory` did not answer."""

    endpoint: str


class AskPositions(msgspec.Struct, frozen=True):
    """Long-poll `endpoints` until they hold `position`."""

    endpoints: tuple[str, ...]
    position: Position


class AskHistory(msgspec.Struct, frozen=True):
    """Ask the primary of established `term` which terms own its log."""

    endpoint: str
    term: int


class Confirmed(msgspec.Struct, frozen=True):
    """The write is on a quorum, or in the log of an established term."""

    write_id: int


class ProvedAbsent(msgspec.Struct, frozen=True):
    """The write is not in the log of an established higher term."""

    write_id: int


class Unknown(msgspec.Struct, frozen=True):
    """The deadline passed without proof."""

    write_id: int


class _Term(msgspec.Struct):
    # Highest position of this term that each endpoint was seen to hold. It
    # stays valid when the endpoint later promises a higher term: an entry
    # is only taken before such a promise, so the promise carries it.
    held: dict[str, int] = {}
    waits: list[tuple[int, int]] = []
    record: ServiceRecord | None = None


class Confirmations:
    """Waits of writes for a quorum, for one service.

    Parameters
    ----------
    record : ServiceRecord, optional
        Established term in force at the start.
    retry_pause_s, ask_timeout_s : float, optional
        Pacing of questions, in seconds.
    """

    def __init__(
        self,
        record: ServiceRecord | None = None,
        *,
        retry_pause_s: float = RETRY_PAUSE_S,
        ask_timeout_s: float = ASK_TIMEOUT_S,
    ):
        self.retry_pause_s = retry_pause_s
        self.ask_timeout_s = ask_timeout_s
        self.record = record
        self.terms: dict[int, _Term] = {}
        self.waits: dict[int, Wait] = {}
        self.deadlines: list[tuple[float, int]] = []
        # When an endpoint may be asked again; while an ask is outstanding,
        # when it is given up.
        self.next_ask: dict[str, float] = {}
        self.next_history = 0.0
        if record is not None:
            self._term(record.term).record = record

    @property
    def wake_at(self) -> float | None:
        """When the next `Tick` is due, in monotonic seconds."""
        self._drop_finished()
        if not self.waits:
            return None
        times = [self.deadlines[0][0]]
        if self._has_old_waits():
            times.append(self.next_history)
        if self.record is not None:
            for voter in self.record.voters:
                if self._smallest_missing(voter) is not None:
                    times.append(self.next_ask.get(voter, 0.0))
        return min(times)

    def step(self, event, now: float) -> list:
        """Apply one event and return the effects to execute.

        Parameters
        ----------
        event : Wait, PositionReceived, AskFailed, TermEstablished, \
HistoryReceived, HistoryFailed or Tick
            What happened.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of AskPositions, AskHistory, Confirmed, ProvedAbsent, Unknown
        """
        effects: list = []
        match event:
            case Wait():
                self._add(event)
            case PositionReceived():
                self._position(event, now)
                self._history(event.status, effects)
            case AskFailed():
                self.next_ask[event.endpoint] = now + self.retry_pause_s
            case TermEstablished():
                self._establish(event.record)
            case HistoryReceived():
                self.next_history = now + self.retry_pause_s
                self._history(event.status, effects)
            case HistoryFailed():
                self.next_history = now + self.retry_pause_s
            case Tick():
                pass
        self._confirm(effects)
        self._expire(now, effects)
        self._ask(now, effects)
        return effects

    def _term(self, term: int) -> _Term:
        if term not in self.terms:
            self.terms[term] = _Term({}, [], None)
        return self.terms[term]

    def _add(self, wait: Wait) -> None:
        self.waits[wait.write_id] = wait
        place = (wait.position.position, wait.write_id)
        heapq.heappush(self._term(wait.position.term).waits, place)
        heapq.heappush(self.deadlines, (wait.deadline, wait.write_id))

    def _position(self, event: PositionReceived, now: float) -> None:
        status = event.status
        progress = False
        track = self.terms.get(status.last.term)
        if track is not None and track.record is not None:
            if _is_voter(track.record, event.endpoint, status.incarnation):
                before = track.held.get(event.endpoint, -1)
                progress = status.last.position > before
                if progress:
                    track.held[event.endpoint] = status.last.position
        if event.asked:
            pause = 0.0 if progress else self.retry_pause_s
            self.next_ask[event.endpoint] = now + pause

    def _establish(self, record: ServiceRecord) -> None:
        if self.record is not None and record.term <= self.record.term:
            return
        self.record = record
        self._term(record.term).record = record
        self.next_ask.clear()
        self.next_history = 0.0
        for term, track in list(self.terms.items()):
            if term < record.term and not self._waits_of(track):
                del self.terms[term]

    def _waits_of(self, track: _Term) -> list[tuple[int, int]]:
        """Return the heap of a term; its first entry is still waiting."""
        while track.waits and track.waits[0][1] not in self.waits:
            heapq.heappop(track.waits)
        return track.waits

    def _has_old_waits(self) -> bool:
        current = self.record.term if self.record else 0
        return any(
            term < current and self._waits_of(track)
            for term, track in self.terms.items()
        )

    def _confirm(self, effects: list) -> None:
        for track in self.terms.values():
            if track.record is None:
                continue
            mark = self._quorum_position(track)
            while self._waits_of(track) and track.waits[0][0] <= mark:
                _, write_id = heapq.heappop(track.waits)
                wait = self.waits.pop(write_id)
                _assert_on_quorum(track, wait.position)
                effects.append(Confirmed(write_id))

    def _quorum_position(self, track: _Term) -> float:
        """Return the highest position that a quorum holds.

        The primary holds every write that it answered OK to.
        """
        record = track.record
        quorum = quorum_of(len(record.voters))
        held = [
            float("inf") if v == record.primary else track.held.get(v, -1)
            for v in record.voters
        ]
        return sorted(held, reverse=True)[quorum - 1] if held else -1

    def _history(self, status: EndpointStatus, effects: list) -> None:
        record = self.record
        if record is None or not self.waits:
            return
        # A log whose last term is at or above an established term contains
        # the established log up to that term's first entry, whoever holds
        # it; the new primary is merely the first to have it.
        if status.last.term < record.term or not _is_voter(
            record, status.endpoint, status.incarnation
        ):
            return
        for wait in list(self.waits.values()):
            if wait.position.term >= record.term:
                continue
            owner = _owner(status, wait.position.position)
            if owner is None:
                continue
            del self.waits[wait.write_id]
            present = owner == wait.position.term
            outcome = Confirmed if present else ProvedAbsent
            effects.append(outcome(wait.write_id))

    def _expire(self, now: float, effects: list) -> None:
        self._drop_finished()
        while self.deadlines and self.deadlines[0][0] <= now:
            _, write_id = heapq.heappop(self.deadlines)
            if self.waits.pop(write_id, None) is not None:
                effects.append(Unknown(write_id))

    def _drop_finished(self) -> None:
        while self.deadlines and self.deadlines[0][1] not in self.waits:
            heapq.heappop(self.deadlines)

    def _smallest_missing(self, voter: str) -> int | None:
        """Return the smallest waiting position that a replica misses."""
        record = self.record
        track = self.terms.get(record.term)
        if voter == record.primary or not self._waits_of(track):
            return None
        held = track.held.get(voter, -1)
        return min(
            (
                place
                for place, write_id in track.waits
                if place > held and write_id in self.waits
            ),
            default=None,
        )

    def _ask(self, now: float, effects: list) -> None:
        if self.record is None:
            return
        by_position: dict[int, list[str]] = {}
        for voter in self.record.voters:
            if now < self.next_ask.get(voter, 0.0):
                continue
            position = self._smallest_missing(voter)
            if position is not None:
                self.next_ask[voter] = now + self.ask_timeout_s
                by_position.setdefault(position, []).append(voter)
        for position, voters in sorted(by_position.items()):
            place = Position(self.record.term, position)
            effects.append(AskPositions(tuple(voters), place))
        if now >= self.next_history and self._has_old_waits():
            self.next_history = now + self.ask_timeout_s
            effects.append(AskHistory(self.record.primary, self.record.term))


def _is_voter(record: ServiceRecord, endpoint: str, incarnation: str) -> bool:
    members = zip(record.voters, record.incarnations, strict=True)
    return (endpoint, incarnation) in members


def _owner(status: EndpointStatus, position: int) -> int | None:
    """Return the term that owns `position`, or None if not recorded."""
    owner = None
    for start in status.term_starts:
        if start.position <= position:
            owner = start.term
    return owner


def _assert_on_quorum(track: _Term, position: Position) -> None:
    record = track.record
    holders = [
        voter
        for voter in record.voters
        if voter == record.primary
        or track.held.get(voter, -1) >= position.position
    ]
    assert record.term == position.term, (record.term, position)
    assert len(holders) >= quorum_of(len(record.voters)), (holders, position)
