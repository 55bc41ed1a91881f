"""Keeps the permanent tasks of a process running."""

from chivescale.supervision._loop import run_supervised

__all__ = ["run_supervised"]
