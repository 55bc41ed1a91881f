"""The tables of docs/CAPACITY.md, made from the fitted lines alone."""

import math

from benchmarks.capacity import _sizes as sizes
from benchmarks.capacity._events import event_rows
from benchmarks.capacity._fit import Line
from benchmarks.capacity._model import Model, Row, rows_of
from benchmarks.capacity._ways import statement_rows, way_rows


def make_tables(lines: dict[str, Line]) -> dict[str, str]:
    """Return every table by name, as Markdown."""
    tables = {"slopes": _slopes(lines)}
    now = [Model(lines, size, sizes.TODAY) for size in sizes.NOW]
    tables["entry-now"] = _render(_entry_rows(now), sizes.NOW)
    tables["control-now"] = _render(_control_rows(now), sizes.NOW)
    for layout, name in ((sizes.TODAY, "today"), (sizes.PLANNED, "planned")):
        models = [Model(lines, size, layout) for size in sizes.SIZES]
        tables[f"entry-{name}"] = _render(_entry_rows(models))
        tables[f"control-{name}"] = _render(_control_rows(models))
        tables[f"events-{name}"] = _render(event_rows(models))
    tables["check"] = _check(lines)
    tables["statements"] = _render(statement_rows(lines))
    tables["ways"] = _render(way_rows(lines))
    return tables


def _entry_rows(models) -> list[Row]:
    row = rows_of(models)
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
            "**the same with the factor of the check**",
            "event loop, timers and metrics of a process",
            cpu,
            lambda m: m.host_totals()[0] * _check_factor(m.lines),
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
    row, cpu = rows_of(models), "us/s"
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


def _number(value: float) -> str:
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, digits) if digits else round(value)
    return f"{rounded:,.{digits}f}" if digits else f"{rounded:,}"


def _render(rows: list[Row], of=sizes.SIZES) -> str:
    labels = [size.label for size in of]
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


def _check_factor(lines: dict[str, Line]) -> float:
    """Return how much more an idle process takes than the model says."""
    model = Model(lines, sizes.ONE, sizes.ALONE)
    return model.at("statements.none_cpu") / model.host_totals()[0]


def _check(lines: dict[str, Line]) -> str:
    """Compare the model with an idle entry host process."""
    model = Model(lines, sizes.ONE, sizes.ALONE)
    cpu, size = model.host_totals()
    body = [
        ["processor", "us/s", cpu, model.at("statements.none_cpu")],
        ["bytes", "B/s", size, model.at("statements.none_bytes")],
    ]
    rows = [
        [
            what,
            unit,
            _number(computed),
            _number(measured),
            f"{measured / computed:.2f}",
        ]
        for what, unit, computed, measured in body
    ]
    head = ["what", "unit", "computed", "measured", "measured / computed"]
    return _markdown(head, rows)


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
