"""Connection to an endpoint."""

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


class _PendingBatch(msgspec.Struct):
    """Pipelined statements and the replies received so far."""

    reply_count: int
    future: asyncio.Future
    replies: list[Reply] = msgspec.field(default_factory=list)


class Link:
    """Connection to an endpoint that runs statements sequentially.

    Attributes
    ----------
    values : dict of str to str
        Session variables that the endpoint has acknowledged.
    prepared : dict
        Maps each prepared statement to its name on this connection.
    state : TransactionState
        Transaction state after the last reply.
    usable : bool
        False once the connection is lost or its state is unknown.
    last_session : object
        Client session that last used the connection.
    used_at : float
        When the connection was last returned to its pool.
    workspace : str
        Workspace for which the connection was opened; empty if for none.
    """

    def __init__(self, dialect: EndpointDialect, workspace: str = ""):
        self.dialect = dialect
        self.workspace = workspace
        self.channel = LineChannel(
            self._on_line, self._on_disconnect, dialect.max_message_bytes
        )
        self.pending: collections.deque[_PendingBatch] = collections.deque()
        self.partial_reply = Reply([])
        self.values: dict[str, str] = {}
        self.prepared: dict[object, str] = {}
        self.state = TransactionState.IDLE
        self.usable = True
        self.last_session: object = None
        self.used_at = 0.0

    async def exchange(
        self, data: bytes, reply_count: int, timeout_s: float
    ) -> list[Reply] | Failure:
        """Send pipelined statements and wait for all replies.

        Parameters
        ----------
        data : bytes
            Encoded statements.
        reply_count : int
            Number of replies to wait for.
        timeout_s : float
            Time limit for all replies; the connection is closed when it is
            exceeded.

        Returns
        -------
        list of Reply or Failure
            ``UNREACHABLE`` if nothing was sent, ``READ_INTERRUPTED`` if the
            connection was lost, ``TIMEOUT`` if a reply is missing.
        """
        if not self.usable:
            return Failure(ErrorKind.UNREACHABLE, "connection is closed")
        future = asyncio.get_running_loop().create_future()
        self.pending.append(_PendingBatch(reply_count, future))
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
        message = self.dialect.decode(line)
        match message:
            case Row(data):
                self.partial_reply.rows.append(data)
            case Completed(signature):
                self.partial_reply.signature = signature
            case Refused():
                self.partial_reply.refusal = message
            case AnswerEnd(state, position):
                self._complete_reply(state, position)
            case Failure():
                self._fail(f"cannot decode reply: {message.reason}")

    def _complete_reply(
        self, state: TransactionState, position: Position | None
    ) -> None:
        reply, self.partial_reply = self.partial_reply, Reply([])
        self.state = reply.state = state
        reply.position = position
        if not self.pending:
            self._fail("reply without a pending statement")
            return
        batch = self.pending[0]
        batch.replies.append(reply)
        if len(batch.replies) == batch.reply_count:
            self.pending.popleft()
            if not batch.future.done():
                batch.future.set_result(batch.replies)

    def _fail(self, reason: str) -> None:
        self.channel.abort()
        self._on_disconnect(reason)

    def _on_disconnect(self, reason: str) -> None:
        self.usable = False
        # An endpoint that rejects the first message sends an error and then
        # closes; the error is more specific than the close.
        refusal = self.partial_reply.refusal
        if refusal is not None:
            failure = Failure(refusal.kind, refusal.detail)
        else:
            failure = Failure(ErrorKind.READ_INTERRUPTED, reason)
        for batch in self.pending:
            if not batch.future.done():
                batch.future.set_result(failure)
        self.pending.clear()

    def close(self) -> None:
        """Close the connection gracefully."""
        if self.usable:
            self.usable = False
            self.channel.send(self.dialect.close())
        self.channel.close()

    def abort(self) -> None:
        """Close immediately; the endpoint rolls back any transaction."""
        self.usable = False
        self.channel.abort()
        self._on_disconnect("closed")


async def open_link(
    dialect: EndpointDialect,
    address: str,
    service: str,
    endpoint: str,
    timeout_s: float,
    workspace: str = "",
) -> Link | Failure:
    """Connect to an endpoint and verify its identity.

    Returns
    -------
    Link or Failure
        ``CONNECTION_REFUSED``, ``UNREACHABLE``, or the error that the
        endpoint returned. On failure no statement was sent.
    """
    link = Link(dialect, workspace)
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    started = clock.now()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: link.channel, host, int(port))
    except ConnectionRefusedError as err:
        return Failure(ErrorKind.CONNECTION_REFUSED, f"{address}: {err}")
    except (OSError, TimeoutError, ValueError, OverflowError) as err:
        # The last two are raised for a text that is no address.
        return Failure(ErrorKind.UNREACHABLE, f"{address}: {err!r}")
    remaining_s = max(0.001, timeout_s - (clock.now() - started))
    replies = await link.exchange(
        dialect.open(service, endpoint, workspace), 1, remaining_s
    )
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
    """Return whether a host responds to a connection attempt.

    A refused connection counts as a response: the host is running and
    reachable.
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
    except (OSError, TimeoutError, ValueError, OverflowError):
        return False
    transport.abort()
    return True
