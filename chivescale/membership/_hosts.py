"""Liveness of entry hosts on the control leader."""

import msgspec

from chivescale.messages import (
    Heartbeat,
    HostRecord,
    RegisterHost,
    RemoveHost,
)

# Three heartbeats of one second; two lost ones must not remove a host.
LOST_AFTER_S = 3.0

# Changes wait this long for others: a failing rack or a rolling restart
# then makes one log entry in place of many.
BATCH_S = 0.25
MAX_BATCH = 500

# Every host is looked at this often for being lost. A heartbeat is looked at
# alone: looking at all hosts for each took 8 ms with 3,200 hosts.
SCAN_S = 0.25


class HostHeartbeat(msgspec.Struct, frozen=True):
    """A heartbeat arrived."""

    heartbeat: Heartbeat


class HostsApplied(msgspec.Struct, frozen=True):
    """Hosts of the applied state, on every change."""

    hosts: tuple[HostRecord, ...]


class Tick(msgspec.Struct, frozen=True):
    """Time passed."""


class ProposeBatch(msgspec.Struct, frozen=True):
    """Effect: commit commands in one log entry."""

    commands: tuple[msgspec.Struct, ...]


class Live(msgspec.Struct):
    """Last heartbeat of a host."""

    record: HostRecord
    heard_at: float
    index: int = 0


class HostTable:
    """Tells which hosts live and keeps the applied state in line.

    A new leader has heard of nobody: hosts of the applied state count as
    alive until they had the time to send a heartbeat.

    Parameters
    ----------
    now : float
        Start of this leadership, monotonic seconds.
    """

    def __init__(self, now: float, lost_after_s: float = LOST_AFTER_S):
        self.since = now
        self.lost_after_s = lost_after_s
        self.applied: dict[str, HostRecord] = {}
        self.live: dict[str, Live] = {}
        self.proposed: dict[str, tuple[HostRecord | None, float]] = {}
        # Hosts whose heartbeat may differ from the applied state.
        self.pending: set[str] = set()
        self.next_batch_at = now
        self.next_scan_at = now

    def step(self, event: object, now: float) -> list[ProposeBatch]:
        """Apply one event and return what to commit."""
        if isinstance(event, HostHeartbeat):
            self._heartbeat(event.heartbeat, now)
        elif isinstance(event, HostsApplied):
            self.applied = {record.host: record for record in event.hosts}
            self.proposed = {}
            self.pending = {
                host
                for host, live in self.live.items()
                if self.applied.get(host) != live.record
            }
        return self._batch(now)

    def _heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        record = heartbeat.record
        before = self.live.get(record.host)
        if before is None or self._replaces(before, record, now):
            self.live[record.host] = Live(record, now, heartbeat.index)
            if self.applied.get(record.host) != record:
                self.pending.add(record.host)

    def _replaces(self, before: Live, record: HostRecord, now: float) -> bool:
        """Tell whether a heartbeat is of the latest process.

        The old process cannot have sent anything long after the new one
        started, so a late heartbeat with the earlier incarnation is old.
        """
        if before.record.incarnation == record.incarnation:
            return True
        applied = self.applied.get(record.host)
        stale = applied and applied.incarnation == record.incarnation
        return not stale or now - before.heard_at > self.lost_after_s

    def alive(self, host: str, now: float) -> bool:
        """Tell whether the host was heard of in time."""
        live = self.live.get(host)
        heard_at = live.heard_at if live else self.since
        return now - max(heard_at, self.since) <= self.lost_after_s

    def _batch(self, now: float) -> list[ProposeBatch]:
        if now < self.next_batch_at:
            return []
        if not self.pending and now < self.next_scan_at:
            return []
        commands = self._changes(now)
        if commands or self.pending:
            # Also without a command: hosts whose proposal is not applied yet
            # would otherwise be looked at again for every message.
            self.next_batch_at = now + BATCH_S
        return [ProposeBatch(tuple(commands))] if commands else []

    def _changes(self, now: float) -> list[msgspec.Struct]:
        commands: list[msgspec.Struct] = []
        for host in sorted(self.pending):
            if len(commands) >= MAX_BATCH:
                break
            commands += self._register(host, now)
        if now >= self.next_scan_at and len(commands) < MAX_BATCH:
            self.next_scan_at = now + SCAN_S
            self._forget(now)
            commands += self._lost(MAX_BATCH - len(commands), now)
        return commands

    def _register(self, host: str, now: float) -> list[RegisterHost]:
        """Return the command for a pending host; settle it if none is due."""
        live = self.live.get(host)
        if live is None or not self.alive(host, now):
            self.pending.discard(host)
            return []
        record = self._wanted(live.record)
        if self.applied.get(host) == record:
            self.pending.discard(host)
            return []
        due = self._due(host, record, now)
        return [RegisterHost(record)] if due else []

    def _wanted(self, record: HostRecord) -> HostRecord:
        """Return the record that a live host should have."""
        applied = self.applied.get(record.host)
        if applied and applied.incarnation == record.incarnation:
            # Draining was ordered by an operator and ends with the process.
            draining = applied.draining or record.draining
            record = msgspec.structs.replace(record, draining=draining)
        return record

    def _forget(self, now: float) -> None:
        """Drop silent hosts that were never applied."""
        for host in self.live.keys() - self.applied.keys():
            if not self.alive(host, now):
                del self.live[host]

    def _lost(self, limit: int, now: float) -> list[RemoveHost]:
        commands: list[RemoveHost] = []
        for host, record in self.applied.items():
            if len(commands) >= limit:
                break
            if not self.alive(host, now) and self._due(host, None, now):
                commands.append(RemoveHost(host, record.incarnation))
                self.live.pop(host, None)
        return commands

    def _due(self, host: str, wanted: HostRecord | None, now: float) -> bool:
        """Tell whether to propose, again only if nothing came of it."""
        before = self.proposed.get(host)
        if before and before[0] == wanted and now - before[1] < 1.0:
            return False
        self.proposed[host] = (wanted, now)
        return True
