"""In-memory endpoint for the failover tests."""

import msgspec

from chivescale.messages import (
    EndpointStatus,
    Follow,
    Position,
    Promise,
    PromiseReply,
    Promote,
    PromoteReply,
)


class Entry(msgspec.Struct, frozen=True):
    """One log entry; the marker of a term has no write."""

    term: int
    write: int = 0


class InMemoryEndpoint:
    """Endpoint that keeps promises and log unless its disk is lost."""

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.disk_generation = 1
        self.boot_count = 1
        self.promised = 0
        self.log: list[Entry] = []
        self.leaving = self.lagging = False
        self.up = True
        self.frozen_until = 0.0
        self.role = "fenced"
        self.primary = ""
        self.contact_at: float | None = None

    @property
    def incarnation(self) -> str:
        return f"{self.name}#{self.disk_generation}"

    @property
    def last(self) -> Position:
        return Position(self.log[-1].term if self.log else 0, len(self.log))

    def restart(self, lose_disk: bool = False) -> None:
        self.up = True
        self.boot_count += 1
        self.frozen_until = 0.0
        self.role, self.primary, self.contact_at = "fenced", "", None
        self.leaving = False
        if lose_disk:
            self.disk_generation += 1
            self.promised, self.log = 0, []

    def status(self, now: float) -> EndpointStatus:
        contact = -1
        if self.role == "primary":
            contact = 0
        elif self.contact_at is not None:
            contact = int((now - self.contact_at) * 1000)
        address = f"{self.name}:{self.boot_count}"
        return EndpointStatus(
            self.name,
            "ledger",
            self.incarnation,
            self.role,
            self.promised,
            self.last,
            address,
            address,
            self.primary,
            contact,
            self.leaving,
            (),
            self.zone,
        )

    def promise(self, request: Promise, now: float) -> PromiseReply:
        granted = request.term > self.promised
        if granted:
            self.promised = request.term
            self.role, self.primary = "fenced", ""
        return PromiseReply(granted, self.status(now))

    def promote(self, request: Promote, now: float) -> PromoteReply:
        again = self.role == "primary" and self.last.term == request.term
        if request.term != self.promised or (
            self.last.term >= request.term and not again
        ):
            return PromoteReply(False, Position(0, 0), self.status(now))
        if not again:
            self.role, self.primary = "primary", self.name
            self.log.append(Entry(request.term))
        marker = Position(
            request.term, self.log.index(Entry(request.term)) + 1
        )
        return PromoteReply(True, marker, self.status(now))

    def follow(self, request: Follow) -> bool:
        if request.term < self.promised or self.role == "primary":
            return request.primary == self.primary
        if (request.term, request.primary) != (self.promised, self.primary):
            self.contact_at = None
        self.promised = request.term
        self.role, self.primary = "replica", request.primary
        return True

    def write(self, write: int) -> Position | None:
        if self.role != "primary" or self.leaving:
            return None
        self.log.append(Entry(self.promised, write))
        return self.last

    def serve_replication(self, term: int, log: list[Entry]):
        """Answer a replication request; None if this is not the primary.

        Entries are unique, so logs with the same entry at the same position
        are identical up to it.
        """
        if self.role != "primary" or self.promised != term:
            return None
        common = min(len(log), len(self.log))
        while common and log[common - 1] != self.log[common - 1]:
            common -= 1
        return common, self.log[common : common + 50]

    def append_replicated(
        self, term: int, primary: str, answer, now: float
    ) -> None:
        """Append replicated entries unless a higher term was promised."""
        if (self.promised, self.primary) != (term, primary):
            return
        if self.role != "replica":
            return
        self.contact_at = now
        common, entries = answer
        # A delayed answer must not truncate entries of a later one.
        present = self.log[common : common + len(entries)]
        if common <= len(self.log) and present != entries:
            self.log[common:] = entries
