"""Prepared statements by text substitution.

mysql-mimic also substitutes, but it neither escapes the values nor reads
dates and binary data, so values are read and quoted here.
"""

import math
import re
import struct

import msgspec
from mysql_mimic.types import ColumnType

from chivescale.mysql._packets import MalformedPacket, PacketReader, decode_sql

_PLACEHOLDER = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`[^`]*`"""
    r"""|--[ \t][^\n]*|\#[^\n]*|/\*.*?\*/|\?""",
    re.DOTALL,
)
_INTEGERS = {
    ColumnType.TINY: 1,
    ColumnType.BOOL: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.LONG: 4,
    ColumnType.INT24: 4,
    ColumnType.LONGLONG: 8,
}
_DATES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_DECIMALS = {ColumnType.DECIMAL, ColumnType.NEWDECIMAL}
_BLOBS = {
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
    ColumnType.BLOB,
}
_STRINGS = {
    ColumnType.VARCHAR,
    ColumnType.VAR_STRING,
    ColumnType.STRING,
    ColumnType.JSON,
    ColumnType.ENUM,
    ColumnType.SET,
}
_DECIMAL = re.compile(r"[+-]?\d+(\.\d*)?|[+-]?\.\d+")
_ESCAPES = str.maketrans(
    {"\\": "\\\\", "'": "\\'", "\0": "\\0", "\n": "\\n", "\r": "\\r"}
)
PARAM_COUNT_AVAILABLE = 0x08


class Prepared(msgspec.Struct):
    """A prepared statement of one connection.

    Attributes
    ----------
    parts : list of str
        Text around the placeholders.
    types : list of (int, bool)
        Type and unsignedness of each parameter in the last execution;
        clients send them only once.
    long_data : dict of bytearray
        Parameters sent ahead of the execution.
    """

    parts: list[str]
    types: list[tuple[int, bool]] = msgspec.field(default_factory=list)
    long_data: dict[int, bytearray] = msgspec.field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of placeholders."""
        return len(self.parts) - 1


def prepare(sql: str) -> Prepared:
    """Split a statement at its placeholders.

    Examples
    --------
    >>> prepare("SELECT '?', a FROM t WHERE b = ?").parts
    ["SELECT '?', a FROM t WHERE b = ", '']
    """
    parts, start = [], 0
    for match in _PLACEHOLDER.finditer(sql):
        if match.group() == "?":
            parts.append(sql[start : match.start()])
            start = match.end()
    return Prepared(parts + [sql[start:]])


def quote(value: object) -> str:
    """Return a value as a literal.

    Examples
    --------
    >>> quote("it's"), quote(b"\\x00\\xff"), quote(None), quote(1.5)
    ("'it\\\\'s'", "X'00ff'", 'NULL', '1.5')
    """
    if value is None:
        return "NULL"
    if isinstance(value, bytes):
        return f"X'{value.hex()}'"
    if isinstance(value, str):
        return f"'{value.translate(_ESCAPES)}'"
    return repr(value)


class Decimal(msgspec.Struct):
    """A decimal number that must not be quoted."""

    text: str

    def __repr__(self) -> str:
        return self.text


def read_execute(
    reader: PacketReader, statement: Prepared, flags: int, attributes: bool
) -> tuple[str, dict]:
    """Read the parameters of an execution and substitute them.

    Parameters
    ----------
    reader : PacketReader
        Packet, after its iteration count.
    statement : Prepared
        Statement to execute.
    flags : int
        Cursor flags of the packet.
    attributes : bool
        Whether the client sends query attributes.

    Returns
    -------
    sql, attrs : str, dict
        Statement text and query attributes.
    """
    count = statement.count
    if attributes and (count or flags & PARAM_COUNT_AVAILABLE):
        count = reader.length()
    if count < statement.count or count > 0xFFFF:
        raise MalformedPacket("wrong number of parameters")
    names, values = _read_values(reader, count, statement, attributes)
    sql = statement.parts[0]
    pieces = [sql]
    for index, part in enumerate(statement.parts[1:]):
        pieces += [quote(values[index]), part]
    rest = slice(statement.count, None)
    pairs = zip(names[rest], values[rest], strict=True)
    return "".join(pieces), {name: value for name, value in pairs if name}


def read_attributes(reader: PacketReader) -> dict:
    """Read the query attributes at the start of a text statement."""
    count = reader.length()
    reader.length()
    if count > 0xFF:
        raise MalformedPacket("too many query attributes")
    names, values = _read_values(reader, count, Prepared([""]), True)
    return {
        name: value for name, value in zip(names, values, strict=True) if name
    }


def _read_values(reader, count, statement, attributes):
    if not count:
        return [], []
    nulls = reader.take((count + 7) // 8)
    names = [""] * count
    if reader.integer(1):
        statement.types = []
        for index in range(count):
            kind, unsigned = reader.integer(1), reader.integer(1) & 0x80
            statement.types.append((kind, bool(unsigned)))
            if attributes:
                names[index] = decode_sql(reader.string())
    if len(statement.types) < count:
        raise MalformedPacket("parameters without types")
    values = []
    for index in range(count):
        kind, unsigned = statement.types[index]
        if index in statement.long_data:
            values.append(_convert(bytes(statement.long_data[index]), kind))
        elif nulls[index // 8] >> (index % 8) & 1:
            values.append(None)
        else:
            values.append(_read_value(reader, kind, unsigned))
    return names, values


def _read_value(reader: PacketReader, kind: int, unsigned: bool) -> object:
    if kind in _INTEGERS:
        return reader.integer(_INTEGERS[kind], signed=not unsigned)
    if kind == ColumnType.DOUBLE:
        return _finite(struct.unpack("<d", reader.take(8))[0])
    if kind == ColumnType.FLOAT:
        return _finite(struct.unpack("<f", reader.take(4))[0])
    if kind == ColumnType.NULL:
        return None
    if kind in _DATES:
        return _read_date(reader, kind)
    if kind == ColumnType.TIME:
        return _read_time(reader)
    return _convert(reader.string(), kind)


def _convert(data: bytes, kind: int) -> object:
    if kind in _BLOBS:
        # Drivers also send plain text with a blob type.
        try:
            text = data.decode("utf-8")
        except UnicodeDecodeError:
            return data
        return data if "\0" in text else text
    if kind in _STRINGS:
        return decode_sql(data)
    if kind in _DECIMALS:
        text = decode_sql(data)
        if not _DECIMAL.fullmatch(text):
            raise MalformedPacket("invalid decimal number")
        return Decimal(text)
    raise MalformedPacket(f"unsupported parameter type {kind}")


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def _read_date(reader: PacketReader, kind: int) -> str:
    size = reader.integer(1)
    if size not in (0, 4, 7, 11):
        raise MalformedPacket("invalid date")
    data = reader.take(size).ljust(11, b"\0")
    year, month, day, hour, minute, second, micros = struct.unpack(
        "<HBBBBBI", data
    )
    text = f"{year:04}-{month:02}-{day:02}"
    if kind == ColumnType.DATE:
        return text
    text += f" {hour:02}:{minute:02}:{second:02}"
    return text + (f".{micros:06}" if micros else "")


def _read_time(reader: PacketReader) -> str:
    size = reader.integer(1)
    if size not in (0, 8, 12):
        raise MalformedPacket("invalid time")
    data = reader.take(size).ljust(12, b"\0")
    sign, days, hours, minutes, seconds, micros = struct.unpack(
        "<BIBBBI", data
    )
    text = f"{days * 24 + hours:02}:{minutes:02}:{seconds:02}"
    text += f".{micros:06}" if micros else ""
    return f"-{text}" if sign else text
