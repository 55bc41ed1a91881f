"""Connections to endpoints."""

from chivescale.link._link import Link, can_connect, open_link

__all__ = ["Link", "can_connect", "open_link"]
