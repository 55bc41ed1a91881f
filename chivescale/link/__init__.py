"""Sessions of this system with endpoints."""

from chivescale.link._link import Link, open_link

__all__ = ["Link", "open_link"]
