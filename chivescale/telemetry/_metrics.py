"""Metrics of a process, exported for Prometheus."""

import collections.abc
import typing

import prometheus_client
from aiohttp import web
from opentelemetry import metrics as api
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider

# Bounds in seconds; the goal of 1 s for a failover and the usual deadline
# of 5 s are bounds, so that the share below them is exact.
LATENCY_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
OTHER = "other"
# Recording takes about 21 us. Shorter waits are those of statements that
# found a place or a connection free; leaving them out keeps the cost at one
# record for most statements.
WAIT_FLOOR_S = 0.0005
# The time of creation doubles the lines of small histograms for no use here.
prometheus_client.disable_created_metrics()
COUNTERS = (
    ("reads", "role", "Reads by role of the endpoint."),
    ("failures", "kind", "Failed requests by kind."),
    ("shed", "kind", "Requests refused before they ran, by kind."),
    ("retries", "", "Reads tried again."),
    ("acquired", "endpoint", "Connections taken for new work."),
    ("control_bytes", "direction", "Bytes of control messages."),
    ("control_messages", "direction", "Control messages."),
)

Values = collections.abc.Callable[[], collections.abc.Mapping[str, float]]


class BoundedLabels:
    """Passes the first `limit` values of a label and folds the others.

    Every label value costs memory in this process and in the monitoring
    system, and workspaces are added without a bound.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.known: set[str] = set()

    def fold(self, value: str) -> str:
        """Return `value`, or ``other`` beyond the limit."""
        if value in self.known:
            return value
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(value)
        return value


class Metrics:
    """Counters, histograms and gauges of one process.

    Without an address nothing is exported and every method costs little;
    `counts` holds the counters in either case.

    Parameters
    ----------
    address : str, optional
        ``ip:port`` that serves ``GET /metrics``; empty turns metrics off.
    max_workspaces, max_endpoints : int
        Label values kept apart; further ones count as ``other``. Writing
        100 workspaces took 47 ms in a trial, during which the event loop
        does nothing else.
    """

    def __init__(
        self,
        address: str = "",
        *,
        max_workspaces: int = 50,
        max_endpoints: int = 50,
    ):
        self.address = address
        self.runner: web.AppRunner | None = None
        self.workspaces = BoundedLabels(max_workspaces)
        self.endpoints = BoundedLabels(max_endpoints)
        self.labels: dict[tuple[str, str], dict[str, str]] = {}
        self.registry = prometheus_client.CollectorRegistry()
        self.provider = _provider(address, self.registry)
        self.meter = self.provider.get_meter("chivescale")
        self._make_instruments()

    def _make_instruments(self) -> None:
        self.counts: dict[str, dict[str, float]] = {}
        for name, label, text in COUNTERS:
            self._add_counter(name, label, text)
        self.statement = self._histogram("statement", "Time of a statement.")
        self.queue = self._histogram("queue", "Waits for a slot.")
        self.pool_wait = self._histogram(
            "pool_wait", "Waits for a connection."
        )
        self.failover = self._histogram(
            "failover", "Phases of a failover; gap is the whole."
        )

    def _histogram(self, name: str, text: str):
        return self.meter.create_histogram(
            f"chivescale_{name}",
            unit="s",
            description=text,
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )

    def _add_counter(self, name: str, label: str, text: str) -> None:
        """Add a counter that is read from a plain dict when fetched."""
        counts = self.counts[name] = {}

        def observe(_options) -> list[api.Observation]:
            return [
                api.Observation(value, {label: key} if label else {})
                for key, value in counts.items()
            ]

        self.meter.create_observable_counter(
            f"chivescale_{name}", callbacks=[observe], description=text
        )

    def _count(self, name: str, key: str, amount: float = 1) -> None:
        counts = self.counts[name]
        counts[key] = counts.get(key, 0) + amount

    def observe_statement(
        self, workspace: str, statement_class: str, seconds: float
    ) -> None:
        """Record a finished statement.

        Parameters
        ----------
        workspace : str
            Who sent it.
        statement_class : {"read_replica", "read_primary", "write", \
"transaction"}
            How it was served.
        seconds : float
            From the arrival to the answer.
        """
        if not self.address:
            return
        key = (workspace, statement_class)
        labels = self.labels.get(key)
        if labels is None:
            folded = self.workspaces.fold(workspace)
            labels = {"workspace": folded, "class": statement_class}
            if folded != OTHER:
                self.labels[key] = labels
        self.statement.record(seconds, labels)

    def observe_queue(self, seconds: float) -> None:
        """Record the wait of a statement for a slot of its endpoint."""
        if self.address and seconds >= WAIT_FLOOR_S:
            self.queue.record(seconds)

    def observe_pool_wait(self, endpoint: str, seconds: float) -> None:
        """Count a connection taken for new work, and record its wait."""
        label = self.endpoints.fold(endpoint)
        self._count("acquired", label)
        if self.address and seconds >= WAIT_FLOOR_S:
            self.pool_wait.record(seconds, {"endpoint": label})

    def observe_gap(self, phase: str, seconds: float) -> None:
        """Record a phase of a failover, or all of it as ``gap``."""
        self.failover.record(seconds, {"phase": phase})

    def count_read(self, role: str) -> None:
        """Count a read served by a ``replica`` or the ``primary``."""
        self._count("reads", role)

    def count_failure(self, kind: str) -> None:
        """Count a failed request by error kind."""
        self._count("failures", str(kind))

    def count_shed(self, kind: str) -> None:
        """Count a request refused before it ran, by error kind."""
        self._count("shed", str(kind))

    def count_retry(self) -> None:
        """Count a read that is tried again."""
        self._count("retries", "")

    def count_control(self, direction: str, size: int) -> None:
        """Count one control message and its bytes, ``in`` or ``out``."""
        self._count("control_bytes", direction, size)
        self._count("control_messages", direction)

    def add_gauge(
        self, name: str, label: str, values: Values, text: str = ""
    ) -> None:
        """Add a gauge that is read when metrics are fetched.

        Parameters
        ----------
        name : str
            Name without the prefix ``chivescale_``, for example
            ``pool_held``.
        label : str
            Name of the label; empty for a gauge without labels.
        values : callable
            Returns the value of each label value; for a gauge without
            labels the only key is ignored.
        text : str, optional
            Description.
        """

        def observe(_options) -> list[api.Observation]:
            return [
                api.Observation(value, {label: key} if label else {})
                for key, value in values().items()
            ]

        self.meter.create_observable_gauge(
            f"chivescale_{name}", callbacks=[observe], description=text
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    async def start(self) -> None:
        """Serve the metrics; does nothing without an address."""
        if not self.address:
            return
        app = web.Application()
        app.router.add_get("/metrics", self._answer)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        ip, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, ip, int(port)).start()

    async def stop(self) -> None:
        """Stop serving."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def _answer(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self.render(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )


def _provider(
    address: str, registry: prometheus_client.CollectorRegistry
) -> typing.Any:
    if not address:
        return api.NoOpMeterProvider()
    # The atexit hook would run after the event loop has closed.
    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    return MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
