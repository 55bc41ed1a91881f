"""Structured logs and metrics."""

from chivescale.telemetry._log import log_event
from chivescale.telemetry._metrics import Metrics
from chivescale.telemetry._setup import setup_logging

__all__ = ["Metrics", "log_event", "setup_logging"]
