"""The tables of docs/CAPACITY.md, made from the fitted lines alone."""

import math

from benchmarks.capacity import _sizes as sizes
from benchmarks.capacity._events import event_rows
from benchmarks.capacity._fit import Line
from benchmarks.capacity._model import Model, Row

CORES = 8


def make_tables(lines: dict[str, Line]) -> dict[str, str]:
    """Return every table by name, as Markdown."""
    tables = {"slopes": _slopes(lines)}
    for layout, name in ((sizes.TODAY, "today"), (sizes.PLANNED, "planned")):
        models = [Model(lines, size, layout) for size in sizes.SIZES]
        tables[f"entry-{name}"] = _render(_entry_rows(models))
        tables[f"control-{name}"] = _render(_control_rows(models))
        tables[f"events-{name}"] = _render(event_rows(models))
    tables["statements"] = _render(_statement_rows(lines))
    tables["ways"] = _render(_way_rows(lines))
    return tables


def _rows_of(models):
    def row(item, mechanism, unit, compute, budget=0.0):
        values = tuple(compute(model) for model in models)
        return Row(item, mechanism, unit, values, budget)

    return row


def _entry_rows(models) -> list[Row]:
    row = _rows_of(models)
    cpu, size = "us/s", "B/s"
    return [
        row("services known", "homes", "", lambda m: m.share.host_services),
        row(
            "heartbeat and leases, processor",
            "heartbeat to the leader",
            cpu,
            lambda m: m.host_heartbeat()[0],
        ),
        row(
            "heartbeat and leases, bytes",
            "heartbeat to the leader",
            size,
            lambda m: m.host_heartbeat()[1],
        ),
        row(
            "watches, processor",
            "long polls",
            cpu,
            lambda m: m.host_watch()[0],
        ),
        row("watches, bytes", "long polls", size, lambda m: m.host_watch()[1]),
        row(
            "taking over changes, processor",
            "copy, views and choice of watchers",
            cpu,
            lambda m: m.host_take_over(),
        ),
        row(
            "probes, processor", "watchers", cpu, lambda m: m.host_probes()[0]
        ),
        row("probes, bytes", "watchers", size, lambda m: m.host_probes()[1]),
        row(
            "announcements, processor",
            "endpoints to entry host, relay to the leader",
            cpu,
            lambda m: m.host_announcements()[0],
        ),
        row(
            "announcements, bytes",
            "endpoints to entry host, relay to the leader",
            size,
            lambda m: m.host_announcements()[1],
        ),
        row(
            "**all control, processor**",
            "",
            cpu,
            lambda m: m.host_totals()[0],
            sizes.HOST_CPU_US,
        ),
        row(
            "**all control, bytes**",
            "",
            size,
            lambda m: m.host_totals()[1],
            sizes.HOST_BYTES,
        ),
        row(
            "**all control, memory**",
            "idle process, copy of the state, views of services",
            "MiB",
            lambda m: m.host_memory() / 2**20,
            sizes.HOST_MEMORY / 2**20,
        ),
    ]


def _control_rows(models) -> list[Row]:
    row, cpu = _rows_of(models), "us/s"
    return [
        row("hosts of a group", "groups", "", lambda m: m.share.group_hosts),
        row(
            "endpoints of a group",
            "groups",
            "",
            lambda m: m.share.group_endpoints,
        ),
        row("heartbeats", "host table", cpu, lambda m: m.leader_heartbeats()),
        row("leases", "lease book", cpu, lambda m: m.leader_leases()),
        row(
            "announcements",
            "endpoint table",
            cpu,
            lambda m: m.leader_announcements(),
        ),
        row("ticks and scans", "membership", cpu, lambda m: m.leader_scans()),
        row("changes", "agreement, state", cpu, lambda m: m.leader_changes()),
        row("idle log", "agreement", cpu, lambda m: m.leader_agreement()),
        row(
            "watches held by one member",
            "long polls",
            cpu,
            lambda m: m.member_watches(),
        ),
        row(
            "**leader, processor**",
            "",
            cpu,
            lambda m: m.leader_total(),
            sizes.CONTROL_CPU_US,
        ),
        row(
            "**control host, memory**",
            "idle process and state",
            "MiB",
            lambda m: m.leader_memory() / 2**20,
            sizes.HOST_MEMORY / 2**20,
        ),
        row(
            "**control hosts**",
            "groups of five; one more for sheet numbers when planned",
            "",
            _hosts_set_aside,
            float(sizes.SIZES[0].control_hosts),
        ),
    ]


def _hosts_set_aside(model: Model) -> float:
    layout = model.layout
    extra = layout.members if layout.groups > 1 else 0
    return float(layout.groups * layout.members + extra)


def _statement_rows(lines) -> list[Row]:
    models = [Model(lines, size, sizes.PLANNED) for size in sizes.SIZES]
    row = _rows_of(models)
    rows = [
        row(
            "statements a second on each host",
            "spread evenly",
            "1/s",
            lambda m: m.size.statements / m.size.hosts,
        ),
        row(
            "statements a second on each service",
            "spread evenly",
            "1/s",
            lambda m: m.size.statements / m.size.services,
        ),
    ]
    for kind in ("stale_read", "current_read", "write"):
        name = kind.replace("_", " ")
        rows += [
            row(
                f"{name}: processor",
                "one entry host process",
                "us",
                lambda m, k=kind: m.slope(f"statements.{k}_cpu"),
            ),
            row(
                f"{name}: bytes to endpoints' admin port",
                "barriers, confirmations",
                "B",
                lambda m, k=kind: max(0, m.slope(f"statements.{k}_bytes")),
            ),
            row(
                f"{name}: processes for the host's rate",
                "a Python process uses one core",
                f"of {CORES} cores",
                lambda m, k=kind: (
                    m.size.statements
                    / m.size.hosts
                    * m.slope(f"statements.{k}_cpu")
                    / 1e6
                ),
                float(CORES),
            ),
        ]
    rows += [
        row(
            "caller connections on each host",
            "spread evenly",
            "",
            lambda m: m.size.callers / m.size.hosts,
            4000.0,
        ),
        row(
            "memory of the caller connections",
            "one entry host process",
            "MiB",
            lambda m: (
                m.size.callers
                / m.size.hosts
                * m.slope("entry.caller_rss")
                / 2**20
            ),
        ),
        row(
            "memory of the pooled connections",
            "35 connections of each endpoint, shared by its homes",
            "MiB",
            lambda m: (
                m.share.host_endpoints
                * 35
                / m.share.sharers
                * m.slope("entry.pooled_rss")
                / 2**20
            ),
        ),
        row(
            "hosts that hold a connection to one endpoint, all hosts",
            "floor of one connection for every host",
            "of 35",
            lambda m: float(m.size.hosts),
            35.0,
        ),
        row(
            "hosts that hold a connection to one endpoint, homes",
            "a service has its homes",
            "of 35",
            lambda m: m.share.sharers,
            35.0,
        ),
    ]
    return rows


def _way_rows(lines) -> list[Row]:
    today = [Model(lines, size, sizes.TODAY) for size in sizes.SIZES]
    row = _rows_of(today)

    def pushes(model, size: float) -> float:
        return model.state_changes * model.layout.watches * size

    def all_to_all(model) -> float:
        body = model.at("control.heartbeat_bytes", 0.0)
        return model.size.hosts * model.exchange(body, "client")

    return [
        row(
            "full state to each host at each change",
            "way not taken",
            "B/s for a host",
            lambda m: pushes(m, m.full_bytes()),
            sizes.HOST_BYTES,
        ),
        row(
            "changes only, to each host",
            "way taken",
            "B/s for a host",
            lambda m: pushes(m, m.exchange_bytes(m.delta_bytes)),
            sizes.HOST_BYTES,
        ),
        row(
            "heartbeats from every host to every host",
            "way not taken",
            "us/s for a host",
            all_to_all,
            sizes.HOST_CPU_US,
        ),
        row(
            "heartbeats to one leader",
            "way taken",
            "us/s for a host",
            lambda m: m.exchange(
                m.at("control.heartbeat_bytes", 0.0), "client"
            ),
            sizes.HOST_CPU_US,
        ),
        row(
            "one message to control for each statement, host",
            "way not taken",
            "us/s for a host",
            lambda m: (
                m.size.statements / m.size.hosts * m.exchange(300, "client")
            ),
            sizes.HOST_CPU_US,
        ),
        row(
            "one message to control for each statement, 35 control hosts",
            "way not taken",
            "cores for each",
            lambda m: (
                m.size.statements
                / m.size.control_hosts
                * m.exchange(300, "server")
                / 1e6
            ),
            sizes.CONTROL_CPU_US / 1e6,
        ),
        row(
            "no message to control for a statement",
            "way taken",
            "us/s for a host",
            lambda m: 0.0,
            sizes.HOST_CPU_US,
        ),
    ]


def _number(value: float) -> str:
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, digits) if digits else round(value)
    return f"{rounded:,.{digits}f}" if digits else f"{rounded:,}"


def _render(rows: list[Row]) -> str:
    labels = [size.label for size in sizes.SIZES]
    head = ["what", "mechanism", "unit", *labels, "budget", "result"]
    body = [
        [
            row.item,
            row.mechanism,
            row.unit,
            *(_number(value) for value in row.values),
            _number(row.budget) if row.budget else "",
            row.verdict,
        ]
        for row in rows
    ]
    return _markdown(head, body)


def _slopes(lines: dict[str, Line]) -> str:
    head = [
        "series", "against", "points", "from", "to", "unit", "slope",
        "at zero", "residual",
    ]  # fmt: skip
    body = [
        [
            line.series,
            line.x_name,
            str(line.points),
            _number(line.low),
            _number(line.high),
            line.unit,
            f"{line.slope:.4g}" if line.points > 1 else "",
            f"{line.intercept:.4g}",
            f"{line.residual * 100:.1f}%" if line.points > 1 else "",
        ]
        for line in lines.values()
    ]
    return _markdown(head, body)


def _markdown(head: list[str], body: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
