"""Signed HTTP and JSON between the system's own processes."""

from chivescale.transport._client import Client
from chivescale.transport._server import Request, Route, Server, reply_failure

__all__ = ["Client", "Request", "Route", "Server", "reply_failure"]
