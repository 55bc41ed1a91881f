"""Decisions for the planned stop of a host that serves callers."""

from chivescale.stopping._schedule import REASON, StopSchedule

__all__ = ["REASON", "StopSchedule"]
