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
        self.next_batch_at = now

    def step(self, event: object, now: float) -> list[ProposeBatch]:
        """Apply one event and return what to commit."""
        if isinstance(event, HostHeartbeat):
            self._heartbeat(event.heartbeat, now)
        elif isinstance(event, HostsApplied):
            self.applied = {record.host: record for record in event.hosts}
            self.proposed = {}
        return self._batch(now)

    def _heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        record = heartbeat.record
        before = self.live.get(record.host)
        if before is None or self._replaces(before, record, now):
            self.live[record.host] = Live(record, now, heartbeat.index)

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
        # Also without a change: a scan of all records is not free.
        self.next_batch_at = now + BATCH_S
        commands = self._changes(now)[:MAX_BATCH]
        return [ProposeBatch(tuple(commands))] if commands else []

    def _changes(self, now: float) -> list[msgspec.Struct]:
        commands: list[msgspec.Struct] = []
        for host, live in list(self.live.items()):
            if self.alive(host, now):
                commands += self._register(live.record, now)
            elif host not in self.applied:
                del self.live[host]
        for host, record in self.applied.items():
            if not self.alive(host, now) and self._due(host, None, now):
                commands.append(RemoveHost(host, record.incarnation))
                self.live.pop(host, None)
        return commands

    def _register(self, record: HostRecord, now: float) -> list[RegisterHost]:
        applied = self.applied.get(record.host)
        if applied and applied.incarnation == record.incarnation:
            # Draining was ordered by an operator and ends with the process.
            draining = applied.draining or record.draining
            record = msgspec.structs.replace(record, draining=draining)
        if applied == record or not self._due(record.host, record, now):
            return []
        return [RegisterHost(record)]

    def _due(self, host: str, wanted: HostRecord | None, now: float) -> bool:
        """Tell whether to propose, again only if nothing came of it."""
        before = self.proposed.get(host)
        if before and before[0] == wanted and now - before[1] < 1.0:
            return False
        self.proposed[host] = (wanted, now)
        return True
