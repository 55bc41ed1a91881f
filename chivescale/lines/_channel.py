"""A connection whose messages are lines ended by CR LF."""

import asyncio
import collections.abc
import socket

# A peer that does not acknowledge data for this long has no power or is
# behind a partition; callers' statement time-outs are of this order.
USER_TIMEOUT_MS = 1500
# Idle connections of dead peers end after about 8 s.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
LINE_END = b"\r\n"


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Let a connection fail whose peer has become unreachable.

    Unacknowledged data ends it after `USER_TIMEOUT_MS`; an idle one is
    probed.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class LineChannel(asyncio.Protocol):
    """Splits a byte stream into lines and hands them to its owner.

    Parameters
    ----------
    on_line : callable
        Called with each line, without its terminator.
    on_lost : callable
        Called once with a reason when the connection has ended.
    max_line_bytes : int
        A longer line ends the connection.
    """

    def __init__(
        self,
        on_line: collections.abc.Callable[[bytes], None],
        on_lost: collections.abc.Callable[[str], None],
        max_line_bytes: int,
    ):
        self.on_line = on_line
        self.on_lost = on_lost
        self.max_line_bytes = max_line_bytes
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-out of a peer that has become unreachable."""
        self.transport = transport
        keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Hand over the complete lines."""
        lines = (self.buffer + data).split(LINE_END)
        self.buffer = lines.pop()
        for line in lines:
            if self.closed:
                return
            if len(line) > self.max_line_bytes:
                self._overflow()
                return
            self.on_line(line)
        if len(self.buffer) > self.max_line_bytes:
            self._overflow()

    def _overflow(self) -> None:
        reason = f"line longer than {self.max_line_bytes} bytes"
        self._end(reason)
        self.transport.abort()

    def eof_received(self) -> None:
        """Close in answer to the peer's close."""

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner, once."""
        self._end(str(error) if error else "closed by peer")

    def _end(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self.on_lost(reason)

    def send(self, data: bytes) -> None:
        """Queue bytes for sending."""
        if not self.closed:
            self.transport.write(data)

    def close(self) -> None:
        """Close after the queued bytes; the owner is not called."""
        self.closed = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; the owner is not called."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
