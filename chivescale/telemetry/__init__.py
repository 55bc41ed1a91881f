"""Structured logs and metrics."""

import typing

from chivescale.telemetry._bounded import NonBlockingStream, log_decision
from chivescale.telemetry._counters import COUNTERS, Counters
from chivescale.telemetry._log import log_event
from chivescale.telemetry._setup import setup_logging

if typing.TYPE_CHECKING:
    from chivescale.telemetry._metrics import Metrics

__all__ = [
    "COUNTERS",
    "Counters",
    "Metrics",
    "NonBlockingStream",
    "log_decision",
    "log_event",
    "setup_logging",
]


def __getattr__(name: str) -> object:
    """Import `Metrics` on first use.

    The OpenTelemetry and Prometheus libraries take 0.25 s of CPU time to
    import.
    """
    if name != "Metrics":
        raise AttributeError(name)
    from chivescale.telemetry._metrics import Metrics

    return Metrics
