"""Failover of one service on the control leader."""

import random

from chivescale.failover import _events as ev
from chivescale.failover._attempt import Attempt
from chivescale.failover._group import Group, Timing
from chivescale.failover._plan import Plan, durations
from chivescale.failover._reconcile import Reconciler
from chivescale.failover._selection import (
    Member,
    first_voters,
    plan_voters,
    quorum,
)
from chivescale.messages import ServiceRecord

STABLE = "stable"

# The watchers repeat an agreed verdict several times in this time.
VERDICT_LIFE_S = 1.0

# An endpoint that refused a connection during an attempt is no candidate
# for this long.
AVOID_S = 3.0

# First pause after a failed attempt; it doubles up to the limit.
RETRY_S = 0.05
RETRY_LIMIT_S = 2.0

# A leaving primary is replaced when another voter is this close; after the
# second limit it is replaced at once, since no new work may reach a leaving
# endpoint 3 s after its announcement.
HANDOVER_LAG_ENTRIES = 50
HANDOVER_PATIENCE_S = 1.0

# How long to leave a term alone that another host began during this
# leadership. That host still believes to lead; two hosts that at once begin
# terms above each other's would establish none.
FOREIGN_TERM_S = 1.0

# Planned changes that failed are not repeated sooner than this.
PLANNED_RETRY_S = 1.0


class Failover:
    """Directs the terms of one service.

    One instance lives as long as one leadership. A new leader starts a new
    instance, which never resumes an attempt of an earlier one but begins a
    higher term.

    Parameters
    ----------
    service : str
        Service name.
    timing : Timing
        Timeouts in seconds.
    rng : random.Random
        Source of jitter.
    now : float
        Start of this leadership, monotonic seconds.
    group : Group, optional
        What is known already, after an earlier instance failed.
    """

    def __init__(
        self,
        service: str,
        timing: Timing,
        rng: random.Random,
        now: float,
        group: Group | None = None,
    ):
        self.service = service
        self.timing = timing
        self.rng = rng
        self.group = group or Group(service, now)
        self.active = True
        self.attempt: Attempt | None = None
        self.last_term = 0
        self.established_at = now
        self.verdict: ev.VerdictReached | None = None
        self.verdict_at = 0.0
        self.avoided: dict[str, float] = {}
        self.failures = 0
        self.not_before = now
        self.planned_not_before = now
        self.leaving_since: float | None = None
        self.reconciler = Reconciler(self.group, timing)

    @property
    def own_term(self) -> int:
        """Last term that this instance reserved."""
        return self.attempt.term if self.attempt else self.last_term

    @property
    def phase(self) -> str:
        """Name of the present phase."""
        return self.attempt.phase if self.attempt else STABLE

    def step(self, event: object, now: float) -> list[object]:
        """Apply one event and return the effects to execute."""
        if not self.active:
            return []
        if isinstance(event, ev.LeadershipLost):
            self.active = False
            self.attempt = None
            return []
        self._observe(event, now)
        effects: list[object] = []
        if self.attempt:
            effects += self._drive(event, now)
        if not self.attempt:
            effects += self._consider(now)
            effects += self.reconciler.step(now)
        return effects

    def _observe(self, event: object, now: float) -> None:
        """Keep what the event says about the group."""
        group = self.group
        if isinstance(event, ev.StateApplied):
            before = group.record
            group.apply(event)
            self._record_changed(before, now)
        elif isinstance(event, ev.Committed):
            before = group.record
            group.advance(event.record)
            self._record_changed(before, now)
        elif isinstance(event, ev.Announced):
            group.learn(event.status, now)
        elif isinstance(event, ev.PositionAnswered):
            group.learn(event.status, now, event.asked_at)
        elif isinstance(event, ev.PromiseAnswered | ev.PromoteAnswered):
            group.learn(event.reply.status, now)
        elif isinstance(event, ev.VerdictReached):
            self.verdict, self.verdict_at = event, now
        elif isinstance(event, ev.Tick):
            group.forget(now)

    def _record_changed(self, before: ServiceRecord, now: float) -> None:
        record = self.group.record
        known = (before.begun_term, self.own_term)
        if before.begun_term and record.begun_term not in known:
            pause_s = FOREIGN_TERM_S * self.rng.uniform(1, 2)
            self.not_before = max(self.not_before, now + pause_s)
        if record.term != before.term:
            self.established_at = now
            self.reconciler.followed_at = {}
            self.leaving_since = None

    # running attempt

    def _drive(self, event: object, now: float) -> list[object]:
        attempt = self.attempt
        record = self.group.record
        if isinstance(event, ev.StateApplied):
            if attempt.term and record.term == attempt.term:
                attempt.entered["established"] = now
                attempt.outcome = "established"
                return self._finish(now)
            if attempt.term and record.begun_term > attempt.term:
                attempt.outcome = "superseded"
                return self._finish(now)
            return attempt.advance(now)
        effects = attempt.step(event, now)
        self._check_invariants(attempt)
        return effects + (self._finish(now) if attempt.outcome else [])

    def _check_invariants(self, attempt: Attempt) -> None:
        """One attempt per term, and terms only rise."""
        if attempt.term:
            assert attempt.term >= self.last_term, "terms rise"
            assert attempt.term > self.group.record.term or attempt.outcome, (
                "a begun term is above the established one"
            )

    def _finish(self, now: float) -> list[object]:
        attempt, self.attempt = self.attempt, None
        if attempt.term:
            self.last_term = attempt.term
        plan = attempt.plan
        fields: dict[str, object] = {
            "term": attempt.term,
            "reason": plan.reason,
            **durations(attempt.entered, plan.since),
        }
        if attempt.outcome == "established":
            self.failures = 0
            self.verdict = None
            self.not_before = now
            self.planned_not_before = now + PLANNED_RETRY_S
            fields["primary"] = attempt.candidate
            return [ev.LogPhase("established", self.service, fields)]
        self.failures += 1
        if attempt.failed_endpoint:
            self.avoided[attempt.failed_endpoint] = now + AVOID_S
        pause = min(RETRY_S * 2 ** min(self.failures, 10), RETRY_LIMIT_S)
        self.not_before = now + pause * self.rng.uniform(0.5, 1.0)
        self.planned_not_before = now + PLANNED_RETRY_S
        fields["outcome"] = attempt.outcome
        fields["in_phase"] = attempt.phase
        return [ev.LogPhase("failed", self.service, fields)]

    # stable: is there a reason to begin a term?

    def _consider(self, now: float) -> list[object]:
        if now < self.not_before:
            return []
        plan = self._plan(now)
        if plan is None:
            return []
        avoid = frozenset(
            name for name, until in self.avoided.items() if now < until
        )
        timeout_s = self.timing.attempt_timeout_s * self.rng.uniform(1, 1.3)
        self.attempt = Attempt(
            self.group, plan, self.timing, avoid, timeout_s, now
        )
        effects = self.attempt.advance(now)
        return effects + (self._finish(now) if self.attempt.outcome else [])

    def _plan(self, now: float) -> Plan | None:
        group = self.group
        if group.record.term == 0:
            return self._plan_first(now)
        return (
            self._plan_failure(now)
            or self._plan_unfinished(now)
            or self._plan_change(now)
        )

    def _plan_first(self, now: float) -> Plan | None:
        group = self.group
        members = first_voters(
            group.record, group.endpoints, group.known(), now
        )
        if members is None:
            return None
        return Plan("first_term", "", now, False, (), members)

    def _plan_failure(self, now: float) -> Plan | None:
        """Plan a term without the primary, with the voters as they are."""
        record, old = self.group.record, self.group.voters()
        primary = self.group.endpoints.get(record.primary)
        incarnation = dict(
            zip(record.voters, record.incarnations, strict=True)
        ).get(record.primary)
        if primary and primary.incarnation != incarnation:
            return Plan("lost_data", record.primary, now, False, old, old)
        verdict = self.verdict
        if verdict is None or now - self.verdict_at > VERDICT_LIFE_S:
            return None
        if (verdict.term, verdict.primary) != (record.term, record.primary):
            return None
        return Plan(
            verdict.verdict,
            record.primary,
            verdict.since,
            verdict.needs_probe,
            old,
            old,
        )

    def _plan_unfinished(self, now: float) -> Plan | None:
        """Plan a term above one that began and was never established.

        Voters that promised the unfinished term refuse the present one.
        """
        record, old = self.group.record, self.group.voters()
        reason = ""
        if record.begun_term > record.term:
            reason = "unfinished"
        elif any(self._promised_higher(member) for member in old):
            reason = "higher_promise"
        elif self._demoted():
            reason = "demoted"
        return Plan(reason, "", now, False, old, old) if reason else None

    def _promised_higher(self, member: Member) -> bool:
        status = self.group.status(member)
        return status is not None and (
            status.promised_term > self.group.record.term
        )

    def _demoted(self) -> bool:
        """Tell whether the primary itself says that it is none.

        Only an answer to a question asked in this term counts, since an
        announcement from before the promotion can arrive late.
        """
        known = self.group.known().get(self.group.record.primary)
        if known is None or known.direct_at <= self.established_at:
            return False
        return known.status.role != "primary"

    def _plan_change(self, now: float) -> Plan | None:
        """Plan a handover or a change of voters."""
        if now < self.planned_not_before:
            return None
        group = self.group
        old = group.voters()
        new = plan_voters(
            group.record, group.endpoints, group.known(), now, group.since
        )
        if self._handover_due(now):
            since = self.leaving_since
            return Plan("handover", "", since, False, old, new or old)
        if new is None:
            return None
        return Plan("voter_change", "", now, False, old, new)

    def _handover_due(self, now: float) -> bool:
        group = self.group
        primary = group.record.primary
        if not group.leaving(primary):
            self.leaving_since = None
            return False
        if self.leaving_since is None:
            self.leaving_since = now
        known = group.known()
        others = [
            known[member.endpoint].status.last
            for member in group.voters()
            if member.endpoint != primary
            and member.endpoint in known
            and not group.leaving(member.endpoint)
        ]
        # The leaving primary still counts towards the quorum of promises.
        if not others or len(others) + 1 < quorum(len(group.voters())):
            return False
        if now - self.leaving_since >= HANDOVER_PATIENCE_S:
            return True
        last = known[primary].status.last if primary in known else None
        best = max(others)
        return last is None or (
            best.term == last.term
            and best.position + HANDOVER_LAG_ENTRIES >= last.position
        )
