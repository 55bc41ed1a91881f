"""Statements and connections, and the ways weighed, at the larger size."""

from benchmarks.capacity import _sizes as sizes
from benchmarks.capacity._model import Model, Row, rows_of

CORES = 8


def statement_rows(lines) -> list[Row]:
    """Return the table of statements and connections."""
    models = [Model(lines, size, sizes.PLANNED) for size in sizes.SIZES]
    row = rows_of(models)
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
                f"{name}: of it for exchanges with admin ports",
                "barriers, confirmations",
                "us",
                lambda m, k=kind: (
                    m.slope(f"statements.{k}_messages")
                    / 2
                    * m.at("transport.position_client", 0)
                ),
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
            row(
                f"{name}: the same, if forwarding doubles it (open)",
                "a forwarding host and a home",
                f"of {CORES} cores",
                lambda m, k=kind: (
                    2
                    * m.size.statements
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


def way_rows(lines) -> list[Row]:
    """Return the table of the ways weighed."""
    today = [Model(lines, size, sizes.TODAY) for size in sizes.SIZES]
    row = rows_of(today)

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
