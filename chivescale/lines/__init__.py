"""Framing for line-based protocols."""

from chivescale.lines._channel import LineChannel, keep_alive

__all__ = ["LineChannel", "keep_alive"]
