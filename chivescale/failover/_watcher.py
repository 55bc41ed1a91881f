"""Watcher that probes the voters of a service from an entry host."""

import msgspec

from chivescale.failover._detector import (
    HEALTHY,
    Detector,
    ProbeAnswered,
    ProbeFailed,
    ProbeSent,
)
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    ServiceRecord,
    Suspicion,
)

DETACHED = "detached"

# Suspicions are repeated, so that a lost message or a change of the control
# leader delays a failover by at most this time.
REPORT_INTERVAL_S = 0.25

# How long a recovery is reported. The leader drops suspicions that are not
# repeated after the same time.
RECOVERY_REPORT_S = 1.0

# Replicas report the age of their last contact with the primary. The limit is
# above the silence floor because the age includes one idle replication poll.
DETACHED_CONTACT_MS = 600

# Older statuses do not describe the current contact of a replica.
MAX_STATUS_AGE_S = 0.4

# Timeout of a probe request. The verdict is reached much earlier, but a late
# answer still withdraws a false one.
PROBE_TIMEOUT_S = 1.0


class WatchService(msgspec.Struct, frozen=True):
    """The replicated state of the service changed."""

    record: ServiceRecord
    endpoints: tuple[EndpointRecord, ...]


class ProbeReply(msgspec.Struct, frozen=True):
    """A probe was answered."""

    endpoint: str
    probe: int
    status: EndpointStatus


class ProbeError(msgspec.Struct, frozen=True):
    """A probe failed."""

    endpoint: str
    probe: int
    refused: bool


class Probe(msgspec.Struct, frozen=True):
    """Effect: request the position of an endpoint without a wait."""

    endpoint: str
    address: str
    probe: int
    fresh: bool
    timeout_s: float = PROBE_TIMEOUT_S


class Report(msgspec.Struct, frozen=True):
    """Effect: report a suspicion to the control leader."""

    suspicion: Suspicion


class VoterState(msgspec.Struct):
    """Detector and latest status of one voter."""

    address: str
    incarnation: str
    detector: Detector
    status: EndpointStatus | None = None
    status_received_at: float = 0.0
    # Since when the voter has reported no contact with the primary (-1).
    no_contact_since: float | None = None


class Watcher:
    """Derives a verdict on the primary from probes of all voters.

    Parameters
    ----------
    host : str
        Name of this entry host.
    service : str
        Watched service.
    interval_s, floor_s : float
        Probe interval and minimum silence timeout, in seconds.
    detached_ms : int
        Contact age from which a replica counts as detached.
    """

    def __init__(
        self,
        host: str,
        service: str,
        interval_s: float = 0.1,
        floor_s: float = 0.35,
        detached_ms: int = DETACHED_CONTACT_MS,
    ):
        self.host = host
        self.service = service
        self.interval_s = interval_s
        self.floor_s = floor_s
        self.detached_ms = detached_ms
        self.record: ServiceRecord | None = None
        self.voters: dict[str, VoterState] = {}
        self.verdict = HEALTHY
        self.last_report: tuple[int, str] = (0, HEALTHY)
        self.last_report_at = 0.0
        self.last_suspected_at = float("-inf")
        self.next_probe = 0

    def step(self, event: object, now: float) -> list[Probe | Report]:
        """Apply one event; return the probes and reports to send."""
        effects: list[Probe | Report] = []
        if isinstance(event, WatchService):
            self._update_voters(event)
        elif isinstance(event, ProbeReply):
            effects += self._on_reply(event, now)
        elif isinstance(event, ProbeError):
            failed = ProbeFailed(event.probe, event.refused)
            effects += self._step_detector(event.endpoint, failed, now)
        else:
            for endpoint in self.voters:
                effects += self._step_detector(endpoint, event, now)
        return effects + self._due_reports(now)

    def _update_voters(self, event: WatchService) -> None:
        known = {record.endpoint: record for record in event.endpoints}
        before = self.voters
        self.voters = {}
        for name in event.record.voters:
            record = known.get(name)
            if record is not None:
                self.voters[name] = self._voter_state(before.get(name), record)
        term = self.record.term if self.record else 0
        if event.record.term != term:
            for voter in self.voters.values():
                voter.no_contact_since = None
                voter.status = None
        self.record = event.record

    def _voter_state(
        self, old: VoterState | None, record: EndpointRecord
    ) -> VoterState:
        address, incarnation = record.admin_address, record.incarnation
        if old and (old.address, old.incarnation) == (address, incarnation):
            return old
        detector = Detector(self.interval_s, self.floor_s)
        return VoterState(address, incarnation, detector)

    def _step_detector(
        self, endpoint: str, event: object, now: float
    ) -> list[Probe]:
        voter = self.voters.get(endpoint)
        if voter is None:
            return []
        probes = []
        for send in voter.detector.step(event, now):
            self.next_probe += 1
            number = self.next_probe
            voter.detector.step(ProbeSent(number, send.fresh), now)
            probes.append(Probe(endpoint, voter.address, number, send.fresh))
        return probes

    def _on_reply(self, event: ProbeReply, now: float) -> list[Probe]:
        probes = self._step_detector(
            event.endpoint, ProbeAnswered(event.probe), now
        )
        voter = self.voters.get(event.endpoint)
        if voter is None or event.status.incarnation != voter.incarnation:
            return probes
        voter.status, voter.status_received_at = event.status, now
        if event.status.primary_contact_ms >= 0:
            voter.no_contact_since = None
        elif voter.no_contact_since is None:
            voter.no_contact_since = now
        return probes

    def _evaluate_primary(self, now: float) -> str:
        record = self.record
        if record is None or record.term == 0:
            return HEALTHY
        primary = self.voters.get(record.primary)
        if primary is not None and primary.detector.verdict != HEALTHY:
            return primary.detector.verdict
        detached = sum(
            self._is_detached(name, now)
            for name in self.voters
            if name != record.primary
        )
        quorum = len(record.voters) // 2 + 1
        return DETACHED if detached >= quorum else HEALTHY

    def _is_detached(self, name: str, now: float) -> bool:
        voter = self.voters[name]
        status = voter.status
        if status is None or now - voter.status_received_at > MAX_STATUS_AGE_S:
            return False
        if status.promised_term != self.record.term:
            return False
        if status.primary != self.record.primary:
            return False
        limit_ms = self.detached_ms + voter.detector.delay_allowance_s() * 1000
        if status.primary_contact_ms >= 0:
            return status.primary_contact_ms >= limit_ms
        since = voter.no_contact_since
        return since is not None and (now - since) * 1000 >= limit_ms

    def _due_reports(self, now: float) -> list[Report]:
        record = self.record
        if record is None or record.term == 0:
            return []
        self.verdict = self._evaluate_primary(now)
        current = (record.term, self.verdict)
        if self.verdict != HEALTHY:
            self.last_suspected_at = now
        elif self.last_report[0] != record.term:
            # A new term starts without a suspicion to withdraw.
            self.last_suspected_at = float("-inf")
        # Withdrawals are repeated because a lost one would keep this vote in
        # force, and a false alarm of another watcher could then complete a
        # majority.
        recovering = now - self.last_suspected_at <= RECOVERY_REPORT_S
        repeat = now - self.last_report_at >= REPORT_INTERVAL_S
        report_due = current != self.last_report or repeat
        self.last_report = current
        if self.verdict == HEALTHY and not recovering or not report_due:
            return []
        self.last_report_at = now
        suspicion = Suspicion(
            self.host, self.service, record.term, record.primary, self.verdict
        )
        return [Report(suspicion)]
