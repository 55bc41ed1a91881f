"""What the control leader knows of one database group."""

import msgspec

from chivescale.failover._events import SendFollow, StateApplied
from chivescale.failover._selection import (
    DEAD_AFTER_S,
    Known,
    Member,
    members_of,
)
from chivescale.messages import EndpointRecord, EndpointStatus, ServiceRecord


class Timing(msgspec.Struct, frozen=True):
    """Timeouts of failover, in seconds."""

    promise_timeout_s: float = 0.3
    attempt_timeout_s: float = 1.5
    silence_floor_s: float = 0.35


class Group:
    """Applied state of a service and the last status of its endpoints."""

    def __init__(self, service: str, now: float):
        self.service = service
        self.since = now
        self.record = ServiceRecord(service)
        self.endpoints: dict[str, EndpointRecord] = {}
        self.zone_hosts: dict[str, int] = {}
        self.heard: dict[tuple[str, str], Known] = {}

    def apply(self, event: StateApplied) -> None:
        """Take over the applied state."""
        self.advance(event.record)
        self.endpoints = {
            record.endpoint: record for record in event.endpoints
        }
        self.zone_hosts = event.zone_hosts

    def advance(self, record: ServiceRecord) -> None:
        """Take over a record unless a newer one is known.

        The answer to a proposal can arrive before or after the state that
        it led to.
        """
        known = self.record
        terms = (record.begun_term, record.term)
        if terms >= (known.begun_term, known.term):
            self.record = record

    def learn(
        self,
        status: EndpointStatus,
        now: float,
        asked_at: float = float("-inf"),
    ) -> None:
        """Keep a status; an announcement never hides a direct answer."""
        key = (status.endpoint, status.incarnation)
        before = self.heard.get(key)
        if before is None:
            self.heard[key] = Known(status, now, asked_at)
            return
        before.heard_at = now
        newer = (status.promised_term, status.last) >= (
            before.status.promised_term,
            before.status.last,
        )
        if asked_at >= before.direct_at or newer:
            before.status = status
            before.direct_at = max(before.direct_at, asked_at)

    def forget(self, now: float) -> None:
        """Drop what was heard of endpoints that no longer exist."""
        for key, known in list(self.heard.items()):
            gone = key[0] not in self.endpoints
            if gone and now - known.heard_at > DEAD_AFTER_S:
                del self.heard[key]

    def known(self) -> dict[str, Known]:
        """Return the last status of the registered incarnations."""
        found = {}
        for name, record in self.endpoints.items():
            known = self.heard.get((name, record.incarnation))
            if known is not None:
                found[name] = known
        return found

    def heard_at(self, endpoint: str) -> float:
        """Return when the registered incarnation was last heard of."""
        record = self.endpoints[endpoint]
        known = self.heard.get((endpoint, record.incarnation))
        return max(known.heard_at, self.since) if known else self.since

    def status(self, member: Member) -> EndpointStatus | None:
        """Return the last status of a voter's own incarnation."""
        known = self.heard.get((member.endpoint, member.incarnation))
        return known.status if known else None

    def address(self, endpoint: str) -> str:
        """Return the admin address; empty if unknown."""
        record = self.endpoints.get(endpoint)
        return record.admin_address if record else ""

    def follow(
        self, name: str, term: int, primary: str, timeout_s: float
    ) -> SendFollow:
        """Return the effect that makes an endpoint follow a primary."""
        address, target = self.address(name), self.address(primary)
        return SendFollow(name, address, term, primary, target, timeout_s)

    def leaving(self, endpoint: str) -> bool:
        """Tell whether the endpoint asked for no new work."""
        record = self.endpoints.get(endpoint)
        return record is not None and record.leaving

    def voters(self) -> tuple[Member, ...]:
        """Return the voters of the last established term."""
        return members_of(self.record)

    def highest_term(self) -> int:
        """Return the highest term that anyone is known to have seen."""
        terms = [self.record.term, self.record.begun_term]
        for known in self.heard.values():
            terms.append(known.status.promised_term)
            terms.append(known.status.last.term)
        return max(terms)
