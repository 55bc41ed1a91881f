"""Server side of HTTP."""

import asyncio
import collections.abc

import h11
import msgspec

from chivescale.lines import keep_alive
from chivescale.telemetry import log_event

# Ten times the largest configuration of 350 routes.
MAX_BODY_BYTES = 1 << 20
# A connection on which no whole request arrives for this long is closed.
IDLE_S = 30.0


class HttpRequest(msgspec.Struct):
    """One request.

    Attributes
    ----------
    method, path : str
        Request line; `path` is without the query.
    query : dict of str to str
        Decoded query.
    headers : dict of str to str
        Names in lower case.
    body : bytes
        Content.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class HttpResponse(msgspec.Struct):
    """One response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = collections.abc.Callable[
    [HttpRequest], collections.abc.Awaitable[HttpResponse]
]


class HttpServer:
    """Serves one address.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers a request.
    max_body_bytes : int
        Limit of the content of a request.
    path_limits : dict of str to int, optional
        Limits of requests to other paths.
    """

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = MAX_BODY_BYTES,
        path_limits: dict[str, int] | None = None,
    ):
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.path_limits = path_limits or {}
        self.server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: _Connection(self), host, int(port)
        )

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


class _Connection(asyncio.Protocol):
    """One connection; answers its requests in order."""

    def __init__(self, server: HttpServer):
        self.server = server
        self.http = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.body_limit = server.max_body_bytes
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        keep_alive(transport)
        self.server.connections.add(self)
        self._restart_timer()

    def connection_lost(self, error) -> None:
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()

    def _restart_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(IDLE_S, self._on_idle)

    def _on_idle(self) -> None:
        if self.task is None:
            self.close()
        else:
            self._restart_timer()

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        # A caller may close its sending side and still read the answer.
        return self.task is not None

    def _advance(self) -> None:
        if self.task is not None:
            return
        try:
            self._read_events()
        except h11.RemoteProtocolError as err:
            log_event("http_request_invalid", "warning", reason=str(err))
            self._refuse(err.error_status_hint)

    def _read_events(self) -> None:
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.head = event
                self.body = bytearray()
                self.body_limit = self.server.path_limits.get(
                    _path(event), self.server.max_body_bytes
                )
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > self.body_limit:
                    self._refuse(413)
                    return
            elif isinstance(event, h11.EndOfMessage):
                self.task = asyncio.ensure_future(self._answer())
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            else:
                return

    async def _answer(self) -> None:
        request = _decode_request(self.head, bytes(self.body))
        try:
            response = await self.server.handler(request)
        except Exception as err:
            # One request must not end the process or its connection.
            log_event(
                "http_handler_failed",
                "error",
                path=request.path,
                error=repr(err),
            )
            response = HttpResponse(500)
        self._send(response)
        self.task = None
        self._restart_timer()
        if self.http.our_state is h11.DONE is self.http.their_state:
            self.http.start_next_cycle()
            self._advance()
        else:
            self.close()

    def _send(self, response: HttpResponse) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        names = {name.lower() for name, _ in response.headers}
        if response.body and "content-type" not in names:
            headers.append(("Content-Type", "application/json"))
        headers += response.headers
        parts = [
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        ]
        data = b"".join(self.http.send(part) or b"" for part in parts)
        self.transport.write(data)

    def _refuse(self, status: int) -> None:
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(
                HttpResponse(status, headers=(("Connection", "close"),))
            )
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


def _path(head: h11.Request) -> str:
    return head.target.decode("latin-1").partition("?")[0]


def _decode_request(head: h11.Request, body: bytes) -> HttpRequest:
    _, _, query = head.target.decode("latin-1").partition("?")
    return HttpRequest(
        method=head.method.decode("latin-1"),
        path=_path(head),
        query=_decode_query(query),
        headers={
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        },
        body=body,
    )


def _decode_query(query: str) -> dict[str, str]:
    """Return the parameters of a query string."""
    if not query:
        return {}
    # Hardly any request has a query, and the import delays the start.
    import urllib.parse

    return dict(urllib.parse.parse_qsl(query))
