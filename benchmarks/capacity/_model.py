"""Cost of each role at a size, computed from the fitted lines."""

import msgspec

from benchmarks.capacity import _records as records
from benchmarks.capacity import _sizes as sizes
from benchmarks.capacity._fit import Line
from chivescale.messages import Announcement, WatchReply, encode


class Row(msgspec.Struct, frozen=True):
    """One line of a table.

    Attributes
    ----------
    budget : float
        Largest value allowed; 0 for a line without a limit of its own.
    """

    item: str
    mechanism: str
    unit: str
    values: tuple[float, ...]
    budget: float = 0.0

    @property
    def verdict(self) -> str:
        """Return how the values stand against the budget."""
        if not self.budget:
            return ""
        late = [value for value in self.values if value > self.budget]
        if not late:
            return "fits"
        all_ = len(late) == len(self.values)
        return "does not fit" if all_ else "fits in part"


class Model:
    """The work of one size in one layout.

    Parameters
    ----------
    lines : dict of Line
        Fitted lines by series.
    size, layout
        What to compute.
    """

    def __init__(self, lines: dict[str, Line], size, layout):
        self.lines = lines
        self.size = size
        self.layout = layout
        self.share = sizes.share_of(size, layout)

    def at(self, series: str, x: float = 0.0) -> float:
        """Return a line's value; a negative intercept counts as zero."""
        return max(0.0, self.lines[series].at(x))

    def slope(self, series: str) -> float:
        """Return a line's slope."""
        return self.lines[series].slope

    # one exchange

    def exchange(self, body: float, side: str) -> float:
        """Return the processor time of an exchange with `body` bytes.

        The series varies the bytes of the request, which the answer
        repeats; half of its slope is the cost of one byte.
        """
        line = self.lines[f"transport.{side}"]
        return line.intercept + line.slope / 2 * body

    def exchange_bytes(self, body: float) -> float:
        """Return the bytes of an exchange with `body` bytes."""
        return self.at("transport.bytes") + body

    # rates per second

    @property
    def state_changes(self) -> float:
        """Log entries per second that every watch of a group reports."""
        size, layout = self.size, self.layout
        hosts = size.host_changes_a_day / layout.groups
        config = (
            size.changes
            if not layout.filtered
            else (size.changes / size.services * self.share.host_services)
        )
        terms = 2 * size.primary_changes / layout.groups
        return (hosts + config + terms) / sizes.DAY_S

    @property
    def delta_bytes(self) -> float:
        """Bytes of a reply with one change."""
        if self.layout.changes_only:
            return self.at("control.watch_delta_bytes", 1.0)
        # A whole sheet changes one record; the delta holds only that.
        return self.at("control.watch_delta_bytes", 1.0)

    @property
    def empty_poll_bytes(self) -> float:
        """Bytes of a poll that ends without news."""
        return self.exchange_bytes(len(encode(WatchReply(10**6, True))))

    # entry host, per second

    def host_heartbeat(self) -> tuple[float, float]:
        """Return processor time and bytes of heartbeats and leases."""
        layout, endpoints = self.layout, self.share.host_endpoints
        body = self.at("control.heartbeat_bytes", 0.0)
        leases = self.slope("control.heartbeat_bytes") * endpoints
        cpu = self.exchange(body, "client") / layout.heartbeat_s
        cpu += (
            self.slope("entry.heartbeat") * endpoints
            + self.slope("transport.client") / 2 * leases
        ) / layout.lease_s
        size = self.exchange_bytes(body) / layout.heartbeat_s
        return cpu, size + leases / layout.lease_s

    def host_watch(self) -> tuple[float, float]:
        """Return processor time and bytes of watches."""
        layout = self.layout
        polls = layout.watches / layout.watch_s
        cpu = polls * self.exchange(0, "client")
        size = polls * self.empty_poll_bytes
        per_change = layout.watches * self.exchange_bytes(self.delta_bytes)
        return cpu, size + self.state_changes * per_change

    def host_take_over(self) -> float:
        """Return processor time to take over changes of the state."""
        services = self.share.host_services
        cost = self.at("entry.services_change", services)
        cost += self.at("entry.probes_change", services)
        hosts = self.size.host_changes_a_day / self.layout.groups
        return self.state_changes * cost + hosts / sizes.DAY_S * (
            self.at("entry.watchers_of", self.share.group_hosts)
            * self.watched_candidates
        )

    @property
    def watched_candidates(self) -> float:
        """Services for which a host works out the watchers."""
        if self.layout.filtered:
            return self.share.host_services
        return float(self.size.services)

    def per_probe(self) -> float:
        """Return the processor time of the watcher for one probe."""
        fast, slow = (self.slope(f"entry.probes_{ms}") for ms in (100, 400))
        rates = (self.slope(f"entry.probe_rate_{ms}") for ms in (100, 400))
        fast_rate, slow_rate = rates
        # Ticks come four times per interval, so they scale with probes.
        return (fast - slow) / (fast_rate - slow_rate)

    def host_probes(self) -> tuple[float, float]:
        """Return processor time and bytes of probes."""
        rate = self.share.probed / self.layout.probe_s
        cost = self.per_probe() + self.at("transport.position_client", 0)
        return rate * cost, rate * self.at("transport.position_bytes", 0)

    def host_announcements(self) -> tuple[float, float]:
        """Return processor time and bytes of announcements."""
        rate = self.share.announced / self.layout.announce_s
        body = len(encode(Announcement(records.status(1))))
        cpu, size = self.exchange(body, "server"), self.exchange_bytes(body)
        if self.layout.relay_unchanged:
            cpu, size = cpu + self.exchange(body, "client"), 2 * size
        else:
            # The heartbeat names the endpoints heard of.
            size += len(encode(records.endpoint(1).endpoint)) + 1
        return rate * cpu, rate * size

    def host_totals(self) -> tuple[float, float]:
        """Return processor time and bytes per second of an entry host."""
        parts = (
            self.host_heartbeat(),
            self.host_watch(),
            self.host_probes(),
            self.host_announcements(),
            (self.host_take_over(), 0.0),
        )
        return sum(cpu for cpu, _ in parts), sum(size for _, size in parts)

    def state_memory(self) -> float:
        """Return the bytes of a copy of the state."""
        size, share = self.size, self.share
        services, hosts = size.services, size.hosts
        endpoints = size.endpoints
        if self.layout.groups > 1:
            hosts = share.group_hosts
            services, endpoints = share.group_services, share.group_endpoints
        if self.layout.filtered:
            endpoints = share.host_endpoints
        return (
            self.slope("state.host_memory") * hosts
            + self.slope("state.endpoint_memory") * endpoints
            + self.slope("state.service_memory") * services
            + self.slope("state.workspace_memory") * size.workspaces
        )

    def full_bytes(self) -> float:
        """Return the bytes of a reply with the whole state of a host."""
        size, share = self.size, self.share
        count = {
            records.host(1): share.group_hosts,
            records.endpoint(1): size.endpoints,
            records.established_record(1): size.services,
            records.workspace(1): size.workspaces,
        }
        if self.layout.filtered:
            count[records.endpoint(1)] = share.host_endpoints
            count[records.established_record(1)] = share.group_services
        return sum((len(encode(key)) + 1) * n for key, n in count.items())

    def host_memory(self) -> float:
        """Return the memory of control on an entry host.

        The base is a whole idle process, so the figure is too high rather
        than too low.
        """
        known = self.slope("entry.service_memory") * self.share.host_services
        base = self.at("entry.idle_memory")
        return base + self.state_memory() + known

    # control leader, per second

    def leader_heartbeats(self) -> float:
        """Return processor time for heartbeats without leases."""
        body = self.at("control.heartbeat_bytes", 0.0)
        each = self.exchange(body, "server")
        each += self.at("control.host_heartbeat", self.share.group_hosts)
        return self.share.group_hosts / self.layout.heartbeat_s * each

    def leader_leases(self) -> float:
        """Return processor time for leases."""
        each = self.at("control.lease_sharers", self.share.sharers)
        each += self.slope("control.heartbeat_codec")
        rate = self.share.group_hosts / self.layout.lease_s
        return rate * each * self.share.host_endpoints

    def leader_announcements(self) -> float:
        """Return processor time for announcements."""
        body = len(encode(Announcement(records.status(1))))
        endpoints = self.share.group_endpoints
        each = self.at("control.announce", endpoints)
        if self.layout.relay_unchanged:
            each += self.exchange(body, "server")
            return endpoints / self.layout.announce_s * each
        # The names heard of travel with the heartbeat.
        return endpoints / self.layout.announce_s * each

    def leader_scans(self) -> float:
        """Return processor time of ticks and scans."""
        return (
            100 * self.at("control.host_tick", self.share.group_hosts)
            + 100
            * self.at("control.endpoint_tick", self.share.group_endpoints)
            + 4 * self.at("control.host_scan", self.share.group_hosts)
            + self.at("control.endpoint_scan", self.share.group_endpoints)
        )

    def leader_changes(self) -> float:
        """Return processor time to commit and apply changes."""
        size = self.size
        hosts = size.host_changes_a_day / self.layout.groups
        terms = 2 * size.primary_changes / self.layout.groups
        entry = self.slope("agreement.entries_leader")
        entry += self.commit_exchanges * self.exchange(500, "client")
        cost = hosts * (
            entry + self.at("control.host_change", self.share.group_hosts)
        )
        cost += terms * (
            entry + self.at("control.change", self.share.group_endpoints)
        )
        config = size.changes / self.layout.groups
        if self.layout.changes_only:
            each = entry + self.at(
                "control.change", self.share.group_endpoints
            )
        else:
            each = self.sheet_cpu()
        return (cost + config * each) / sizes.DAY_S

    @property
    def commit_exchanges(self) -> float:
        """Requests of the leader for one entry; each has an answer."""
        return self.slope("agreement.entries_messages") / 2

    def sheet_cpu(self) -> float:
        """Return processor time of the leader for one whole sheet."""
        workspaces = self.size.workspaces
        size = self.at("state.sheet_bytes", workspaces)
        sent = 4 * self.slope("transport.client") / 2 * size
        return (
            self.at("state.sheet_parse", workspaces)
            + self.at("state.sheet_apply", workspaces)
            + sent
        )

    def leader_agreement(self) -> float:
        """Return processor time of an idle log of five members."""
        rate = self.at("agreement.idle_messages", 5) / 2
        machine = self.at("agreement.idle_leader", 5)
        return machine + rate * self.exchange(200, "client")

    def member_watches(self) -> float:
        """Return processor time of a member for the watches it holds."""
        watches = self.share.watches_per_member
        polls = watches / self.layout.watch_s * self.slope("watch.idle_poll")
        each = self.at("watch.change_cpu", watches)
        return polls + self.state_changes * each

    def leader_total(self) -> float:
        """Return processor time per second of a leader."""
        return (
            self.leader_heartbeats()
            + self.leader_leases()
            + self.leader_announcements()
            + self.leader_scans()
            + self.leader_changes()
            + self.leader_agreement()
            + self.member_watches()
        )

    def leader_memory(self) -> float:
        """Return the memory of a control host."""
        return self.at("control.idle_memory") + self.state_memory()


def rows_of(models: list[Model]):
    """Return a function that computes a row for each model."""

    def row(item, mechanism, unit, compute, budget=0.0):
        values = tuple(compute(model) for model in models)
        return Row(item, mechanism, unit, values, budget)

    return row
