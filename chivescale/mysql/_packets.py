"""Packets that mysql-mimic does not build or reads without bounds."""

import functools
import struct

import msgspec
from mysql_mimic.types import Capabilities, str_len, uint_len

from chivescale.errors import KIND_TABLE, ErrorKind, Failure
from chivescale.mysql._result import Column, format_commit

# Callers see the endpoint's own number for statement errors.
DEFAULT_ERRNO = 1105
DEFAULT_SQLSTATE = "HY000"
HANDSHAKE_FIXED_BYTES = 32
_pack_status = struct.Struct("<HH").pack


class MalformedPacket(Exception):
    """A packet that does not follow the protocol; ends the connection."""


class HandshakeResponse(msgspec.Struct):
    """Fields of the client's answer to the greeting.

    Attributes
    ----------
    wants_tls : bool
        Whether this is the short form that asks for TLS.
    """

    capabilities: Capabilities
    wants_tls: bool = False
    user: str = ""
    scramble: bytes = b""
    database: str = ""
    plugin: str = ""


class PacketReader:
    """Reads protocol fields within the bounds of one packet."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int = 0):
        self.data = data
        self.offset = offset

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        end = self.offset + size
        if end > len(self.data):
            raise MalformedPacket("packet ends inside a field")
        part = self.data[self.offset : end]
        self.offset = end
        return part

    def rest(self) -> bytes:
        """Return everything that is left."""
        return self.take(len(self.data) - self.offset)

    def integer(self, size: int, signed: bool = False) -> int:
        """Return a little-endian integer of `size` bytes."""
        return int.from_bytes(self.take(size), "little", signed=signed)

    def length(self) -> int:
        """Return a length-encoded integer."""
        first = self.integer(1)
        if first < 0xFB:
            return first
        size = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(first)
        if size is None:
            raise MalformedPacket("invalid length-encoded integer")
        return self.integer(size)

    def string(self) -> bytes:
        """Return a length-encoded string."""
        return self.take(self.length())

    def null_terminated(self) -> bytes:
        """Return a string up to its NUL byte."""
        end = self.data.find(b"\0", self.offset)
        if end < 0:
            raise MalformedPacket("string without an end")
        part = self.take(end - self.offset)
        self.offset += 1
        return part

    @property
    def left(self) -> int:
        """Number of unread bytes."""
        return len(self.data) - self.offset


def parse_handshake_response(
    data: bytes, offered: Capabilities
) -> HandshakeResponse:
    """Read the client's answer to the greeting.

    The library's own parser never returns when a terminator is missing.
    """
    reader = PacketReader(data)
    flags = Capabilities(reader.integer(4)) & offered
    reader.take(HANDSHAKE_FIXED_BYTES - 4)
    if not Capabilities.CLIENT_PROTOCOL_41 & flags:
        raise MalformedPacket("client without protocol 4.1")
    if not reader.left:
        return HandshakeResponse(flags, wants_tls=True)
    answer = HandshakeResponse(flags, user=_text(reader.null_terminated()))
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA & flags:
        answer.scramble = reader.string()
    else:
        answer.scramble = reader.take(reader.integer(1))
    # Some clients announce these fields and then leave them out.
    if Capabilities.CLIENT_CONNECT_WITH_DB & flags and reader.left:
        answer.database = _text(reader.null_terminated())
    if Capabilities.CLIENT_PLUGIN_AUTH & flags and reader.left:
        answer.plugin = _text(reader.null_terminated())
    return answer


def _text(data: bytes) -> str:
    return data.decode("utf-8", "replace")


def decode_sql(data: bytes) -> str:
    """Decode statement text; bytes that are no UTF-8 survive the trip.

    Drivers put raw bytes of binary values into the statement.
    """
    return data.decode("utf-8", "surrogateescape")


def make_error(failure: Failure, prefix: bool = True) -> bytes:
    """Return the error packet for a failure.

    Parameters
    ----------
    failure : Failure
        What to tell the caller.
    prefix : bool
        Whether the message starts with the kind in brackets.
    """
    row = KIND_TABLE[failure.kind]
    errno, sqlstate = row.errno, row.sqlstate
    if failure.kind is ErrorKind.STATEMENT_FAILED:
        errno = failure.errno or DEFAULT_ERRNO
        sqlstate = failure.sqlstate or DEFAULT_SQLSTATE
    text = failure.reason
    if prefix:
        text = f"[{failure.kind.value}] {text}"
    return b"".join(
        (
            b"\xff",
            struct.pack("<H", errno),
            b"#",
            sqlstate.encode()[:5].ljust(5, b"0"),
            text.encode("utf-8", "replace"),
        )
    )


def make_ok(status: int, result=None, eof: bool = False) -> bytes:
    """Return an OK packet with the counts and the position of `result`.

    Parameters
    ----------
    status : int
        Status flags.
    result : QueryResult, optional
        Outcome to describe.
    eof : bool
        Whether the packet ends rows.
    """
    if result is None:
        return b"\0\0\0" + _pack_status(status, 0)
    head = b"\xfe\0\0"
    if not eof:
        affected = uint_len(result.affected_rows)
        head = b"\0" + affected + uint_len(result.last_insert_id)
    packet = head + _pack_status(status, min(result.warnings, 0xFFFF))
    if result.commit is not None:
        packet += format_commit(result.commit).encode()
    return packet


def make_eof(status: int, warnings: int = 0) -> bytes:
    """Return the packet that ends columns or rows for older clients."""
    return b"\xfe" + _pack_status(min(warnings, 0xFFFF), status)


@functools.lru_cache(maxsize=4096)
def make_column_definition(column: Column) -> bytes:
    """Return the definition packet of one column."""
    name = str_len(column.name.encode("utf-8", "surrogateescape"))
    return b"".join(
        (
            b"\x03def\0\0\0",
            name,
            name,
            b"\x0c",
            struct.pack(
                "<HIBHB",
                column.charset,
                column.length,
                column.type,
                column.flags,
                column.decimals,
            ),
            b"\0\0",
        )
    )


def encode_text_value(value: object) -> bytes:
    """Return a value as the text protocol sends it, without its length."""
    if isinstance(value, bytes):
        return value
    if isinstance(value, bool):
        return b"1" if value else b"0"
    return str(value).encode("utf-8", "surrogateescape")


def make_text_row(row: tuple) -> bytes:
    """Return a row packet of the text protocol."""
    parts = []
    for value in row:
        if value is None:
            parts.append(b"\xfb")
            continue
        if type(value) is not bytes:
            value = encode_text_value(value)
        parts.append(uint_len(len(value)))
        parts.append(value)
    return b"".join(parts)
