"""Byte streams of the caller side."""

import asyncio
import collections.abc
import socket

from chivescale.mysql._packets import MalformedPacket

HEADER_BYTES = 4
MAX_FRAME_BYTES = 0xFFFFFF
READ_BUFFER_BYTES = 1 << 16
# Enough for user, scramble, database and connection attributes.
MAX_HANDSHAKE_BYTES = 1 << 16
_BYTES = [bytes((number,)) for number in range(256)]


class ConnectionEnded(Exception):
    """The caller closed the connection between two packets."""


class PacketTooLarge(Exception):
    """A command exceeds the limit."""


class WatchedReader(asyncio.StreamReader):
    """Reader that tells at once when the peer closes the connection.

    While a statement runs nobody reads, so the end of the stream would
    otherwise go unnoticed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(limit=READ_BUFFER_BYTES, loop=loop)
        self.on_end: collections.abc.Callable[[], None] | None = None

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        return bool(self._buffer)

    def feed_eof(self) -> None:
        super().feed_eof()
        if self.on_end is not None:
            self.on_end()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        if self.on_end is not None:
            self.on_end()


class PacketStream:
    """Packets with a size limit and checked sequence numbers.

    The library's stream reads without a limit and drains every answer in
    several steps, so it is not used.

    Parameters
    ----------
    reader, writer
        Streams of the connection.
    sequence : int
        Number that the next packet must have.
    limit : int
        Largest command, in bytes.
    write_s : float
        Limit for one answer.

    Attributes
    ----------
    receiving : bool
        Whether a part of a packet has been read.
    """

    def __init__(self, reader, writer, sequence: int, limit: int, write_s):
        self.reader = reader
        self.writer = writer
        self.sequence = sequence
        self.limit = limit
        self.write_s = write_s
        self.receiving = False

    async def read(self) -> bytes:
        """Return the next packet.

        Raises
        ------
        ConnectionEnded
            If the stream ends, also inside a packet.
        PacketTooLarge, MalformedPacket
            If the packet breaks the limit or the protocol.
        """
        data = b""
        while True:
            try:
                header = await self.reader.readexactly(HEADER_BYTES)
                self.receiving = True
                size = int.from_bytes(header[:3], "little")
                if header[3] != self.sequence:
                    raise MalformedPacket("packets out of order")
                self.sequence = (self.sequence + 1) & 0xFF
                if len(data) + size > self.limit:
                    await self._discard(size)
                    raise PacketTooLarge()
                data += await self.reader.readexactly(size)
            except (asyncio.IncompleteReadError, OSError) as err:
                raise ConnectionEnded() from err
            if size < MAX_FRAME_BYTES:
                self.receiving = False
                return data

    async def _discard(self, size: int) -> None:
        """Read past a refused packet.

        Closing with unread data would reset the connection, and the error
        packet could be lost with it.
        """
        try:
            async with asyncio.timeout(1.0):
                while size > 0:
                    part = await self.reader.read(min(size, READ_BUFFER_BYTES))
                    size = size - len(part) if part else 0
        except TimeoutError:
            return

    def start_command(self) -> None:
        """Expect the first packet of a new command."""
        self.sequence = 0

    async def send(self, packets: list[bytes]) -> None:
        """Write packets and wait until the transport took them.

        Raises
        ------
        TimeoutError
            If the caller does not read for the time allowed.
        """
        parts = []
        for packet in packets:
            self._frame(packet, parts)
        self.writer.write(b"".join(parts))
        if self.writer.transport.get_write_buffer_size():
            async with asyncio.timeout(self.write_s):
                await self.writer.drain()

    def _frame(self, packet: bytes, parts: list[bytes]) -> None:
        """Add a packet with its headers, split where it is too long."""
        while True:
            size = min(len(packet), MAX_FRAME_BYTES)
            parts.append(size.to_bytes(3, "little") + _BYTES[self.sequence])
            self.sequence = (self.sequence + 1) & 0xFF
            if size < MAX_FRAME_BYTES:
                parts.append(packet)
                return
            parts.append(packet[:size])
            packet = packet[size:]

    def close(self, abort: bool = False) -> None:
        """Close the connection, at once and without a flush on `abort`."""
        if abort:
            self.writer.transport.abort()
        else:
            self.writer.close()


def frame(sequence: int, payload: bytes) -> bytes:
    """Return one packet with its header."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


async def receive_packet(sock: socket.socket, sequence: int) -> bytes:
    """Read exactly one packet from a socket.

    The answer to the greeting is read this way because the bytes after it
    may already belong to the TLS handshake.
    """
    header = await _receive(sock, HEADER_BYTES)
    size = int.from_bytes(header[:3], "little")
    if header[3] != sequence or size > MAX_HANDSHAKE_BYTES:
        raise MalformedPacket("invalid handshake packet")
    return await _receive(sock, size)


async def _receive(sock: socket.socket, size: int) -> bytes:
    loop = asyncio.get_running_loop()
    data = b""
    while len(data) < size:
        part = await loop.sock_recv(sock, size - len(data))
        if not part:
            raise ConnectionEnded()
        data += part
    return data
