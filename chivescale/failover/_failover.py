"""Failover of one service on the control leader."""

import random

from chivescale.failover import _events as ev
from chivescale.failover._attempt import Attempt
from chivescale.failover._group import Group, Timing
from chivescale.failover._plan import Plan, phase_durations_ms
from chivescale.failover._reconcile import Reconciler
from chivescale.failover._selection import (
    Member,
    first_voters,
    plan_voters,
    quorum,
)
from chivescale.messages import ServiceRecord

STABLE = "stable"

# Watchers repeat a verdict several times within this period.
VERDICT_EXPIRY_S = 1.0

# For this long, an endpoint that refused a connection during an attempt is
# promoted only if no other voter qualifies.
REFUSED_CANDIDATE_PENALTY_S = 3.0

# Base and limit of the exponential backoff after failed attempts.
RETRY_BASE_S = 0.05
MAX_RETRY_S = 2.0

# A leaving primary is replaced once another voter is within this lag. After
# the maximum wait it is replaced regardless of the lag, because no new work
# may reach a leaving endpoint 3 s after its announcement.
MAX_HANDOVER_LAG_ENTRIES = 50
MAX_HANDOVER_WAIT_S = 1.0

# Delay before reacting to a term that another host began during this
# leadership. That host still considers itself leader; two hosts that keep
# beginning higher terms at once would establish none.
FOREIGN_TERM_BACKOFF_S = 1.0

# Minimum time from the end of an attempt to the next planned change.
PLANNED_CHANGE_INTERVAL_S = 1.0


class Failover:
    """Controls the terms of one service.

    An instance serves a single leadership. The instance of a new leader never
    resumes an earlier attempt; it begins a higher term instead.

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
        Observations of an earlier instance that was replaced after an error.
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
        self.last_reserved_term = 0
        self.established_at = now
        self.verdict: ev.VerdictReached | None = None
        self.verdict_at = 0.0
        self.penalized_until: dict[str, float] = {}
        self.consecutive_failures = 0
        self.not_before = now
        self.planned_not_before = now
        self.primary_leaving_since: float | None = None
        self.reconciler = Reconciler(self.group, timing)

    @property
    def own_term(self) -> int:
        """Latest term that this instance reserved."""
        return self.attempt.term if self.attempt else self.last_reserved_term

    @property
    def phase(self) -> str:
        """Current phase."""
        return self.attempt.phase if self.attempt else STABLE

    def step(self, event: object, now: float) -> list[object]:
        """Apply one event and return the effects to execute."""
        if not self.active:
            return []
        if isinstance(event, ev.LeadershipLost):
            self.active = False
            self.attempt = None
            return []
        self._update_group(event, now)
        effects: list[object] = []
        if self.attempt:
            effects += self._step_attempt(event, now)
        if not self.attempt:
            effects += self._start_due_attempt(now)
            effects += self.reconciler.step(now)
        return effects

    def _update_group(self, event: object, now: float) -> None:
        """Record the information that the event carries about the group."""
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
            group.record_status(event.status, now)
        elif isinstance(event, ev.PositionAnswered):
            group.record_status(event.status, now, event.requested_at)
        elif isinstance(event, ev.PromiseAnswered | ev.PromoteAnswered):
            group.record_status(event.reply.status, now)
        elif isinstance(event, ev.VerdictReached):
            self.verdict, self.verdict_at = event, now
        elif isinstance(event, ev.Tick):
            group.expire_statuses(now)

    def _record_changed(self, before: ServiceRecord, now: float) -> None:
        record = self.group.record
        known_terms = (before.begun_term, self.own_term)
        if before.begun_term and record.begun_term not in known_terms:
            pause_s = FOREIGN_TERM_BACKOFF_S * self.rng.uniform(1, 2)
            self.not_before = max(self.not_before, now + pause_s)
        if record.term != before.term:
            self.established_at = now
            self.reconciler.follow_sent_at = {}
            self.primary_leaving_since = None

    # Running attempt.

    def _step_attempt(self, event: object, now: float) -> list[object]:
        attempt = self.attempt
        record = self.group.record
        if isinstance(event, ev.StateApplied):
            if attempt.term and record.term == attempt.term:
                attempt.phase_started_at["established"] = now
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
        """Check that each attempt has its own term and that terms rise."""
        if attempt.term:
            assert attempt.term >= self.last_reserved_term, (
                "the term of an attempt must not decrease"
            )
            assert attempt.term > self.group.record.term or attempt.outcome, (
                "a begun term must be above the established one"
            )

    def _finish(self, now: float) -> list[object]:
        attempt, self.attempt = self.attempt, None
        if attempt.term:
            self.last_reserved_term = attempt.term
        plan = attempt.plan
        fields: dict[str, object] = {
            "term": attempt.term,
            "reason": plan.reason,
            **phase_durations_ms(attempt.phase_started_at, plan.since),
        }
        if attempt.outcome == "established":
            self.consecutive_failures = 0
            self.verdict = None
            self.not_before = now
            self.planned_not_before = now + PLANNED_CHANGE_INTERVAL_S
            fields["primary"] = attempt.candidate
            return [ev.LogPhase("established", self.service, fields)]
        self.consecutive_failures += 1
        if attempt.failed_endpoint:
            self.penalized_until[attempt.failed_endpoint] = (
                now + REFUSED_CANDIDATE_PENALTY_S
            )
        pause = min(
            RETRY_BASE_S * 2 ** min(self.consecutive_failures, 10),
            MAX_RETRY_S,
        )
        self.not_before = now + pause * self.rng.uniform(0.5, 1.0)
        self.planned_not_before = now + PLANNED_CHANGE_INTERVAL_S
        fields["outcome"] = attempt.outcome
        fields["in_phase"] = attempt.phase
        return [ev.LogPhase("failed", self.service, fields)]

    # No attempt is running: plan the next one if there is a reason.

    def _start_due_attempt(self, now: float) -> list[object]:
        if now < self.not_before:
            return []
        plan = self._plan(now)
        if plan is None:
            return []
        deprioritized = frozenset(
            name for name, until in self.penalized_until.items() if now < until
        )
        timeout_s = self.timing.attempt_timeout_s * self.rng.uniform(1, 1.3)
        self.attempt = Attempt(
            self.group, plan, self.timing, deprioritized, timeout_s, now
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
            group.record, group.endpoints, group.registered_statuses(), now
        )
        if members is None:
            return None
        return Plan("first_term", "", now, False, (), members)

    def _plan_failure(self, now: float) -> Plan | None:
        """Plan a term with the same voters but without the failed primary."""
        record, old = self.group.record, self.group.voters()
        primary = self.group.endpoints.get(record.primary)
        incarnation = dict(
            zip(record.voters, record.incarnations, strict=True)
        ).get(record.primary)
        if primary and primary.incarnation != incarnation:
            return Plan("lost_data", record.primary, now, False, old, old)
        verdict = self.verdict
        if verdict is None or now - self.verdict_at > VERDICT_EXPIRY_S:
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
        """Plan a term above one that was begun but never established.

        Voters that promised the unfinished term reject the current one.
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
        """Tell whether the primary reports that it is no longer primary.

        Only a reply to a request sent during this term counts, because an
        announcement from before the promotion can arrive late.
        """
        observed = self.group.registered_statuses().get(
            self.group.record.primary
        )
        if observed is None or observed.polled_at <= self.established_at:
            return False
        return observed.status.role != "primary"

    def _plan_change(self, now: float) -> Plan | None:
        """Plan a handover or a change of voters."""
        if now < self.planned_not_before:
            return None
        group = self.group
        old = group.voters()
        new = plan_voters(
            group.record,
            group.endpoints,
            group.registered_statuses(),
            now,
            group.leadership_since,
        )
        if self._handover_due(now):
            since = self.primary_leaving_since
            return Plan("handover", "", since, False, old, new or old)
        if new is None:
            return None
        return Plan("voter_change", "", now, False, old, new)

    def _handover_due(self, now: float) -> bool:
        group = self.group
        primary = group.record.primary
        if not group.is_leaving(primary):
            self.primary_leaving_since = None
            return False
        if self.primary_leaving_since is None:
            self.primary_leaving_since = now
        statuses = group.registered_statuses()
        others = [
            statuses[member.endpoint].status.last
            for member in group.voters()
            if member.endpoint != primary
            and member.endpoint in statuses
            and not group.is_leaving(member.endpoint)
        ]
        # The leaving primary still counts towards the promise quorum.
        if not others or len(others) + 1 < quorum(len(group.voters())):
            return False
        if now - self.primary_leaving_since >= MAX_HANDOVER_WAIT_S:
            return True
        last = statuses[primary].status.last if primary in statuses else None
        best = max(others)
        return last is None or (
            best.term == last.term
            and best.position + MAX_HANDOVER_LAG_ENTRIES >= last.position
        )
