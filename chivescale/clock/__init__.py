"""Clock for all decisions that depend on elapsed time."""

from chivescale.clock._clock import now

__all__ = ["now"]
