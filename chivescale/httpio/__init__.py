"""HTTP/1.1 server and client on asyncio, without signatures or TLS.

Small enough for hosts whose memory and start-up time are scarce; the wire
format is h11's.
"""

from chivescale.httpio._client import CONNECT_TIMEOUT_S, HttpClient
from chivescale.httpio._server import HttpRequest, HttpResponse, HttpServer

__all__ = [
    "CONNECT_TIMEOUT_S",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
]
