"""Metrics of a process, exported to Prometheus."""

import collections.abc
import typing

import prometheus_client
from aiohttp import web
from opentelemetry import metrics as api
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider

# The failover objective (1 s) and the default deadline (5 s) are bucket
# bounds, so that the share of values below them is exact.
LATENCY_BUCKETS_S = (
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
OVERFLOW_LABEL = "other"
# Recording a value takes about 21 us. Statements that get a slot and a
# connection without waiting stay below this limit, so that most statements
# record one value only.
MIN_RECORDED_WAIT_S = 0.0005
# The _created series would double the output of small histograms and are not
# used.
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


class LabelLimiter:
    """Limits the number of distinct values of a label.

    The first `limit` values are kept and all others become ``other``: each
    value takes memory in this process and in the monitoring system, and the
    number of workspaces is unlimited.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.known: set[str] = set()

    def limit_value(self, value: str) -> str:
        """Return `value`, or ``other`` once the limit is reached."""
        if value in self.known:
            return value
        if len(self.known) >= self.limit:
            return OVERFLOW_LABEL
        self.known.add(value)
        return value


class Metrics:
    """Counters, histograms and gauges of one process.

    Without an address nothing is exported and histograms are not recorded;
    `counts` holds the counters in either case.

    Parameters
    ----------
    address : str, optional
        ``ip:port`` that serves ``GET /metrics``; empty disables the export.
    max_workspaces, max_endpoints : int
        Number of distinct label values; further ones count as ``other``.
        Rendering the metrics of 100 workspaces blocks the event loop for
        about 47 ms.
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
        self.workspaces = LabelLimiter(max_workspaces)
        self.endpoints = LabelLimiter(max_endpoints)
        self.labels: dict[tuple[str, str], dict[str, str]] = {}
        self.registry = prometheus_client.CollectorRegistry()
        self.provider = _make_provider(address, self.registry)
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
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )

    def _add_counter(self, name: str, label: str, text: str) -> None:
        """Add a counter whose values are read from a dict at each scrape."""
        counts = self.counts[name] = {}

        def observe(_options) -> list[api.Observation]:
            return [
                api.Observation(value, {label: key} if label else {})
                for key, value in counts.items()
            ]

        self.meter.create_observable_counter(
            f"chivescale_{name}", callbacks=[observe], description=text
        )

    def _increment(self, name: str, key: str, amount: float = 1) -> None:
        counts = self.counts[name]
        counts[key] = counts.get(key, 0) + amount

    def observe_statement(
        self, workspace: str, statement_class: str, seconds: float
    ) -> None:
        """Record a finished statement.

        Parameters
        ----------
        workspace : str
            Workspace that sent the statement.
        statement_class : {"read_replica", "read_primary", "write", \
"transaction"}
            Kind of statement and role of the endpoint that served it.
        seconds : float
            Time from the arrival of the statement to its result.
        """
        if not self.address:
            return
        key = (workspace, statement_class)
        labels = self.labels.get(key)
        if labels is None:
            limited = self.workspaces.limit_value(workspace)
            labels = {"workspace": limited, "class": statement_class}
            if limited != OVERFLOW_LABEL:
                self.labels[key] = labels
        self.statement.record(seconds, labels)

    def observe_queue(self, seconds: float) -> None:
        """Record how long a statement waited for a slot of its endpoint."""
        if self.address and seconds >= MIN_RECORDED_WAIT_S:
            self.queue.record(seconds)

    def observe_pool_wait(self, endpoint: str, seconds: float) -> None:
        """Count an acquired connection and record how long it took."""
        label = self.endpoints.limit_value(endpoint)
        self._increment("acquired", label)
        if self.address and seconds >= MIN_RECORDED_WAIT_S:
            self.pool_wait.record(seconds, {"endpoint": label})

    def observe_gap(self, phase: str, seconds: float) -> None:
        """Record a phase of a failover; ``gap`` is the total duration."""
        self.failover.record(seconds, {"phase": phase})

    def count_read(self, role: str) -> None:
        """Count a read served by a ``replica`` or the ``primary``."""
        self._increment("reads", role)

    def count_failure(self, kind: str) -> None:
        """Count a failed request by error kind."""
        self._increment("failures", str(kind))

    def count_shed(self, kind: str) -> None:
        """Count a request rejected before execution, by error kind."""
        self._increment("shed", str(kind))

    def count_retry(self) -> None:
        """Count a retried read."""
        self._increment("retries", "")

    def count_control(self, direction: str, size: int) -> None:
        """Count a control message and its size; `direction` is in or out."""
        self._increment("control_bytes", direction, size)
        self._increment("control_messages", direction)

    def add_gauge(
        self, name: str, label: str, values: Values, text: str = ""
    ) -> None:
        """Add a gauge whose values are read at each scrape.

        Parameters
        ----------
        name : str
            Name without the prefix ``chivescale_``, for example
            ``pool_held``.
        label : str
            Name of the label; empty for a gauge without labels.
        values : callable
            Returns a mapping from label value to gauge value; a gauge
            without labels has a single key, which is ignored.
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
        """Start the HTTP server, if there is an address."""
        if not self.address:
            return
        app = web.Application()
        app.router.add_get("/metrics", self._handle_scrape)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        ip, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, ip, int(port)).start()

    async def stop(self) -> None:
        """Stop the HTTP server."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def _handle_scrape(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self.render(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )


def _make_provider(
    address: str, registry: prometheus_client.CollectorRegistry
) -> typing.Any:
    if not address:
        return api.NoOpMeterProvider()
    # The atexit hook would run after the event loop has closed.
    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    return MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
