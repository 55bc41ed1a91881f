"""Framing of protocols whose messages are lines."""

from chivescale.lines._channel import LineChannel, keep_alive

__all__ = ["LineChannel", "keep_alive"]
