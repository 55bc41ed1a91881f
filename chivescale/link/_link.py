"""One connection to an endpoint."""

import asyncio
import collections

import msgspec

from chivescale import clock
from chivescale.dialect import (
    AnswerEnd,
    Completed,
    EndpointDialect,
    Refused,
    Reply,
    Row,
    TransactionState,
)
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.lines import LineChannel
from chivescale.messages import Position


class _Exchange(msgspec.Struct):
    """Statements under way and the answers so far."""

    expected: int
    future: asyncio.Future
    replies: list[Reply] = msgspec.field(default_factory=list)


class Link:
    """A session with an endpoint; statements run one after the other.

    Attributes
    ----------
    values : dict of str to str
        Session values that the endpoint has acknowledged.
    prepared : dict
        Name of each statement that the endpoint has prepared.
    state : TransactionState
        After the last answer.
    usable : bool
        False once the connection is lost or its state is unknown.
    last_session : object
        Caller that used the link last.
    used_at : float
        When the link was last returned to its pool.
    """

    def __init__(self, dialect: EndpointDialect):
        self.dialect = dialect
        self.channel = LineChannel(
            self._on_line, self._on_lost, dialect.max_message_bytes
        )
        self.exchanges: collections.deque[_Exchange] = collections.deque()
        self.current = Reply([])
        self.values: dict[str, str] = {}
        self.prepared: dict[object, str] = {}
        self.state = TransactionState.IDLE
        self.usable = True
        self.last_session: object = None
        self.used_at = 0.0

    async def exchange(
        self, data: bytes, expected: int, timeout_s: float
    ) -> list[Reply] | Failure:
        """Send statements and wait for all their answers.

        Parameters
        ----------
        data : bytes
            Encoded statements.
        expected : int
            Number of answers.
        timeout_s : float
            Limit for all of them; the link is closed when it is reached.

        Returns
        -------
        list of Reply or Failure
            ``UNREACHABLE`` if nothing has left, ``READ_INTERRUPTED`` if
            the connection ended, ``TIMEOUT`` if an answer did not come.
        """
        if not self.usable:
            return Failure(ErrorKind.UNREACHABLE, "connection is closed")
        future = asyncio.get_running_loop().create_future()
        self.exchanges.append(_Exchange(expected, future))
        self.channel.send(data)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            self.abort()
            reason = f"no answer in {timeout_s:.3f} s"
            return Failure(ErrorKind.TIMEOUT, reason)

    async def statement(
        self, text: str, timeout_s: float, request_id: str = ""
    ) -> Reply | Failure:
        """Run one statement."""
        data = self.dialect.query(request_id, text)
        replies = await self.exchange(data, 1, timeout_s)
        return replies if is_failure(replies) else replies[0]

    def _on_line(self, line: bytes) -> None:
        part = self.dialect.decode(line)
        match part:
            case Row(data):
                self.current.rows.append(data)
            case Completed(signature):
                self.current.signature = signature
            case Refused():
                self.current.refusal = part
            case AnswerEnd(state, position):
                self._end_answer(state, position)
            case Failure():
                self._break(f"answer cannot be read: {part.reason}")

    def _end_answer(
        self, state: TransactionState, position: Position | None
    ) -> None:
        reply, self.current = self.current, Reply([])
        self.state = reply.state = state
        reply.position = position
        if not self.exchanges:
            self._break("answer to no statement")
            return
        exchange = self.exchanges[0]
        exchange.replies.append(reply)
        if len(exchange.replies) == exchange.expected:
            self.exchanges.popleft()
            if not exchange.future.done():
                exchange.future.set_result(exchange.replies)

    def _break(self, reason: str) -> None:
        self.channel.abort()
        self._on_lost(reason)

    def _on_lost(self, reason: str) -> None:
        self.usable = False
        # An error before a close, as in a refused first message, says more
        # than the close itself.
        refusal = self.current.refusal
        if refusal is not None:
            failure = Failure(refusal.kind, refusal.detail)
        else:
            failure = Failure(ErrorKind.READ_INTERRUPTED, reason)
        for exchange in self.exchanges:
            if not exchange.future.done():
                exchange.future.set_result(failure)
        self.exchanges.clear()

    def close(self) -> None:
        """End the session in good order."""
        if self.usable:
            self.usable = False
            self.channel.send(self.dialect.close())
        self.channel.close()

    def abort(self) -> None:
        """End the session at once; the endpoint rolls back."""
        self.usable = False
        self.channel.abort()
        self._on_lost("closed")


async def open_link(
    dialect: EndpointDialect,
    address: str,
    service: str,
    endpoint: str,
    timeout_s: float,
) -> Link | Failure:
    """Connect to an endpoint and check that it is the expected one.

    Returns
    -------
    Link or Failure
        ``CONNECTION_REFUSED``, ``UNREACHABLE``, or the refusal of the
        endpoint. No statement has left.
    """
    link = Link(dialect)
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    started = clock.now()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: link.channel, host, int(port))
    except ConnectionRefusedError as err:
        return Failure(ErrorKind.CONNECTION_REFUSED, f"{address}: {err}")
    except (OSError, TimeoutError) as err:
        return Failure(ErrorKind.UNREACHABLE, f"{address}: {err!r}")
    left = max(0.001, timeout_s - (clock.now() - started))
    replies = await link.exchange(dialect.open(service, endpoint), 1, left)
    if is_failure(replies):
        link.abort()
        kind = replies.kind
        if kind in (ErrorKind.TIMEOUT, ErrorKind.READ_INTERRUPTED):
            kind = ErrorKind.UNREACHABLE
        return Failure(kind, f"{address}: {replies.reason}")
    refusal = replies[0].refusal
    if refusal is not None:
        link.abort()
        return Failure(refusal.kind, f"{address}: {refusal.detail}")
    return link


async def can_connect(address: str, timeout_s: float) -> bool:
    """Tell whether a machine answers an attempt to connect.

    A refused connection is an answer: the machine runs and is reachable.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(
                asyncio.Protocol, host, int(port)
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    transport.abort()
    return True
