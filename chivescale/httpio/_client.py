"""Client side of HTTP."""

import asyncio
import collections.abc
import typing

import h11

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.httpio._server import HttpResponse
from chivescale.lines import keep_alive
from chivescale.messages import ErrorBody, decode, encode

T = typing.TypeVar("T")

CONNECT_TIMEOUT_S = 0.5
# More idle connections to one address are closed.
MAX_IDLE_CONNECTIONS = 4
IDLE_CONNECTION_S = 20.0
# While an answer arrives, its call does not time out before this time without
# a further byte, up to the limit that the caller has set.
STALL_S = 0.4


class HttpClient:
    """Keeps connections open between requests, per address.

    `call` has the interface of `chivescale.transport.Client`, so the
    agreement works over either.
    """

    def __init__(self):
        self.idle: dict[str, list[_ClientConnection]] = {}

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        reply_type: type[T],
        body: object = None,
        *,
        timeout_s: float = 1.0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        transfer_s: float = 0.0,
        fresh: bool = False,
    ) -> T | Failure:
        """Send a message and decode the answer.

        Parameters
        ----------
        timeout_s : float
            Time in seconds for the whole call.
        connect_timeout_s : float
            Time in seconds for opening a connection, if none is open.
        transfer_s : float
            Further time in seconds as long as the answer goes on arriving,
            which a large one over a slow link needs.
        fresh : bool
            Whether to open a new connection in any case.

        Returns
        -------
        reply or Failure
            ``UNREACHABLE`` if the request did not leave, ``TIMEOUT`` if
            its outcome is unknown, or the failure that the server named.
        """
        content = b"" if body is None else encode(body)
        answer = await self.send(
            address,
            method,
            path,
            content,
            timeout_s=timeout_s,
            connect_timeout_s=connect_timeout_s,
            transfer_s=transfer_s,
            fresh=fresh,
        )
        if is_failure(answer):
            return answer
        if answer.status == 200:
            return decode(answer.body, reply_type)
        named = decode(answer.body, ErrorBody)
        if is_failure(named):
            reason = f"{address}{path}: status {answer.status}"
            return Failure(ErrorKind.MESSAGE_INVALID, reason)
        try:
            kind = ErrorKind(named.kind)
        except ValueError:
            return Failure(ErrorKind.INTERNAL, f"{named.kind}: {named.reason}")
        return Failure(kind, named.reason, leader_address=named.leader_address)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        *,
        timeout_s: float = 1.0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        transfer_s: float = 0.0,
        fresh: bool = False,
    ) -> HttpResponse | Failure:
        """Send one request and return the response, whatever its status."""
        sent = False
        connection = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = None if fresh else self._take(address)
                if connection is None:
                    connection = await _connect(address, connect_timeout_s)
                sent = True
                connection.on_data = _extension(limit, transfer_s)
                response = await connection.exchange(
                    _encode_request(address, method, path, body, headers)
                )
        except TimeoutError:
            self._drop(address, connection)
            kind = ErrorKind.TIMEOUT if sent else ErrorKind.UNREACHABLE
            limit_s = timeout_s if sent else min(timeout_s, connect_timeout_s)
            reason = f"{address}{path}: no answer in {limit_s:g} s"
            return Failure(kind, reason)
        except (OSError, h11.ProtocolError) as err:
            self._drop(address, connection)
            kind = ErrorKind.TIMEOUT if sent else ErrorKind.UNREACHABLE
            return Failure(kind, f"{address}{path}: {err!r}")
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._give_back(address, connection)
        return response

    def _take(self, address: str) -> "_ClientConnection | None":
        waiting = self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
            age = clock.now() - connection.idle_since
            if connection.usable and age < IDLE_CONNECTION_S:
                return connection
            connection.close()
        return None

    def _give_back(self, address: str, connection) -> None:
        waiting = self.idle.setdefault(address, [])
        if connection.usable and len(waiting) < MAX_IDLE_CONNECTIONS:
            connection.idle_since = clock.now()
            waiting.append(connection)
        else:
            connection.close()

    def _drop(self, address: str, connection) -> None:
        """Close a failed connection and its idle siblings.

        If one connection went silent, its siblings probably did too.
        """
        if connection is not None:
            connection.close()
        for sibling in self.idle.pop(address, []):
            sibling.close()

    async def close(self) -> None:
        """Close every idle connection."""
        for address in list(self.idle):
            self._drop(address, None)


async def _connect(address: str, timeout_s: float) -> "_ClientConnection":
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                _ClientConnection, host, int(port)
            )
    except (ValueError, OverflowError) as err:
        raise OSError(f"not an address: {err!r}") from err
    return connection


def _extension(limit: asyncio.Timeout, transfer_s: float):
    """Return a function that extends a time-out when bytes arrive."""
    latest = limit.when() + transfer_s
    loop = asyncio.get_running_loop()

    def extend() -> None:
        when = min(latest, loop.time() + STALL_S)
        if when > limit.when() and not limit.expired():
            limit.reschedule(when)

    return extend


def _encode_request(address, method, path, body, headers) -> tuple:
    lines = [("Host", address), ("Content-Length", str(len(body)))]
    if body:
        lines.append(("Content-Type", "application/json"))
    request = h11.Request(
        method=method, target=path, headers=[*lines, *headers]
    )
    return (request, h11.Data(data=body), h11.EndOfMessage())


class _ClientConnection(asyncio.Protocol):
    """One connection with at most one request at a time."""

    def __init__(self):
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.on_data: collections.abc.Callable[[], None] | None = None
        self.status = 0
        self.headers: tuple = ()
        self.body = bytearray()
        self.idle_since = 0.0
        self.lost = False

    @property
    def usable(self) -> bool:
        """Whether another request can be sent."""
        return not self.lost and self.http.our_state is h11.IDLE

    def connection_made(self, transport) -> None:
        self.transport = transport
        keep_alive(transport)

    async def exchange(self, events: tuple) -> HttpResponse:
        self.waiter = asyncio.get_running_loop().create_future()
        self.body = bytearray()
        data = b"".join(self.http.send(event) or b"" for event in events)
        self.transport.write(data)
        return await self.waiter

    def data_received(self, data: bytes) -> None:
        if self.on_data is not None:
            self.on_data()
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.ProtocolError as err:
            self._fail(err)

    def _read_events(self) -> None:
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = tuple(
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers
                )
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            else:
                return

    def _finish(self) -> None:
        self.on_data = None
        response = HttpResponse(self.status, bytes(self.body), self.headers)
        if self.http.our_state is h11.DONE is self.http.their_state:
            self.http.start_next_cycle()
        else:
            self.lost = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(response)

    def _fail(self, error: Exception) -> None:
        self.lost = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error) -> None:
        self.lost = True
        if self.waiter is not None and not self.waiter.done():
            error = error or ConnectionResetError("closed by peer")
            self.waiter.set_exception(error)

    def close(self) -> None:
        self.lost = True
        if self.transport is not None:
            self.transport.abort()
