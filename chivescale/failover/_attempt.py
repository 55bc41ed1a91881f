"""One attempt to establish a term."""

import collections

from chivescale.failover import _events as ev
from chivescale.failover._group import Group, Timing
from chivescale.failover._plan import (
    BEGINNING,
    CHECK_ASKS,
    CHECKING,
    ESTABLISHING,
    PROMISING,
    PROMOTING,
    RESEND_S,
    UNANSWERED_S,
    Plan,
    count_voters,
    is_found,
    probe_confirms,
)
from chivescale.failover._selection import (
    choose_candidate,
    members_of,
    quorum,
)
from chivescale.messages import (
    BeginTerm,
    EndpointStatus,
    EstablishTerm,
    Position,
)

# After a quorum answered, slower voters get this long: the more advanced
# the choice, the fewer unconfirmed writes are lost. It covers one round
# trip between zones and stays small against the failover gap.
GRACE_S = 0.03

CHECK_TIMEOUT_S = 0.6

POSITION_WAIT_MS = 100


class Attempt:
    """Takes one plan through one term.

    Attributes
    ----------
    outcome : str
        Empty while running, then ``established`` or the reason of failure.
    failed_endpoint : str
        Endpoint that refused the connection during the attempt.
    """

    def __init__(
        self,
        group: Group,
        plan: Plan,
        timing: Timing,
        avoid: frozenset[str],
        timeout_s: float,
        now: float,
    ):
        self.group = group
        self.plan = plan
        self.timing = timing
        self.avoid = avoid
        self.timeout_s = timeout_s
        self.term = 0
        self.phase = CHECKING
        self.outcome = ""
        self.failed_endpoint = ""
        self.deadline = now + CHECK_TIMEOUT_S
        self.entered = {CHECKING: now}
        self.next_send: dict[str, float] = {}
        self.answered: dict[str, EndpointStatus] = {}
        self.failed: set[str] = set()
        self.asks: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.quorum_at: float | None = None
        self.candidate = ""
        self.marker: Position | None = None
        self.held: set[str] = set()

    def step(self, event: object, now: float) -> list[object]:
        """Apply one event; the caller checks `outcome` afterwards."""
        handle = {
            ev.Committed: self._committed,
            ev.ProposalFailed: self._proposal_failed,
            ev.PositionAnswered: self._position,
            ev.PromiseAnswered: self._promise,
            ev.PromoteAnswered: self._promote,
            ev.RequestFailed: self._request_failed,
        }.get(type(event))
        return handle(event, now) if handle else self.advance(now)

    def advance(self, now: float) -> list[object]:
        """Send what is due and enter the next phase if possible."""
        if now >= self.deadline:
            return self._fail(f"{self.phase}_timeout")
        work = {
            CHECKING: self._check,
            PROMISING: self._collect_promises,
            PROMOTING: self._send_promote,
            ESTABLISHING: self._collect_held,
        }.get(self.phase)
        return work(now) if work else []

    def _enter(self, phase: str, now: float) -> None:
        self.phase = phase
        self.entered[phase] = now
        self.next_send = {}
        self.quorum_at = None

    def _fail(self, reason: str) -> list[object]:
        self.outcome = reason
        return []

    def _due(self, endpoint: str, now: float, every_s: float) -> bool:
        if now < self.next_send.get(endpoint, now):
            return False
        self.next_send[endpoint] = now + every_s
        return True

    # checking: reserving a term that cannot get its promises would only
    # fence the few voters within reach.

    def _check(self, now: float) -> list[object]:
        effects: list[object] = []
        for name in self.plan.members:
            if name in self.answered or name in self.failed:
                continue
            # A suspect that still answers may be needed for the quorum.
            if self.asks[name] < CHECK_ASKS and self._due(name, now, RESEND_S):
                self.asks[name] += 1
                effects.append(self._ask(name, name == self.plan.suspect))
        if not self.plan.promised_enough(self.answered) or not self._waited(
            self.answered, now
        ):
            return effects
        if self.plan.needs_probe:
            confirmed = probe_confirms(self.plan, self.answered, self.failed)
            if confirmed is None:
                return effects
            if not confirmed:
                return self._fail("not_confirmed")
        return effects + self._begin(now)

    def _ask(self, name: str, fresh: bool) -> ev.AskPosition:
        address = self.group.address(name)
        timeout_s = self.timing.silence_floor_s
        return ev.AskPosition(name, address, 0, timeout_s, fresh=fresh)

    def _waited(self, found: dict[str, EndpointStatus], now: float) -> bool:
        """Tell whether all have answered or had the time to."""
        if self.quorum_at is None:
            self.quorum_at = now
        missing = [
            name
            for name in self.plan.members
            if name not in found
            and name not in self.failed
            and name != self.plan.suspect
        ]
        return not missing or now - self.quorum_at >= GRACE_S

    def _begin(self, now: float) -> list[object]:
        self.term = self.group.highest_term() + 1
        self._enter(BEGINNING, now)
        self.deadline = now + self.timeout_s
        return [ev.Propose(BeginTerm(self.group.service, self.term))]

    def _committed(self, event: ev.Committed, now: float) -> list[object]:
        command = event.command
        if command.term != self.term:
            return []
        if isinstance(command, EstablishTerm):
            if event.accepted or event.record.term == self.term:
                self.entered["established"] = now
                self.outcome = "established"
                return []
            return self._fail("superseded")
        if self.phase != BEGINNING:
            return []
        if not event.accepted:
            return self._fail("term_taken")
        # From here on no lower term can be established, so these are the
        # voters whose promises are needed.
        if members_of(event.record) != self.plan.old:
            return self._fail("voters_changed")
        self._enter(PROMISING, now)
        self.answered = {}
        self.failed = set()
        self.deadline = now + self.timeout_s
        return [self._log(PROMISING)] + self._collect_promises(now)

    def _proposal_failed(
        self, event: ev.ProposalFailed, now: float
    ) -> list[object]:
        if event.command.term != self.term:
            return []
        if isinstance(event.command, BeginTerm):
            return self._fail("not_committed")
        # The outcome is unknown; the same command may be sent again.
        self.next_send.pop("", None)
        return []

    # promising

    def _collect_promises(self, now: float) -> list[object]:
        effects: list[object] = []
        for name in self.plan.members:
            if name not in self.answered and self._due(
                name, now, UNANSWERED_S
            ):
                effects.append(
                    ev.SendPromise(
                        name,
                        self.group.address(name),
                        self.term,
                        self.timing.promise_timeout_s,
                    )
                )
        if not self.plan.promised_enough(self.answered) or not self._waited(
            self.answered, now
        ):
            return effects
        candidate = self._choose()
        if candidate is None:
            return effects
        return effects + self._start_promotion(candidate, now)

    def _promise(self, event: ev.PromiseAnswered, now: float) -> list[object]:
        status = event.reply.status
        if event.term != self.term or self.phase != PROMISING:
            return []
        if not self.plan.counts(status):
            self.failed.add(event.endpoint)
            return []
        # A term belongs to one attempt, so a voter that already holds this
        # one promised it in an answer that was lost.
        if event.reply.granted or status.promised_term == self.term:
            self.failed.discard(event.endpoint)
            self.answered[event.endpoint] = status
        elif status.promised_term > self.term:
            return self._fail("higher_term_promised")
        return self._collect_promises(now)

    def _choose(self) -> str | None:
        old = tuple(m for m in self.plan.old if is_found(m, self.answered))
        needed = quorum(len(self.plan.old))
        if not self.plan.old:
            old, needed = self.plan.new, len(self.plan.new)
        leaving = {
            name for name in self.plan.members if self.group.leaving(name)
        }
        return choose_candidate(
            self.answered,
            old,
            tuple(m for m in self.plan.new if is_found(m, self.answered)),
            needed,
            self.avoid | leaving | {self.plan.suspect},
            self.group.record.primary,
            self.group.zone_hosts,
        )

    # promoting: one candidate per term, whatever happens to its answer.

    def _start_promotion(self, candidate: str, now: float) -> list[object]:
        assert not self.candidate, "one candidate per term"
        assert self.plan.promised_enough(self.answered), "promises of a quorum"
        self.candidate = candidate
        self._enter(PROMOTING, now)
        return [self._log(PROMOTING)] + self._send_promote(now)

    def _send_promote(self, now: float) -> list[object]:
        if not self._due(self.candidate, now, UNANSWERED_S):
            return []
        return [
            ev.SendPromote(
                self.candidate,
                self.group.address(self.candidate),
                self.term,
                tuple(member.endpoint for member in self.plan.new),
                self.timing.promise_timeout_s,
            )
        ]

    def _promote(self, event: ev.PromoteAnswered, now: float) -> list[object]:
        if event.term != self.term or self.phase != PROMOTING:
            return []
        if event.endpoint != self.candidate:
            return []
        if not event.reply.accepted or not self.plan.counts(
            event.reply.status
        ):
            return self._fail("promotion_refused")
        self.marker = event.reply.marker
        self._enter(ESTABLISHING, now)
        self._hold(event.reply.status)
        timeout_s = self.timing.promise_timeout_s
        follows = [
            self.group.follow(name, self.term, self.candidate, timeout_s)
            for name in self.group.endpoints
            if name != self.candidate
        ]
        return follows + self._collect_held(now)

    # establishing

    def _hold(self, status: EndpointStatus) -> None:
        reached = (
            status.last.term == self.term
            and status.last.position >= self.marker.position
        )
        if reached and self.plan.counts(status):
            self.held.add(status.endpoint)
            self.answered[status.endpoint] = status

    def _collect_held(self, now: float) -> list[object]:
        found = {name: self.answered[name] for name in self.held}
        if self.plan.held_enough(found):
            # Key "" stands for the proposal itself.
            if self._due("", now, self.timeout_s):
                return [ev.Propose(self._establish())]
            return []
        effects: list[object] = []
        ask_again_s = POSITION_WAIT_MS / 1000 + UNANSWERED_S
        wait_s = POSITION_WAIT_MS / 1000 + self.timing.promise_timeout_s
        for name in self.plan.members:
            if name not in self.held and self._due(name, now, ask_again_s):
                effects.append(
                    ev.AskPosition(
                        name,
                        self.group.address(name),
                        self.term,
                        wait_s,
                        self.marker,
                        POSITION_WAIT_MS,
                    )
                )
        return effects

    def _establish(self) -> EstablishTerm:
        return EstablishTerm(
            self.group.service,
            self.term,
            self.candidate,
            tuple(member.endpoint for member in self.plan.new),
            tuple(member.incarnation for member in self.plan.new),
            self.marker.position,
        )

    def _position(
        self, event: ev.PositionAnswered, now: float
    ) -> list[object]:
        status = event.status
        if not self.plan.counts(status):
            self.failed.add(event.endpoint)
            return self.advance(now)
        if self.phase == CHECKING:
            if event.asked_at >= self.entered[CHECKING]:
                self.answered[event.endpoint] = status
        elif self.phase == ESTABLISHING:
            if status.promised_term > self.term:
                return self._fail("higher_term_promised")
            self._hold(status)
            if event.endpoint not in self.held:
                self.next_send[event.endpoint] = now + RESEND_S / 2
        return self.advance(now)

    def _request_failed(
        self, event: ev.RequestFailed, now: float
    ) -> list[object]:
        if self.phase == CHECKING:
            asked_here = event.asked_at >= self.entered[CHECKING]
            if event.request == "position" and asked_here:
                self.failures[event.endpoint] += 1
                if self.failures[event.endpoint] >= CHECK_ASKS:
                    self.failed.add(event.endpoint)
            return self.advance(now)
        if event.term != self.term or not self.term:
            return []
        if event.refused and event.endpoint == self.candidate:
            self.failed_endpoint = event.endpoint
            return self._fail("candidate_refused")
        if self.phase == PROMISING:
            self.failed.add(event.endpoint)
        if event.endpoint in self.next_send:
            self.next_send[event.endpoint] = now + RESEND_S
        return self.advance(now)

    def _log(self, phase: str) -> ev.LogPhase:
        fields = {"term": self.term, "reason": self.plan.reason}
        if self.candidate:
            fields["candidate"] = self.candidate
        promises = count_voters(self.plan.old or self.plan.new, self.answered)
        fields["promises"] = promises
        return ev.LogPhase(phase, self.group.service, fields)
