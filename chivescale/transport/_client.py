"""Client side of the transport."""

import asyncio
import collections.abc
import ssl
import typing

import aiohttp
import yarl

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import ErrorBody, decode, encode
from chivescale.transport._signature import (
    DEADLINE_HEADER,
    SIGNATURE_HEADER,
    sign,
)

T = typing.TypeVar("T")

# Idle connections are closed early because a silent one costs a whole
# timeout when it is used again.
KEEPALIVE_S = 15.0


Count = collections.abc.Callable[[str, int], None]
# Method, version and status of the first line, and the empty line.
START_LINE_BYTES = 20
HEADER_MARK_BYTES = 4


def message_size(
    path: str, headers: collections.abc.Iterable, body: bytes
) -> int:
    """Return the bytes of an HTTP message, to within a few."""
    lines = sum(
        len(name) + len(value) + HEADER_MARK_BYTES for name, value in headers
    )
    return START_LINE_BYTES + len(path) + lines + len(body)


class Client:
    """Sends signed requests, with one connection pool per address.

    Parameters
    ----------
    secret : bytes
        Shared secret.
    tls : ssl.SSLContext, optional
        Client context; plain TCP when absent.
    count : callable, optional
        Called as ``count(direction, size)`` with the bytes of each request
        (``out``) and answer (``in``).
    """

    def __init__(
        self,
        secret: bytes,
        tls: ssl.SSLContext | None = None,
        count: Count | None = None,
    ):
        self.secret = secret
        self.tls = tls
        self.count = count
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.retired: set[asyncio.Task] = set()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        reply_type: type[T],
        body: object = None,
        *,
        timeout_s: float = 1.0,
        fresh: bool = False,
    ) -> T | Failure:
        """Send one request and decode the answer.

        A timeout also drops the pooled connections to the address: if one
        of them went silent, its siblings probably did too.

        Parameters
        ----------
        address : str
            ``ip:port``.
        method, path : str
            Request line; `path` may have a query.
        reply_type : type
            Type of a successful answer.
        body : object, optional
            Message to encode.
        timeout_s : float
            Limit for the whole call.
        fresh : bool
            Open a new connection for this call, as a probe must.

        Returns
        -------
        reply or Failure
            ``UNREACHABLE`` if no connection could be opened (the request
            did not leave), ``TIMEOUT`` if the outcome is unknown, or the
            failure that the server named.
        """
        data = b"" if body is None else encode(body)
        headers = self._headers(method, path, data, timeout_s)
        session = self._new_session() if fresh else self._session(address)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(
                    session, address, method, path, data, headers, reply_type
                )
        except aiohttp.ClientConnectorError as err:
            return Failure(ErrorKind.UNREACHABLE, f"{address}: {err}")
        except TimeoutError:
            self.drop(address)
            reason = f"{address}{path}: no answer in {timeout_s:g} s"
            return Failure(ErrorKind.TIMEOUT, reason)
        except (aiohttp.ClientError, OSError) as err:
            return Failure(ErrorKind.TIMEOUT, f"{address}{path}: {err!r}")
        finally:
            if fresh:
                await session.close()

    async def _exchange(
        self, session, address, method, path, data, headers, reply_type
    ):
        scheme = "https" if self.tls else "http"
        url = yarl.URL(f"{scheme}://{address}{path}", encoded=True)
        async with session.request(
            method, url, data=data, headers=headers, ssl=self.tls or True
        ) as answer:
            content = await answer.read()
            if self.count is not None:
                sent = answer.request_info.headers.items()
                self.count("out", message_size(path, sent, data))
                self.count("in", message_size("", answer.raw_headers, content))
            if answer.status == 200:
                return decode(content, reply_type)
            return _failure(content, answer.status)

    def _headers(self, method, path, data, timeout_s):
        return {
            SIGNATURE_HEADER: sign(self.secret, method, path, data),
            DEADLINE_HEADER: str(int(timeout_s * 1000)),
            "Content-Type": "application/json",
        }

    def _session(self, address: str) -> aiohttp.ClientSession:
        session = self.sessions.get(address)
        if session is None:
            session = self.sessions[address] = self._new_session()
        return session

    def _new_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEPALIVE_S, force_close=False
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None),
        )

    def drop(self, address: str) -> None:
        """Stop using the pooled connections to an address."""
        session = self.sessions.pop(address, None)
        if session is None:
            return
        task = asyncio.ensure_future(_close_later(session))
        self.retired.add(task)
        task.add_done_callback(self.retired.discard)

    async def close(self) -> None:
        """Close every connection."""
        for session in list(self.sessions.values()):
            await session.close()
        self.sessions.clear()
        for task in list(self.retired):
            task.cancel()
        await asyncio.gather(*self.retired, return_exceptions=True)


async def _close_later(session: aiohttp.ClientSession) -> None:
    """Let other calls on the session end before it closes."""
    try:
        await asyncio.sleep(KEEPALIVE_S)
    finally:
        await session.close()


def _failure(content: bytes, status: int) -> Failure:
    body = decode(content, ErrorBody)
    if isinstance(body, Failure):
        reason = f"status {status} without an error body"
        return Failure(ErrorKind.MESSAGE_INVALID, reason)
    try:
        kind = ErrorKind(body.kind)
    except ValueError:
        return Failure(ErrorKind.INTERNAL, f"{body.kind}: {body.reason}")
    return Failure(kind, body.reason, leader_address=body.leader_address)
