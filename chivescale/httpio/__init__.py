"""HTTP/1.1 server and client on asyncio, without signatures or TLS.

Small enough for hosts whose memory and start-up time are scarce; the wire
format is h11's.
"""

from chivescale.httpio._client import CONNECT_TIMEOUT_S, HttpClient
from chivescale.httpio._server import (
    MAX_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MAX_BODY_BYTES",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
]
