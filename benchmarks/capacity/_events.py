"""Cost of faults and changes: what one of them brings, and how long."""

from benchmarks.capacity import _sizes as sizes
from benchmarks.capacity._model import Model, Row, rows_of
from chivescale.entry._heartbeat import CALL_TIMEOUT_S
from chivescale.entry._watch import FIRST_ASK_S, RETRY_PAUSE_S

# Requests of the leader for one failover of a group: a promise of each voter,
# one promotion, a follow and a position question for each other voter.
SETTLE_S = 1.5
SILENCE_FLOOR_S = 0.35


def failover_cpu(model: Model) -> float:
    """Return processor time of the leader for one change of primary."""
    voters = model.size.group
    requests = voters + 1 + 2 * (voters - 1)
    commits = 2
    entry = model.slope("agreement.entries_leader")
    entry += model.commit_exchanges * model.exchange(500, "client")
    applied = model.at("control.change", model.share.group_endpoints)
    reports = model.layout.watchers * 2
    each = model.exchange(300, "server")
    each += model.at("control.suspicion", model.share.group_hosts)
    asked = requests * model.at("transport.position_client", 1)
    return asked + commits * (entry + applied) + reports * each


def primary_change_s(model: Model) -> float:
    """Return the longest time of one change of primary, by its parts.

    A probe may just have left when the primary fails; the check of a late
    answer waits up to one more interval; then the silence floor passes, an
    attempt ends within its limit, and the new term reaches the hosts.
    """
    layout = model.layout
    detect = 2 * layout.probe_s + SILENCE_FLOOR_S
    if layout.probing < layout.watchers:
        # The others begin to probe when the first one suspects.
        detect += SILENCE_FLOOR_S
    return detect + SETTLE_S + in_force_s(model)


def in_force_s(model: Model) -> float:
    """Return the time from commit until every watch has a change."""
    last = model.at("watch.last_ms", model.share.watches_per_member) / 1000
    cpu = model.at("watch.change_cpu", model.share.watches_per_member) / 1e6
    taken = model.at("entry.services_change", model.share.host_services)
    taken += model.at("entry.probes_change", model.share.host_services)
    return max(last, cpu) + taken / 1e6


def _silent_watch_s(model: Model) -> float:
    waits = model.layout.heartbeat_s + CALL_TIMEOUT_S
    return waits + RETRY_PAUSE_S + FIRST_ASK_S + in_force_s(model)


def event_rows(models: list[Model]) -> list[Row]:
    """Return the table of changes and faults."""

    row = rows_of(models)
    return [
        row(
            "configuration change: commit to in force",
            "watch on every control host of a group, then the host's copy",
            "s",
            in_force_s,
            sizes.IN_FORCE_S,
        ),
        row(
            "configuration change: when a host's watches went silent",
            "the leader's index in the next heartbeat, then all members asked",
            "s",
            _silent_watch_s,
            sizes.IN_FORCE_S,
        ),
        row(
            "configuration changes of a day, leader",
            "agreement and state; a command per change when planned",
            "s of a core",
            _changes_of_a_day,
            sizes.DAY_S / 2,
        ),
        row(
            "configuration changes of a day, log of each member",
            "durable log",
            "MB",
            _log_of_a_day,
        ),
        row(
            "configuration change: upload",
            "whole sheet today; one command when planned",
            "MB",
            _upload_mb,
            8.0 * 2**20 / 1e6,
        ),
        row(
            "configuration change: leader, before the commit",
            "parsing of a whole sheet, sending it to four members",
            "s of a core",
            _before_commit,
        ),
        row(
            "configuration change: sync of its record",
            "durable log, wall time",
            "ms",
            lambda m: m.at("agreement.sync_wall", _entry_bytes(m)) / 1000,
        ),
        row(
            "change of primary, longest",
            "probes, majority of watchers, failover, watch",
            "s",
            primary_change_s,
            sizes.PRIMARY_CHANGE_S,
        ),
        row(
            "rack: primaries lost at once, leader",
            "failover of each service; membership in one batch",
            "s of a core",
            lambda m: m.size.rack_primaries * failover_cpu(m) / 1e6,
            sizes.PRIMARY_CHANGE_S / 2,
        ),
        row(
            "zone: primaries lost at once, leader",
            "as for a rack, with all primaries of the zone in one group",
            "s of a core",
            lambda m: m.size.services / m.size.zones * failover_cpu(m) / 1e6,
            sizes.PRIMARY_CHANGE_S / 2,
        ),
        row(
            "2,600 restarts: a host's calls at one start",
            "first sync asks control hosts and every known peer",
            "s of a core",
            _first_sync_cpu,
            1.0,
        ),
        row(
            "2,600 restarts: bytes that one start reads",
            "full state from each control host of the group",
            "MB",
            _first_sync_mb,
            64.0,
        ),
        row(
            "2,600 restarts: working out watchers, each other host, a day",
            "rendezvous hashing of every host for each service",
            "s of a core",
            _watchers_of_a_day,
            0.024 * sizes.DAY_S,
        ),
        row(
            "region cut for an hour: changes to catch up",
            "delta of the watch; control groups inside a region keep quorum",
            "KB for each host",
            lambda m: m.state_changes * 3600 * m.delta_bytes / 1024,
        ),
    ]


def _changes_of_a_day(model: Model) -> float:
    return model.leader_changes() * sizes.DAY_S / 1e6


def _log_of_a_day(model: Model) -> float:
    changes = model.size.changes / model.layout.groups
    return changes * _entry_bytes(model) / 1e6


def _upload_mb(model: Model) -> float:
    if model.layout.changes_only:
        return model.delta_bytes / 1e6
    return model.at("state.sheet_text", model.size.workspaces) / 1e6


def _before_commit(model: Model) -> float:
    if model.layout.changes_only:
        return model.slope("agreement.entries_leader") / 1e6
    return model.sheet_cpu() / 1e6


def _entry_bytes(model: Model) -> float:
    if model.layout.changes_only:
        return model.delta_bytes
    return model.at("state.sheet_bytes", model.size.workspaces)


def _first_sync_cpu(model: Model) -> float:
    calls = model.layout.members + model.share.group_hosts
    return calls * model.at("transport.position_client", 1) / 1e6


def _first_sync_mb(model: Model) -> float:
    return model.layout.members * model.full_bytes() / 1e6


def _watchers_of_a_day(model: Model) -> float:
    changes = model.size.host_changes_a_day / model.layout.groups
    each = model.at("entry.watchers_of", model.share.group_hosts)
    return changes * each * model.watched_candidates / 1e6
