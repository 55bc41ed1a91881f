"""Watcher of one service on an entry host."""

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

# A suspicion is repeated so that the loss of one message, or a new control
# leader, delays a failover only by this time.
REPEAT_S = 0.25

# How long a recovery is repeated; the leader forgets a suspicion that is
# not repeated after the same time.
WITHDRAWAL_S = 1.0

# Replicas report the age of their last contact. The limit stays above the
# silence floor because the age includes one idle replication poll.
DETACHED_CONTACT_MS = 600

# Older answers say nothing about the present contact of a replica.
STATUS_FRESH_S = 0.4

# A probe is given up after this time; the verdict falls much earlier, but a
# late answer still ends a false one.
PROBE_TIMEOUT_S = 1.0


class WatchService(msgspec.Struct, frozen=True):
    """The applied state of the service, on every change."""

    record: ServiceRecord
    endpoints: tuple[EndpointRecord, ...]


class ProbeReply(msgspec.Struct, frozen=True):
    """A probe was answered."""

    endpoint: str
    probe: int
    status: EndpointStatus


class ProbeError(msgspec.Struct, frozen=True):
    """A probe ended without an answer."""

    endpoint: str
    probe: int
    refused: bool


class Probe(msgspec.Struct, frozen=True):
    """Effect: ask an endpoint for its position without waiting."""

    endpoint: str
    address: str
    probe: int
    fresh: bool
    timeout_s: float = PROBE_TIMEOUT_S


class Report(msgspec.Struct, frozen=True):
    """Effect: send a suspicion to the control leader."""

    suspicion: Suspicion


class Observed(msgspec.Struct):
    """What a watcher knows of one voter."""

    address: str
    incarnation: str
    detector: Detector
    status: EndpointStatus | None = None
    status_at: float = 0.0
    # Since when the voter reports no contact at all (-1).
    no_contact_since: float | None = None


class Watcher:
    """Combines the probes of all voters into a verdict on the primary.

    Parameters
    ----------
    host : str
        Name of this entry host.
    service : str
        Watched service.
    interval_s, floor_s : float
        Probe interval and silence floor, in seconds.
    detached_ms : int
        Contact age from which a replica counts as cut off.
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
        self.voters: dict[str, Observed] = {}
        self.verdict = HEALTHY
        self.reported: tuple[int, str] = (0, HEALTHY)
        self.reported_at = 0.0
        self.suspected_at = float("-inf")
        self.next_probe = 0

    def step(self, event: object, now: float) -> list[Probe | Report]:
        """Apply one event and return probes and reports to send."""
        effects: list[Probe | Report] = []
        if isinstance(event, WatchService):
            self._watch(event)
        elif isinstance(event, ProbeReply):
            effects += self._reply(event, now)
        elif isinstance(event, ProbeError):
            failed = ProbeFailed(event.probe, event.refused)
            effects += self._drive(event.endpoint, failed, now)
        else:
            for endpoint in self.voters:
                effects += self._drive(endpoint, event, now)
        return effects + self._report(now)

    def _watch(self, event: WatchService) -> None:
        known = {record.endpoint: record for record in event.endpoints}
        before = self.voters
        self.voters = {}
        for name in event.record.voters:
            record = known.get(name)
            if record is not None:
                self.voters[name] = self._observed(before.get(name), record)
        term = self.record.term if self.record else 0
        if event.record.term != term:
            for voter in self.voters.values():
                voter.no_contact_since = None
                voter.status = None
        self.record = event.record

    def _observed(
        self, old: Observed | None, record: EndpointRecord
    ) -> Observed:
        address, incarnation = record.admin_address, record.incarnation
        if old and (old.address, old.incarnation) == (address, incarnation):
            return old
        detector = Detector(self.interval_s, self.floor_s)
        return Observed(address, incarnation, detector)

    def _drive(self, endpoint: str, event: object, now: float) -> list[Probe]:
        voter = self.voters.get(endpoint)
        if voter is None:
            return []
        probes = []
        for wanted in voter.detector.step(event, now):
            self.next_probe += 1
            number = self.next_probe
            voter.detector.step(ProbeSent(number, wanted.fresh), now)
            probes.append(Probe(endpoint, voter.address, number, wanted.fresh))
        return probes

    def _reply(self, event: ProbeReply, now: float) -> list[Probe]:
        probes = self._drive(event.endpoint, ProbeAnswered(event.probe), now)
        voter = self.voters.get(event.endpoint)
        if voter is None or event.status.incarnation != voter.incarnation:
            return probes
        voter.status, voter.status_at = event.status, now
        if event.status.primary_contact_ms >= 0:
            voter.no_contact_since = None
        elif voter.no_contact_since is None:
            voter.no_contact_since = now
        return probes

    def _judge(self, now: float) -> str:
        record = self.record
        if record is None or record.term == 0:
            return HEALTHY
        primary = self.voters.get(record.primary)
        if primary is not None and primary.detector.verdict != HEALTHY:
            return primary.detector.verdict
        cut_off = sum(
            self._cut_off(name, now)
            for name in self.voters
            if name != record.primary
        )
        quorum = len(record.voters) // 2 + 1
        return DETACHED if cut_off >= quorum else HEALTHY

    def _cut_off(self, name: str, now: float) -> bool:
        voter = self.voters[name]
        status = voter.status
        if status is None or now - voter.status_at > STATUS_FRESH_S:
            return False
        if status.promised_term != self.record.term:
            return False
        if status.primary != self.record.primary:
            return False
        limit_ms = self.detached_ms + voter.detector.allowance_s() * 1000
        if status.primary_contact_ms >= 0:
            return status.primary_contact_ms >= limit_ms
        since = voter.no_contact_since
        return since is not None and (now - since) * 1000 >= limit_ms

    def _report(self, now: float) -> list[Report]:
        record = self.record
        if record is None or record.term == 0:
            return []
        self.verdict = self._judge(now)
        current = (record.term, self.verdict)
        if self.verdict != HEALTHY:
            self.suspected_at = now
        elif self.reported[0] != record.term:
            # A new term starts without suspicion: nothing to withdraw.
            self.suspected_at = float("-inf")
        # A lost withdrawal would leave this vote in force and let another
        # watcher's false alarm make a majority, so it is repeated as well.
        withdraws = now - self.suspected_at <= WITHDRAWAL_S
        repeat = now - self.reported_at >= REPEAT_S
        news = current != self.reported or repeat
        self.reported = current
        if self.verdict == HEALTHY and not withdraws or not news:
            return []
        self.reported_at = now
        suspicion = Suspicion(
            self.host, self.service, record.term, record.primary, self.verdict
        )
        return [Report(suspicion)]
