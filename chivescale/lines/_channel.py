"""Connection whose messages are lines terminated by CR LF."""

import asyncio
import collections.abc
import socket

# Data unacknowledged for this long means that the peer has lost power or is
# partitioned. The value is of the order of clients' statement timeouts.
TCP_USER_TIMEOUT_MS = 1500
# Together these close an idle connection to a dead peer after about 8 s.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
LINE_END = b"\r\n"


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Make a connection fail when its peer becomes unreachable.

    The connection is closed when sent data stays unacknowledged for
    `TCP_USER_TIMEOUT_MS`; an idle connection is probed.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class LineChannel(asyncio.Protocol):
    """Splits a byte stream into lines and passes them to a callback.

    Parameters
    ----------
    on_line : callable
        Called with each line, without the line terminator.
    on_lost : callable
        Called once, with a reason, when the connection ends for a cause
        other than `close` or `abort`.
    max_line_bytes : int
        A longer line closes the connection.
    """

    def __init__(
        self,
        on_line: collections.abc.Callable[[bytes], None],
        on_disconnect: collections.abc.Callable[[str], None],
        max_line_bytes: int,
    ):
        self.on_line = on_line
        self.on_disconnect = on_disconnect
        self.max_line_bytes = max_line_bytes
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead-peer detection."""
        self.transport = transport
        keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Pass complete lines to `on_line` and buffer the rest."""
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
        self._notify_disconnect(reason)
        self.transport.abort()

    def eof_received(self) -> None:
        """Close the transport when the peer closes its side."""

    def connection_lost(self, error: Exception | None) -> None:
        """Call `on_disconnect` unless the channel is already closed."""
        self._notify_disconnect(str(error) if error else "closed by peer")

    def _notify_disconnect(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self.on_disconnect(reason)

    def send(self, data: bytes) -> None:
        """Queue bytes for sending; ignored on a closed channel."""
        if not self.closed:
            self.transport.write(data)

    def close(self) -> None:
        """Close once queued bytes are sent, without `on_disconnect`."""
        self.closed = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately, without calling `on_disconnect`."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
