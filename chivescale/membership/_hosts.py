"""Failure detection for entry hosts on the control leader."""

import msgspec

from chivescale.messages import (
    Heartbeat,
    HostRecord,
    RegisterHost,
    RemoveHost,
)

# Three heartbeat intervals of 1 s, so that losing two heartbeats in a row
# does not remove a host.
HOST_TIMEOUT_S = 3.0

# Changes within this interval share one log entry, so that a rack failure or
# a rolling restart does not append one entry per host.
BATCH_INTERVAL_S = 0.25
MAX_BATCH_COMMANDS = 500

# Interval of the scan of all hosts for expired heartbeats. Scanning on every
# heartbeat took 8 ms per heartbeat with 3,200 hosts.
SCAN_INTERVAL_S = 0.25


class HostHeartbeat(msgspec.Struct, frozen=True):
    """Event: a heartbeat was received."""

    heartbeat: Heartbeat


class HostsApplied(msgspec.Struct, frozen=True):
    """Event: the hosts in the applied state changed."""

    hosts: tuple[HostRecord, ...]


class Tick(msgspec.Struct, frozen=True):
    """Event: check timeouts at the current time."""


class ProposeBatch(msgspec.Struct, frozen=True):
    """Effect: propose commands as one log entry."""

    commands: tuple[msgspec.Struct, ...]


class LiveHost(msgspec.Struct):
    """Record and receipt time of the last heartbeat of a host."""

    record: HostRecord
    heard_at: float
    index: int = 0


class HostTable:
    """Tracks live hosts and proposes updates to the applied state.

    A new leader has received no heartbeats yet. It treats every host in the
    applied state as alive until `lost_after_s` after the leadership began.

    Parameters
    ----------
    now : float
        Start of this leadership, in monotonic seconds.
    lost_after_s : float, optional
        Time without a heartbeat after which a host is removed.
    """

    def __init__(self, now: float, lost_after_s: float = HOST_TIMEOUT_S):
        self.started_at = now
        self.lost_after_s = lost_after_s
        self.applied: dict[str, HostRecord] = {}
        self.live: dict[str, LiveHost] = {}
        self.proposed: dict[str, tuple[HostRecord | None, float]] = {}
        # Hosts whose last heartbeat may differ from the applied state.
        self.pending: set[str] = set()
        self.next_batch_at = now
        self.next_scan_at = now

    def step(self, event: object, now: float) -> list[ProposeBatch]:
        """Process one event and return the batches to propose."""
        if isinstance(event, HostHeartbeat):
            self._on_heartbeat(event.heartbeat, now)
        elif isinstance(event, HostsApplied):
            self.applied = {record.host: record for record in event.hosts}
            self.proposed = {}
            self.pending = {
                host
                for host, live in self.live.items()
                if self.applied.get(host) != live.record
            }
        return self._batch(now)

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        record = heartbeat.record
        before = self.live.get(record.host)
        if before is None or self._supersedes(before, record, now):
            self.live[record.host] = LiveHost(record, now, heartbeat.index)
            if self.applied.get(record.host) != record:
                self.pending.add(record.host)

    def _supersedes(
        self, before: LiveHost, record: HostRecord, now: float
    ) -> bool:
        """Return whether a heartbeat replaces the last one of its host.

        The former process of a restarted host sends nothing after the new
        one has started, but its last heartbeats may arrive late. One with
        the incarnation in the applied state is therefore ignored while a
        newer incarnation has been heard within `lost_after_s`.
        """
        if before.record.incarnation == record.incarnation:
            return True
        applied = self.applied.get(record.host)
        stale = applied and applied.incarnation == record.incarnation
        return not stale or now - before.heard_at > self.lost_after_s

    def alive(self, host: str, now: float) -> bool:
        """Return whether the last heartbeat has not yet expired."""
        live = self.live.get(host)
        heard_at = live.heard_at if live else self.started_at
        return now - max(heard_at, self.started_at) <= self.lost_after_s

    def _batch(self, now: float) -> list[ProposeBatch]:
        if now < self.next_batch_at:
            return []
        if not self.pending and now < self.next_scan_at:
            return []
        commands = self._collect_commands(now)
        if commands or self.pending:
            # Also delays the next batch if no command was due; otherwise
            # hosts with an unapplied proposal would be checked again on
            # every message.
            self.next_batch_at = now + BATCH_INTERVAL_S
        return [ProposeBatch(tuple(commands))] if commands else []

    def _collect_commands(self, now: float) -> list[msgspec.Struct]:
        commands: list[msgspec.Struct] = []
        for host in sorted(self.pending):
            if len(commands) >= MAX_BATCH_COMMANDS:
                break
            commands += self._registration(host, now)
        if now >= self.next_scan_at and len(commands) < MAX_BATCH_COMMANDS:
            self.next_scan_at = now + SCAN_INTERVAL_S
            self._drop_unapplied(now)
            commands += self._removals(MAX_BATCH_COMMANDS - len(commands), now)
        return commands

    def _registration(self, host: str, now: float) -> list[RegisterHost]:
        """Return the command for a pending host, if one is due.

        A host that needs no command is no longer pending.
        """
        live = self.live.get(host)
        if live is None or not self.alive(host, now):
            self.pending.discard(host)
            return []
        record = self._desired_record(live.record)
        if self.applied.get(host) == record:
            self.pending.discard(host)
            return []
        due = self._should_propose(host, record, now)
        return [RegisterHost(record)] if due else []

    def _desired_record(self, record: HostRecord) -> HostRecord:
        """Return the record that the applied state should hold."""
        applied = self.applied.get(record.host)
        if applied and applied.incarnation == record.incarnation:
            # Draining is set by an operator and lasts until the process
            # restarts with a new incarnation.
            draining = applied.draining or record.draining
            record = msgspec.structs.replace(record, draining=draining)
        return record

    def _drop_unapplied(self, now: float) -> None:
        """Discard expired hosts that are not in the applied state."""
        for host in self.live.keys() - self.applied.keys():
            if not self.alive(host, now):
                del self.live[host]

    def _removals(self, limit: int, now: float) -> list[RemoveHost]:
        commands: list[RemoveHost] = []
        for host, record in self.applied.items():
            if len(commands) >= limit:
                break
            if not self.alive(host, now) and self._should_propose(
                host, None, now
            ):
                commands.append(RemoveHost(host, record.incarnation))
                self.live.pop(host, None)
        return commands

    def _should_propose(
        self, host: str, desired: HostRecord | None, now: float
    ) -> bool:
        """Return whether to propose a change.

        The same change is proposed again only if it has not been applied
        for 1 s.
        """
        before = self.proposed.get(host)
        if before and before[0] == desired and now - before[1] < 1.0:
            return False
        self.proposed[host] = (desired, now)
        return True
