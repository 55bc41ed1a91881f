"""State of one database group as seen by the control leader."""

import msgspec

from chivescale.failover._events import SendFollow, StateApplied
from chivescale.failover._selection import (
    VOTER_ABSENCE_LIMIT_S,
    Member,
    ObservedStatus,
    voters_of,
)
from chivescale.messages import EndpointRecord, EndpointStatus, ServiceRecord


class Timing(msgspec.Struct, frozen=True):
    """Timeouts of failover, in seconds."""

    promise_timeout_s: float = 0.3
    attempt_timeout_s: float = 1.5
    silence_floor_s: float = 0.35


class Group:
    """Replicated state of a service and the latest endpoint statuses."""

    def __init__(self, service: str, now: float):
        self.service = service
        self.leadership_since = now
        self.record = ServiceRecord(service)
        self.endpoints: dict[str, EndpointRecord] = {}
        self.zone_hosts: dict[str, int] = {}
        self.statuses: dict[tuple[str, str], ObservedStatus] = {}

    def apply(self, event: StateApplied) -> None:
        """Replace the replicated state."""
        self.advance(event.record)
        self.endpoints = {
            record.endpoint: record for record in event.endpoints
        }
        self.zone_hosts = event.zone_hosts

    def advance(self, record: ServiceRecord) -> None:
        """Replace the service record unless the known one is newer.

        The result of a proposal can arrive before or after the replicated
        state that contains it.
        """
        current = self.record
        terms = (record.begun_term, record.term)
        if terms >= (current.begun_term, current.term):
            self.record = record

    def record_status(
        self,
        status: EndpointStatus,
        now: float,
        requested_at: float = float("-inf"),
    ) -> None:
        """Store a status; announcements do not replace newer direct replies.

        Parameters
        ----------
        status : EndpointStatus
            Announced or requested status.
        now : float
            Time of arrival.
        requested_at : float, optional
            When the request was sent; negative infinity for announcements.
        """
        key = (status.endpoint, status.incarnation)
        before = self.statuses.get(key)
        if before is None:
            self.statuses[key] = ObservedStatus(status, now, requested_at)
            return
        before.received_at = now
        newer = (status.promised_term, status.last) >= (
            before.status.promised_term,
            before.status.last,
        )
        if requested_at >= before.polled_at or newer:
            before.status = status
            before.polled_at = max(before.polled_at, requested_at)

    def expire_statuses(self, now: float) -> None:
        """Drop the statuses of endpoints that no longer exist."""
        for key, observed in list(self.statuses.items()):
            gone = key[0] not in self.endpoints
            if gone and now - observed.received_at > VOTER_ABSENCE_LIMIT_S:
                del self.statuses[key]

    def registered_statuses(self) -> dict[str, ObservedStatus]:
        """Return the latest statuses of registered incarnations."""
        found = {}
        for name, record in self.endpoints.items():
            observed = self.statuses.get((name, record.incarnation))
            if observed is not None:
                found[name] = observed
        return found

    def last_contact_at(self, endpoint: str) -> float:
        """Return the time of the last contact with an endpoint."""
        record = self.endpoints[endpoint]
        observed = self.statuses.get((endpoint, record.incarnation))
        return (
            max(observed.received_at, self.leadership_since)
            if observed
            else self.leadership_since
        )

    def status(self, member: Member) -> EndpointStatus | None:
        """Return the latest status of the incarnation that is a voter."""
        observed = self.statuses.get((member.endpoint, member.incarnation))
        return observed.status if observed else None

    def address_of(self, endpoint: str) -> str:
        """Return the address of the admin interface; empty if unknown."""
        record = self.endpoints.get(endpoint)
        return record.admin_address if record else ""

    def follow_request(
        self, name: str, term: int, primary: str, timeout_s: float
    ) -> SendFollow:
        """Return the effect that makes an endpoint follow a primary."""
        address, target = self.address_of(name), self.address_of(primary)
        return SendFollow(name, address, term, primary, target, timeout_s)

    def is_leaving(self, endpoint: str) -> bool:
        """Tell whether the endpoint asked to receive no new work."""
        record = self.endpoints.get(endpoint)
        return record is not None and record.leaving

    def voters(self) -> tuple[Member, ...]:
        """Return the voters of the last established term."""
        return voters_of(self.record)

    def highest_term(self) -> int:
        """Return the highest term in any record or status."""
        terms = [self.record.term, self.record.begun_term]
        for observed in self.statuses.values():
            terms.append(observed.status.promised_term)
            terms.append(observed.status.last.term)
        return max(terms)
