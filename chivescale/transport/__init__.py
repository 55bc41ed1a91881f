"""Signed HTTP and JSON between the system's own processes."""

from chivescale.transport._client import Client
from chivescale.transport._server import Request, Route, Server, reply_failure
from chivescale.transport._tls import client_tls, server_tls

__all__ = [
    "Client",
    "Request",
    "Route",
    "Server",
    "client_tls",
    "reply_failure",
    "server_tls",
]
