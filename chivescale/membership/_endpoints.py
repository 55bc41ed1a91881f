"""Registry of announced endpoints on the control leader."""

import msgspec

from chivescale.membership._hosts import (
    BATCH_INTERVAL_S,
    MAX_BATCH_COMMANDS,
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

# Ten announcement intervals of 1 s. Voters are never removed, because they
# are expected to return.
FORGET_AFTER_S = 10.0

# Period after a change of address or incarnation in which announcements with
# the former ones are ignored as stale. A relayed announcement arrives within
# 1 s or not at all, so a later one means that the endpoint has returned.
STALE_ANNOUNCEMENT_S = 5.0

# Interval of the scan of all endpoints for expired announcements. Scanning on
# every announcement took 98 ms per announcement with 24,000 endpoints.
SCAN_INTERVAL_S = 1.0


class EndpointAnnounced(msgspec.Struct, frozen=True):
    """Event: an announcement was received, possibly delayed."""

    status: EndpointStatus


class EndpointsApplied(msgspec.Struct, frozen=True):
    """Event: the endpoints or services in the applied state changed."""

    endpoints: tuple[EndpointRecord, ...]
    services: tuple[ServiceRecord, ...]


def endpoint_record(status: EndpointStatus) -> EndpointRecord:
    """Return the endpoint record that an announcement describes."""
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
    """Proposes updates to the applied state from endpoint announcements.

    An announcement that matches the applied state produces no command.

    Parameters
    ----------
    now : float
        Start of this leadership, in monotonic seconds.
    """

    def __init__(self, now: float):
        self.started_at = now
        self.applied: dict[str, EndpointRecord] = {}
        self.voters: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.desired: dict[str, EndpointRecord] = {}
        # Former identity of an endpoint and the time until which
        # announcements with it are ignored.
        self.superseded_until: dict[tuple[str, ...], float] = {}
        self.proposed: dict[str, tuple[msgspec.Struct, float]] = {}
        # Endpoints that may differ from the applied state.
        self.pending: set[str] = set()
        self.next_batch_at = now
        self.next_scan_at = now

    def step(self, event: object, now: float) -> list[ProposeBatch]:
        """Process one event and return the batches to propose."""
        if isinstance(event, EndpointAnnounced):
            self._announced(event.status, now)
        elif isinstance(event, EndpointsApplied):
            self._on_applied(event)
        return self._batch(now)

    def is_stale(self, status: EndpointStatus, now: float) -> bool:
        """Return whether an announcement has a superseded identity."""
        until = self.superseded_until.get(_identity(endpoint_record(status)))
        return until is not None and now < until

    def _on_applied(self, event: EndpointsApplied) -> None:
        self.applied = {record.endpoint: record for record in event.endpoints}
        self.voters = {
            name for record in event.services for name in record.voters
        }
        self.proposed = {
            name: entry
            for name, entry in self.proposed.items()
            if self._is_outstanding(entry[0])
        }
        self.pending |= {
            name
            for name, record in self.desired.items()
            if self.applied.get(name) != record
        }

    def _is_outstanding(self, command: msgspec.Struct) -> bool:
        """Return whether a proposed command has not been applied yet."""
        if isinstance(command, RegisterEndpoint):
            record = command.record
            return self.applied.get(record.endpoint) != record
        applied = self.applied.get(command.endpoint)
        if isinstance(command, RemoveEndpoint):
            return applied is not None
        return applied is not None and not applied.leaving

    def _announced(self, status: EndpointStatus, now: float) -> None:
        record = endpoint_record(status)
        name = record.endpoint
        if self.is_stale(status, now):
            return
        current = self.desired.get(name) or self.applied.get(name)
        if current and _identity(current) != _identity(record):
            self.superseded_until[_identity(current)] = (
                now + STALE_ANNOUNCEMENT_S
            )
            self.superseded_until.pop(_identity(record), None)
        if current and current.incarnation == record.incarnation:
            leaving = current.leaving or record.leaving
            record = msgspec.structs.replace(record, leaving=leaving)
        self.desired[name] = record
        self.heard_at[name] = now
        if self.applied.get(name) != record:
            self.pending.add(name)

    def last_contact(self, name: str) -> float:
        """Return the time of the last announcement of an endpoint.

        This is at least the start of the leadership.
        """
        return max(self.heard_at.get(name, self.started_at), self.started_at)

    def _batch(self, now: float) -> list[ProposeBatch]:
        if now < self.next_batch_at:
            return []
        if not self.pending and now < self.next_scan_at:
            return []
        commands = self._collect_commands(now)
        if commands or self.pending:
            # Also delays the next batch if no command was due; otherwise
            # endpoints with an unapplied proposal would be checked again on
            # every message.
            self.next_batch_at = now + BATCH_INTERVAL_S
        return [ProposeBatch(tuple(commands))] if commands else []

    def _collect_commands(self, now: float) -> list[msgspec.Struct]:
        if now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_INTERVAL_S
            self._drop_superseded(now)
            self.pending |= self._expired_endpoints(now)
        commands: list[msgspec.Struct] = []
        for name in sorted(self.pending):
            if len(commands) >= MAX_BATCH_COMMANDS:
                break
            command = self._command_for(name, now)
            if command is None:
                self.pending.discard(name)
            elif self._should_propose(name, command, now):
                commands.append(command)
        return commands

    def _drop_superseded(self, now: float) -> None:
        for key, until in list(self.superseded_until.items()):
            if now >= until:
                del self.superseded_until[key]

    def _expired_endpoints(self, now: float) -> set[str]:
        """Return the endpoints whose last announcement has expired."""
        oldest_allowed = now - FORGET_AFTER_S
        if self.started_at >= oldest_allowed:
            return set()
        heard_at = self.heard_at
        return {
            name
            for name in self.applied.keys() | self.desired.keys()
            if heard_at.get(name, self.started_at) < oldest_allowed
        }

    def _command_for(self, name: str, now: float) -> msgspec.Struct | None:
        desired, applied = self.desired.get(name), self.applied.get(name)
        if now - self.last_contact(name) > FORGET_AFTER_S:
            self.desired.pop(name, None)
            if applied is None:
                self.heard_at.pop(name, None)
                return None
            if name in self.voters:
                return None
            return RemoveEndpoint(name, applied.incarnation)
        if desired is None or desired == applied:
            return None
        if applied and applied.incarnation == desired.incarnation:
            if applied.leaving and not desired.leaving:
                # Leaving is final for an incarnation, even if it was
                # recorded by a previous leader or an operator.
                desired = msgspec.structs.replace(desired, leaving=True)
                self.desired[name] = desired
                if desired == applied:
                    return None
            if msgspec.structs.replace(applied, leaving=True) == desired:
                return LeaveEndpoint(name, applied.incarnation)
        return RegisterEndpoint(desired)

    def _should_propose(
        self, name: str, command: msgspec.Struct, now: float
    ) -> bool:
        """Return whether to propose a command.

        The same command is proposed again only if it has not been applied
        for 1 s.
        """
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
