"""A single attempt to establish a term."""

import collections

from chivescale.failover import _events as ev
from chivescale.failover._group import Group, Timing
from chivescale.failover._plan import (
    BEGINNING,
    CHECK_REQUESTS,
    CHECKING,
    ESTABLISHING,
    FAILED_RETRY_S,
    PROMISING,
    PROMOTING,
    UNANSWERED_RETRY_S,
    Plan,
    count_statuses,
    has_status,
    probe_confirms,
)
from chivescale.failover._selection import (
    choose_candidate,
    quorum,
    voters_of,
)
from chivescale.messages import (
    BeginTerm,
    EndpointStatus,
    EstablishTerm,
    Position,
)

# Extra time for slower voters after a quorum has answered. Choosing among more
# voters can preserve more unconfirmed writes. The value covers one round trip
# between zones and is small compared with the failover gap.
SLOW_VOTER_GRACE_S = 0.03

CHECK_TIMEOUT_S = 0.6

POSITION_WAIT_MS = 100


class Attempt:
    """Drives one plan through the phases of one term.

    Attributes
    ----------
    outcome : str
        Empty while running, then ``established`` or the reason for failure.
    failed_endpoint : str
        Endpoint that refused the connection during the attempt.
    """

    def __init__(
        self,
        group: Group,
        plan: Plan,
        timing: Timing,
        deprioritized: frozenset[str],
        timeout_s: float,
        now: float,
    ):
        self.group = group
        self.plan = plan
        self.timing = timing
        self.deprioritized = deprioritized
        self.timeout_s = timeout_s
        self.term = 0
        self.phase = CHECKING
        self.outcome = ""
        self.failed_endpoint = ""
        self.deadline = now + CHECK_TIMEOUT_S
        self.phase_started_at = {CHECKING: now}
        self.next_send: dict[str, float] = {}
        self.responses: dict[str, EndpointStatus] = {}
        self.failed_voters: set[str] = set()
        self.check_requests: collections.Counter[str] = collections.Counter()
        self.check_failures: collections.Counter[str] = collections.Counter()
        self.quorum_reached_at: float | None = None
        self.candidate = ""
        self.marker: Position | None = None
        self.marker_holders: set[str] = set()

    def step(self, event: object, now: float) -> list[object]:
        """Apply one event; the caller checks `outcome` after each call."""
        handle = {
            ev.Committed: self._on_committed,
            ev.ProposalFailed: self._on_proposal_failed,
            ev.PositionAnswered: self._on_position,
            ev.PromiseAnswered: self._on_promise,
            ev.PromoteAnswered: self._on_promote,
            ev.RequestFailed: self._on_request_failed,
        }.get(type(event))
        return handle(event, now) if handle else self.advance(now)

    def advance(self, now: float) -> list[object]:
        """Send requests that are due and enter the next phase if possible."""
        if now >= self.deadline:
            return self._fail(f"{self.phase}_timeout")
        work = {
            CHECKING: self._check_reachability,
            PROMISING: self._collect_promises,
            PROMOTING: self._send_promote,
            ESTABLISHING: self._collect_marker_holders,
        }.get(self.phase)
        return work(now) if work else []

    def _enter_phase(self, phase: str, now: float) -> None:
        self.phase = phase
        self.phase_started_at[phase] = now
        self.next_send = {}
        self.quorum_reached_at = None

    def _fail(self, reason: str) -> list[object]:
        self.outcome = reason
        return []

    def _is_due(self, endpoint: str, now: float, every_s: float) -> bool:
        if now < self.next_send.get(endpoint, now):
            return False
        self.next_send[endpoint] = now + every_s
        return True

    # Checking phase: a term that cannot get a quorum of promises would only
    # fence the reachable voters, so reachability is verified before the term
    # is reserved.

    def _check_reachability(self, now: float) -> list[object]:
        effects: list[object] = []
        for name in self.plan.voter_names:
            if name in self.responses or name in self.failed_voters:
                continue
            # A suspect that still answers may be needed for the quorum.
            if self.check_requests[name] < CHECK_REQUESTS and self._is_due(
                name, now, FAILED_RETRY_S
            ):
                self.check_requests[name] += 1
                effects.append(
                    self._ask_position(name, name == self.plan.suspect)
                )
        if not self.plan.has_promise_quorum(
            self.responses
        ) or not self._grace_elapsed(self.responses, now):
            return effects
        if self.plan.needs_probe:
            confirmed = probe_confirms(
                self.plan, self.responses, self.failed_voters
            )
            if confirmed is None:
                return effects
            if not confirmed:
                return self._fail("not_confirmed")
        return effects + self._propose_begin_term(now)

    def _ask_position(self, name: str, fresh: bool) -> ev.AskPosition:
        address = self.group.address_of(name)
        timeout_s = self.timing.silence_floor_s
        return ev.AskPosition(name, address, 0, timeout_s, fresh=fresh)

    def _grace_elapsed(
        self, found: dict[str, EndpointStatus], now: float
    ) -> bool:
        """Tell whether every voter answered or the grace period is over."""
        if self.quorum_reached_at is None:
            self.quorum_reached_at = now
        missing = [
            name
            for name in self.plan.voter_names
            if name not in found
            and name not in self.failed_voters
            and name != self.plan.suspect
        ]
        return (
            not missing or now - self.quorum_reached_at >= SLOW_VOTER_GRACE_S
        )

    def _propose_begin_term(self, now: float) -> list[object]:
        self.term = self.group.highest_term() + 1
        self._enter_phase(BEGINNING, now)
        self.deadline = now + self.timeout_s
        return [ev.Propose(BeginTerm(self.group.service, self.term))]

    def _on_committed(self, event: ev.Committed, now: float) -> list[object]:
        command = event.command
        if command.term != self.term:
            return []
        if isinstance(command, EstablishTerm):
            if event.accepted or event.record.term == self.term:
                self.phase_started_at["established"] = now
                self.outcome = "established"
                return []
            return self._fail("superseded")
        if self.phase != BEGINNING:
            return []
        if not event.accepted:
            return self._fail("term_taken")
        # After the commit no lower term can be established, so the voters of
        # this record are the ones that have to promise.
        if voters_of(event.record) != self.plan.old_voters:
            return self._fail("voters_changed")
        self._enter_phase(PROMISING, now)
        self.responses = {}
        self.failed_voters = set()
        self.deadline = now + self.timeout_s
        return [self._log_phase(PROMISING)] + self._collect_promises(now)

    def _on_proposal_failed(
        self, event: ev.ProposalFailed, now: float
    ) -> list[object]:
        if event.command.term != self.term:
            return []
        if isinstance(event.command, BeginTerm):
            return self._fail("not_committed")
        # The proposal may have been committed; repeating it is harmless.
        self.next_send.pop("", None)
        return []

    # Promising phase.

    def _collect_promises(self, now: float) -> list[object]:
        effects: list[object] = []
        for name in self.plan.voter_names:
            if name not in self.responses and self._is_due(
                name, now, UNANSWERED_RETRY_S
            ):
                effects.append(
                    ev.SendPromise(
                        name,
                        self.group.address_of(name),
                        self.term,
                        self.timing.promise_timeout_s,
                    )
                )
        if not self.plan.has_promise_quorum(
            self.responses
        ) or not self._grace_elapsed(self.responses, now):
            return effects
        candidate = self._choose_candidate()
        if candidate is None:
            return effects
        return effects + self._start_promotion(candidate, now)

    def _on_promise(
        self, event: ev.PromiseAnswered, now: float
    ) -> list[object]:
        status = event.reply.status
        if event.term != self.term or self.phase != PROMISING:
            return []
        if not self.plan.includes_voter(status):
            self.failed_voters.add(event.endpoint)
            return []
        # A term belongs to one attempt, so a voter that already promised this
        # term did so in a reply that was lost.
        if event.reply.granted or status.promised_term == self.term:
            self.failed_voters.discard(event.endpoint)
            self.responses[event.endpoint] = status
        elif status.promised_term > self.term:
            return self._fail("higher_term_promised")
        return self._collect_promises(now)

    def _choose_candidate(self) -> str | None:
        old_voters = tuple(
            m for m in self.plan.old_voters if has_status(m, self.responses)
        )
        required = quorum(len(self.plan.old_voters))
        if not self.plan.old_voters:
            old_voters, required = (
                self.plan.new_voters,
                len(self.plan.new_voters),
            )
        leaving = {
            name
            for name in self.plan.voter_names
            if self.group.is_leaving(name)
        }
        return choose_candidate(
            self.responses,
            old_voters,
            tuple(
                m
                for m in self.plan.new_voters
                if has_status(m, self.responses)
            ),
            required,
            self.deprioritized | leaving | {self.plan.suspect},
            self.group.record.primary,
            self.group.zone_hosts,
        )

    # Promoting phase: a term has a single candidate, even if its reply is
    # lost.

    def _start_promotion(self, candidate: str, now: float) -> list[object]:
        assert not self.candidate, "a term has a single candidate"
        assert self.plan.has_promise_quorum(self.responses), (
            "promotion without a quorum of promises"
        )
        self.candidate = candidate
        self._enter_phase(PROMOTING, now)
        return [self._log_phase(PROMOTING)] + self._send_promote(now)

    def _send_promote(self, now: float) -> list[object]:
        if not self._is_due(self.candidate, now, UNANSWERED_RETRY_S):
            return []
        return [
            ev.SendPromote(
                self.candidate,
                self.group.address_of(self.candidate),
                self.term,
                tuple(member.endpoint for member in self.plan.new_voters),
                self.timing.promise_timeout_s,
            )
        ]

    def _on_promote(
        self, event: ev.PromoteAnswered, now: float
    ) -> list[object]:
        if event.term != self.term or self.phase != PROMOTING:
            return []
        if event.endpoint != self.candidate:
            return []
        if not event.reply.accepted or not self.plan.includes_voter(
            event.reply.status
        ):
            return self._fail("promotion_refused")
        self.marker = event.reply.marker
        self._enter_phase(ESTABLISHING, now)
        self._record_marker_holder(event.reply.status)
        timeout_s = self.timing.promise_timeout_s
        follows = [
            self.group.follow_request(
                name, self.term, self.candidate, timeout_s
            )
            for name in self.group.endpoints
            if name != self.candidate
        ]
        return follows + self._collect_marker_holders(now)

    # Establishing phase.

    def _record_marker_holder(self, status: EndpointStatus) -> None:
        reached = (
            status.last.term == self.term
            and status.last.position >= self.marker.position
        )
        if reached and self.plan.includes_voter(status):
            self.marker_holders.add(status.endpoint)
            self.responses[status.endpoint] = status

    def _collect_marker_holders(self, now: float) -> list[object]:
        found = {name: self.responses[name] for name in self.marker_holders}
        if self.plan.has_marker_quorum(found):
            # The key "" schedules the proposal itself.
            if self._is_due("", now, self.timeout_s):
                return [ev.Propose(self._establish_command())]
            return []
        effects: list[object] = []
        ask_again_s = POSITION_WAIT_MS / 1000 + UNANSWERED_RETRY_S
        wait_s = POSITION_WAIT_MS / 1000 + self.timing.promise_timeout_s
        for name in self.plan.voter_names:
            if name not in self.marker_holders and self._is_due(
                name, now, ask_again_s
            ):
                effects.append(
                    ev.AskPosition(
                        name,
                        self.group.address_of(name),
                        self.term,
                        wait_s,
                        self.marker,
                        POSITION_WAIT_MS,
                    )
                )
        return effects

    def _establish_command(self) -> EstablishTerm:
        return EstablishTerm(
            self.group.service,
            self.term,
            self.candidate,
            tuple(member.endpoint for member in self.plan.new_voters),
            tuple(member.incarnation for member in self.plan.new_voters),
            self.marker.position,
        )

    def _on_position(
        self, event: ev.PositionAnswered, now: float
    ) -> list[object]:
        status = event.status
        if not self.plan.includes_voter(status):
            self.failed_voters.add(event.endpoint)
            return self.advance(now)
        if self.phase == CHECKING:
            if event.requested_at >= self.phase_started_at[CHECKING]:
                self.responses[event.endpoint] = status
        elif self.phase == ESTABLISHING:
            if status.promised_term > self.term:
                return self._fail("higher_term_promised")
            self._record_marker_holder(status)
            if event.endpoint not in self.marker_holders:
                self.next_send[event.endpoint] = now + FAILED_RETRY_S / 2
        return self.advance(now)

    def _on_request_failed(
        self, event: ev.RequestFailed, now: float
    ) -> list[object]:
        if self.phase == CHECKING:
            asked_here = event.requested_at >= self.phase_started_at[CHECKING]
            if event.request == "position" and asked_here:
                self.check_failures[event.endpoint] += 1
                if self.check_failures[event.endpoint] >= CHECK_REQUESTS:
                    self.failed_voters.add(event.endpoint)
            return self.advance(now)
        if event.term != self.term or not self.term:
            return []
        if event.refused and event.endpoint == self.candidate:
            self.failed_endpoint = event.endpoint
            return self._fail("candidate_refused")
        if self.phase == PROMISING:
            self.failed_voters.add(event.endpoint)
        if event.endpoint in self.next_send:
            self.next_send[event.endpoint] = now + FAILED_RETRY_S
        return self.advance(now)

    def _log_phase(self, phase: str) -> ev.LogPhase:
        fields = {"term": self.term, "reason": self.plan.reason}
        if self.candidate:
            fields["candidate"] = self.candidate
        promises = count_statuses(
            self.plan.old_voters or self.plan.new_voters, self.responses
        )
        fields["promises"] = promises
        return ev.LogPhase(phase, self.group.service, fields)
