"""Server side of the transport."""

import collections.abc
import ssl
import typing

import msgspec
from aiohttp import web

from chivescale import clock
from chivescale.errors import KIND_TABLE, ErrorKind, Failure, is_failure
from chivescale.messages import ErrorBody, decode, encode
from chivescale.telemetry import log_event
from chivescale.transport._client import Count, message_size
from chivescale.transport._signature import (
    DEADLINE_HEADER,
    SIGNATURE_HEADER,
    verify,
)

BODY_LIMIT_BYTES = 1 << 20
# Date, Server and Content-Length, which aiohttp adds when it sends.
SERVER_HEADER_BYTES = 100
DEFAULT_DEADLINE_S = 5.0
MAX_DEADLINE_S = 60.0


class Request(msgspec.Struct):
    """A decoded request.

    Attributes
    ----------
    body : object
        Decoded message; None if the route has no body type.
    query : dict of str
        Query parameters.
    deadline : float
        Monotonic time in seconds after which nobody waits for the answer.
    connection : object
        Identity of the connection that carries the request.
    """

    body: typing.Any
    query: dict[str, str]
    deadline: float
    connection: typing.Any = None


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[typing.Any]
]


class Route(msgspec.Struct, frozen=True):
    """Binds a request line to a handler.

    Attributes
    ----------
    method, path : str
        Request line without the query.
    handler : callable
        ``async (Request) -> message or Failure``.
    body_type : type, optional
        Type of the body; None for no body.
    body_limit : int
        Largest body, in bytes.
    signed : bool
        Whether the shared secret is required.
    """

    method: str
    path: str
    handler: Handler
    body_type: typing.Any = None
    body_limit: int = BODY_LIMIT_BYTES
    signed: bool = True


class Server:
    """Serves routes on one address.

    Parameters
    ----------
    secret : bytes
        Shared secret.
    routes : list of Route
        What is served.
    tls : ssl.SSLContext, optional
        Server context.
    count : callable, optional
        Called as ``count(direction, size)`` with the bytes of each request
        (``in``) and answer (``out``).
    """

    def __init__(
        self,
        secret: bytes,
        routes: list[Route],
        tls: ssl.SSLContext | None = None,
        count: Count | None = None,
    ):
        self.count = count
        self.secret = secret
        self.routes = routes
        self.tls = tls
        self.runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        largest = max(route.body_limit for route in self.routes)
        app = web.Application(client_max_size=largest)
        for route in self.routes:
            app.router.add_route(route.method, route.path, self._bind(route))
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self.runner.setup()
        ip, _, port = address.rpartition(":")
        site = web.TCPSite(
            self.runner, ip, int(port), ssl_context=self.tls, backlog=1024
        )
        await site.start()

    async def close(self) -> None:
        """Stop listening and end open requests."""
        if self.runner is not None:
            await self.runner.cleanup()

    def _bind(self, route: Route):
        async def handle(http: web.Request) -> web.Response:
            response = await self._answer(route, http)
            if self.count is not None:
                self._count_exchange(http, response)
            return response

        return handle

    async def _answer(self, route: Route, http: web.Request) -> web.Response:
        request = await self._accept(route, http)
        if is_failure(request):
            return reply_failure(request)
        try:
            answer = await route.handler(request)
        except Exception as err:  # one request must not end the process
            log_event(
                "request_error", "error", path=route.path, error=repr(err)
            )
            answer = Failure(ErrorKind.INTERNAL, repr(err))
        if is_failure(answer):
            return reply_failure(answer)
        return web.Response(
            body=encode(answer), content_type="application/json"
        )

    def _count_exchange(
        self, http: web.Request, response: web.Response
    ) -> None:
        size = message_size(http.raw_path, http.raw_headers, b"")
        self.count("in", size + (http.content_length or 0))
        size = message_size("", response.headers.items(), response.body)
        self.count("out", size + SERVER_HEADER_BYTES)

    async def _accept(self, route: Route, http: web.Request):
        if (http.content_length or 0) > route.body_limit:
            return _too_large(route)
        try:
            body = await http.read()
        except web.HTTPRequestEntityTooLarge:
            return _too_large(route)
        if len(body) > route.body_limit:
            return _too_large(route)
        signature = http.headers.get(SIGNATURE_HEADER, "")
        line = http.raw_path
        if route.signed and not verify(
            self.secret, http.method, line, body, signature
        ):
            log_event(
                "signature_refused",
                "warning",
                path=route.path,
                peer=http.remote,
            )
            return Failure(ErrorKind.SIGNATURE_INVALID, "signature refused")
        message = None
        if route.body_type is not None:
            message = decode(body, route.body_type)
            if is_failure(message):
                return message
        return Request(
            message, dict(http.query), _deadline(http), http.transport
        )


def _deadline(http: web.Request) -> float:
    text = http.headers.get(DEADLINE_HEADER, "")
    seconds = int(text) / 1000 if text.isascii() and text.isdigit() else None
    if seconds is None:
        seconds = DEFAULT_DEADLINE_S
    return clock.now() + min(seconds, MAX_DEADLINE_S)


def _too_large(route: Route) -> Failure:
    reason = f"body over {route.body_limit} bytes"
    return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)


def reply_failure(failure: Failure) -> web.Response:
    """Return the HTTP answer for a failure."""
    body = ErrorBody(
        failure.kind.value, failure.reason, failure.leader_address
    )
    return web.Response(
        status=KIND_TABLE[failure.kind].http_status,
        body=encode(body),
        content_type="application/json",
    )
