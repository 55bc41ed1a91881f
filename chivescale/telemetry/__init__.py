"""Structured logs and metrics."""

from chivescale.telemetry._log import log_event

__all__ = ["log_event"]
