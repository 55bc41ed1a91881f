"""Registry of announced endpoints on the control leader."""

import msgspec

from chivescale.membership._hosts import (
    BATCH_S,
    MAX_BATCH,
    ProposeBatch,
)
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    LeaveEndpoint,
    RegisterEndpoint,
    RemoveEndpoint,
    ServiceRecord,
)

# Ten announcements; voters stay, since their return is expected.
FORGET_AFTER_S = 10.0

# An announcement is relayed within a second or lost. Longer after a change
# of address or incarnation, an earlier one is a real return.
RETIRED_S = 5.0


class EndpointAnnounced(msgspec.Struct, frozen=True):
    """An announcement arrived, possibly late."""

    status: EndpointStatus


class EndpointsApplied(msgspec.Struct, frozen=True):
    """Endpoints and services of the applied state, on every change."""

    endpoints: tuple[EndpointRecord, ...]
    services: tuple[ServiceRecord, ...]


def record_of(status: EndpointStatus) -> EndpointRecord:
    """Return the record that an announcement asks for."""
    return EndpointRecord(
        status.endpoint,
        status.service,
        status.zone,
        status.incarnation,
        status.mysql_address,
        status.admin_address,
        status.slots,
        status.connection_limit,
        status.leaving,
    )


class EndpointTable:
    """Turns announcements into commands; unchanged ones make none.

    Parameters
    ----------
    now : float
        Start of this leadership, monotonic seconds.
    """

    def __init__(self, now: float):
        self.since = now
        self.applied: dict[str, EndpointRecord] = {}
        self.voters: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.wanted: dict[str, EndpointRecord] = {}
        # Identity that an endpoint gave up, and when.
        self.retired: dict[tuple[str, ...], float] = {}
        self.proposed: dict[str, tuple[msgspec.Struct, float]] = {}
        self.next_batch_at = now

    def step(self, event: object, now: float) -> list[ProposeBatch]:
        """Apply one event and return what to commit."""
        if isinstance(event, EndpointAnnounced):
            self._announced(event.status, now)
        elif isinstance(event, EndpointsApplied):
            self._applied(event)
        return self._batch(now)

    def is_stale(self, status: EndpointStatus, now: float) -> bool:
        """Tell whether an announcement is older than what is known."""
        until = self.retired.get(_identity(record_of(status)))
        return until is not None and now < until

    def _applied(self, event: EndpointsApplied) -> None:
        self.applied = {record.endpoint: record for record in event.endpoints}
        self.voters = {
            name for record in event.services for name in record.voters
        }
        self.proposed = {
            name: entry
            for name, entry in self.proposed.items()
            if self._open(entry[0])
        }

    def _open(self, command: msgspec.Struct) -> bool:
        """Tell whether a proposed command has no effect yet."""
        if isinstance(command, RegisterEndpoint):
            record = command.record
            return self.applied.get(record.endpoint) != record
        applied = self.applied.get(command.endpoint)
        if isinstance(command, RemoveEndpoint):
            return applied is not None
        return applied is not None and not applied.leaving

    def _announced(self, status: EndpointStatus, now: float) -> None:
        record = record_of(status)
        name = record.endpoint
        if self.is_stale(status, now):
            return
        current = self.wanted.get(name) or self.applied.get(name)
        if current and _identity(current) != _identity(record):
            self.retired[_identity(current)] = now + RETIRED_S
            self.retired.pop(_identity(record), None)
        if current and current.incarnation == record.incarnation:
            leaving = current.leaving or record.leaving
            record = msgspec.structs.replace(record, leaving=leaving)
        self.wanted[name] = record
        self.heard_at[name] = now

    def heard(self, name: str) -> float:
        """Return when the endpoint was last heard of."""
        return max(self.heard_at.get(name, self.since), self.since)

    def _batch(self, now: float) -> list[ProposeBatch]:
        if now < self.next_batch_at:
            return []
        # Also without a change: a scan of all records is not free.
        self.next_batch_at = now + BATCH_S
        commands = self._changes(now)[:MAX_BATCH]
        return [ProposeBatch(tuple(commands))] if commands else []

    def _changes(self, now: float) -> list[msgspec.Struct]:
        for key, until in list(self.retired.items()):
            if now >= until:
                del self.retired[key]
        commands: list[msgspec.Struct] = []
        for name in sorted(set(self.applied) | set(self.wanted)):
            command = self._change(name, now)
            if command is not None and self._due(name, command, now):
                commands.append(command)
        return commands

    def _change(self, name: str, now: float) -> msgspec.Struct | None:
        wanted, applied = self.wanted.get(name), self.applied.get(name)
        if now - self.heard(name) > FORGET_AFTER_S:
            self.wanted.pop(name, None)
            if applied is None:
                self.heard_at.pop(name, None)
                return None
            if name in self.voters:
                return None
            return RemoveEndpoint(name, applied.incarnation)
        if wanted is None or wanted == applied:
            return None
        if applied and applied.incarnation == wanted.incarnation:
            if applied.leaving and not wanted.leaving:
                # Leaving is final for an incarnation, also when an earlier
                # leader or an operator recorded it.
                wanted = msgspec.structs.replace(wanted, leaving=True)
                self.wanted[name] = wanted
                if wanted == applied:
                    return None
            if msgspec.structs.replace(applied, leaving=True) == wanted:
                return LeaveEndpoint(name, applied.incarnation)
        return RegisterEndpoint(wanted)

    def _due(self, name: str, command: msgspec.Struct, now: float) -> bool:
        """Tell whether to propose, again only if nothing came of it."""
        before = self.proposed.get(name)
        if before and before[0] == command and now - before[1] < 1.0:
            return False
        self.proposed[name] = (command, now)
        return True


def _identity(record: EndpointRecord) -> tuple[str, ...]:
    return (
        record.endpoint,
        record.incarnation,
        record.mysql_address,
        record.admin_address,
    )
