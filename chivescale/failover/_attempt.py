"""One attempt to establish a term."""

import msgspec

from chivescale.failover import _events as ev
from chivescale.failover._group import Group, Timing
from chivescale.failover._selection import (
    Member,
    choose_candidate,
    count_in,
    members_of,
    quorum,
)
from chivescale.failover._watcher import DETACHED, DETACHED_CONTACT_MS
from chivescale.messages import (
    BeginTerm,
    EndpointStatus,
    EstablishTerm,
    Position,
)

CHECKING = "checking"
BEGINNING = "beginning"
PROMISING = "promising"
PROMOTING = "promoting"
ESTABLISHING = "establishing"

# After a quorum answered, slower voters get this long: the more advanced
# the choice, the fewer unconfirmed writes are lost. It covers one round
# trip between zones and stays small against the failover gap.
GRACE_S = 0.03

# A failed request is repeated after this time.
RESEND_S = 0.05

CHECK_TIMEOUT_S = 0.6
POSITION_WAIT_MS = 200


class Plan(msgspec.Struct, frozen=True):
    """Why a term begins and with which voters.

    Attributes
    ----------
    reason : str
        Verdict or cause, for the log.
    suspect : str
        Primary that failed; empty if none did.
    since : float
        When the cause was first seen.
    needs_probe : bool
        The verdict has to be confirmed by the leader's own probe.
    old, new : tuple of Member
        Voters of the last established term (empty before the first) and
        of the new term.
    """

    reason: str
    suspect: str
    since: float
    needs_probe: bool
    old: tuple[Member, ...]
    new: tuple[Member, ...]


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
        self.old = plan.old
        self.term = 0
        self.phase = CHECKING
        self.outcome = ""
        self.failed_endpoint = ""
        self.deadline = now + CHECK_TIMEOUT_S
        self.decided_at = now
        self.entered = {CHECKING: now}
        self.next_send: dict[str, float] = {}
        self.answered: dict[str, EndpointStatus] = {}
        self.failed: set[str] = set()
        self.quorum_at: float | None = None
        self.candidate = ""
        self.marker: Position | None = None
        self.held: set[str] = set()

    def step(self, event: object, now: float) -> list[object]:
        """Apply one event; the caller checks `outcome` afterwards."""
        if isinstance(event, ev.Committed):
            return self._committed(event, now)
        if isinstance(event, ev.ProposalFailed):
            return self._proposal_failed(event)
        if isinstance(event, ev.PositionAnswered):
            return self._position(event, now)
        if isinstance(event, ev.PromiseAnswered):
            return self._promise(event, now)
        if isinstance(event, ev.PromoteAnswered):
            return self._promote(event, now)
        if isinstance(event, ev.RequestFailed):
            return self._request_failed(event, now)
        return self.advance(now)

    def advance(self, now: float) -> list[object]:
        """Send what is due and enter the next phase if possible."""
        if now >= self.deadline:
            return self._fail(f"{self.phase}_timeout")
        if self.phase == CHECKING:
            return self._check(now)
        if self.phase == PROMISING:
            return self._collect_promises(now)
        if self.phase == PROMOTING:
            return self._send_promote(now)
        if self.phase == ESTABLISHING:
            return self._collect_held(now)
        return []

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

    def _members(self) -> list[str]:
        names = [member.endpoint for member in self.old + self.plan.new]
        return list(dict.fromkeys(names))

    def _is_member(self, status: EndpointStatus) -> bool:
        """Tell whether an answer comes from a voter that counts.

        A voter that lost its disk forgot its promises and its data, so it
        does not count as the voter it was.
        """
        member = Member(status.endpoint, status.incarnation)
        return member in self.old or member in self.plan.new

    def _counted(self, members: tuple[Member, ...], found) -> int:
        """Count members among `found`, by endpoint and incarnation."""
        return sum(
            member.endpoint in found
            and found[member.endpoint].incarnation == member.incarnation
            for member in members
        )

    def _have_quorums(self, found: dict[str, EndpointStatus]) -> bool:
        new = self._counted(self.plan.new, found)
        if not self.old:
            # Nothing is known of earlier voters: endpoints with data from
            # an earlier control state are covered only if all answer.
            return new == len(self.plan.new)
        old = self._counted(self.old, found)
        return old >= quorum(len(self.old)) and new >= quorum(
            len(self.plan.new)
        )

    # checking: reserving a term that cannot get its promises would only
    # fence the few voters within reach.

    def _check(self, now: float) -> list[object]:
        effects: list[object] = []
        for name in self._members():
            if name in self.answered or name in self.failed:
                continue
            # A suspect that still answers may be needed for the quorum.
            suspect = name == self.plan.suspect
            if self._due(name, now, CHECK_TIMEOUT_S):
                timeout_s = self.timing.silence_floor_s
                effects.append(
                    ev.AskPosition(
                        name,
                        self.group.address(name),
                        0,
                        timeout_s,
                        fresh=suspect,
                    )
                )
        if not self._have_quorums(self.answered) or not self._waited(
            self.answered, now
        ):
            return effects
        if self.plan.needs_probe:
            confirmed = self._probe_confirms()
            if confirmed is None:
                return effects
            if not confirmed:
                return self._fail("not_confirmed")
        return effects + self._begin(now)

    def _probe_confirms(self) -> bool | None:
        """Tell what the leader's own probe says; None while it runs."""
        if self.plan.reason == DETACHED:
            cut_off = sum(
                status.primary == self.plan.suspect
                and not 0 <= status.primary_contact_ms < DETACHED_CONTACT_MS
                for status in self.answered.values()
            )
            return cut_off >= quorum(len(self.old))
        if self.plan.suspect in self.answered:
            return False
        return True if self.plan.suspect in self.failed else None

    def _waited(self, found: dict[str, EndpointStatus], now: float) -> bool:
        """Tell whether all have answered or had the time to."""
        if self.quorum_at is None:
            self.quorum_at = now
        missing = [
            name
            for name in self._members()
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
        if members_of(event.record) != self.old:
            return self._fail("voters_changed")
        self._enter(PROMISING, now)
        self.answered = {}
        self.failed = set()
        self.deadline = now + self.timeout_s
        return [self._log(PROMISING)] + self._collect_promises(now)

    def _proposal_failed(self, event: ev.ProposalFailed) -> list[object]:
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
        for name in self._members():
            if name not in self.answered and self._due(
                name, now, self.timing.promise_timeout_s
            ):
                effects.append(
                    ev.SendPromise(
                        name,
                        self.group.address(name),
                        self.term,
                        self.timing.promise_timeout_s,
                    )
                )
        if not self._have_quorums(self.answered) or not self._waited(
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
        if not self._is_member(status):
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
        old = tuple(m for m in self.old if self._valid(m))
        needed = quorum(len(self.old))
        if not self.old:
            old, needed = self.plan.new, len(self.plan.new)
        leaving = {
            name for name in self._members() if self.group.leaving(name)
        }
        return choose_candidate(
            self.answered,
            old,
            tuple(m for m in self.plan.new if self._valid(m)),
            needed,
            self.avoid | leaving | {self.plan.suspect},
            self.group.record.primary,
            self.group.zone_hosts,
        )

    def _valid(self, member: Member) -> bool:
        status = self.answered.get(member.endpoint)
        return status is not None and status.incarnation == member.incarnation

    # promoting: one candidate per term, whatever happens to its answer.

    def _start_promotion(self, candidate: str, now: float) -> list[object]:
        assert not self.candidate, "one candidate per term"
        assert self._have_quorums(self.answered), "promises of a quorum"
        self.candidate = candidate
        self._enter(PROMOTING, now)
        return [self._log(PROMOTING)] + self._send_promote(now)

    def _send_promote(self, now: float) -> list[object]:
        if not self._due(self.candidate, now, self.timing.promise_timeout_s):
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
        if not event.reply.accepted or not self._is_member(event.reply.status):
            return self._fail("promotion_refused")
        self.marker = event.reply.marker
        self._enter(ESTABLISHING, now)
        self._hold(event.reply.status)
        return self._send_follows() + self._collect_held(now)

    def _send_follows(self) -> list[object]:
        group = self.group
        return [
            ev.SendFollow(
                name,
                group.address(name),
                self.term,
                self.candidate,
                group.address(self.candidate),
                self.timing.promise_timeout_s,
            )
            for name in group.endpoints
            if name != self.candidate
        ]

    # establishing

    def _hold(self, status: EndpointStatus) -> None:
        reached = (
            status.last.term == self.term
            and status.last.position >= self.marker.position
        )
        if reached and self._is_member(status):
            self.held.add(status.endpoint)
            self.answered[status.endpoint] = status

    def _collect_held(self, now: float) -> list[object]:
        found = {name: self.answered[name] for name in self.held}
        if self._held_by_quorums(found):
            # Key "" stands for the proposal itself.
            if self._due("", now, self.timeout_s):
                return [ev.Propose(self._establish())]
            return []
        effects: list[object] = []
        wait_s = POSITION_WAIT_MS / 1000 + self.timing.promise_timeout_s
        for name in self._members():
            if name not in self.held and self._due(name, now, wait_s):
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

    def _held_by_quorums(self, found: dict[str, EndpointStatus]) -> bool:
        new = self._counted(self.plan.new, found)
        if new < quorum(len(self.plan.new)):
            return False
        old = self._counted(self.old, found)
        return not self.old or old >= quorum(len(self.old))

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
        if not self._is_member(status):
            self.failed.add(event.endpoint)
            return self.advance(now)
        if self.phase == CHECKING:
            if event.asked_at >= self.entered[CHECKING]:
                self.answered[event.endpoint] = status
        elif self.phase == ESTABLISHING:
            if status.promised_term > self.term:
                return self._fail("higher_term_promised")
            self._hold(status)
            self.next_send.setdefault(event.endpoint, now)
            if event.endpoint not in self.held:
                self.next_send[event.endpoint] = now + RESEND_S / 2
        return self.advance(now)

    def _request_failed(
        self, event: ev.RequestFailed, now: float
    ) -> list[object]:
        if self.phase == CHECKING:
            asked_here = event.asked_at >= self.entered[CHECKING]
            if event.request == "position" and asked_here:
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

    def durations(self) -> dict[str, object]:
        """Return the time from each phase to the next, in milliseconds."""
        names = {
            CHECKING: "check_ms",
            BEGINNING: "agreement_ms",
            PROMISING: "promise_ms",
            PROMOTING: "promote_ms",
            ESTABLISHING: "establish_ms",
        }
        fields: dict[str, object] = {
            "detection_ms": _ms(self.decided_at - self.plan.since)
        }
        times = list(self.entered.items())
        for (phase, at), (_, until) in zip(times, times[1:], strict=False):
            fields[names[phase]] = _ms(until - at)
        fields["total_ms"] = _ms(times[-1][1] - self.plan.since)
        return fields

    def _log(self, phase: str) -> ev.LogPhase:
        fields = {"term": self.term, "reason": self.plan.reason}
        if self.candidate:
            fields["candidate"] = self.candidate
        promises = count_in(self.old or self.plan.new, self.answered)
        fields["promises"] = promises
        return ev.LogPhase(phase, self.group.service, fields)


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 3)
