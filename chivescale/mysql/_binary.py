"""Rows of the binary protocol, made from values in text form."""

import re
import struct

from mysql_mimic.types import ColumnType, str_len

from chivescale.mysql._packets import encode_text_value
from chivescale.mysql._result import FLAG_UNSIGNED, Column

_INTEGERS = {
    ColumnType.TINY: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.LONG: 4,
    ColumnType.INT24: 4,
    ColumnType.LONGLONG: 8,
}
_DATES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
_DATE = re.compile(
    rb"(\d{4})-(\d\d)-(\d\d)(?:[ T](\d\d):(\d\d):(\d\d)(?:\.(\d{1,6}))?)?"
)
_TIME = re.compile(rb"(-?)(\d{1,4}):(\d\d):(\d\d)(?:\.(\d{1,6}))?")


def make_binary_row(row: tuple, columns: tuple[Column, ...]) -> bytes:
    """Return a row packet of the binary protocol.

    Raises
    ------
    ValueError
        If a value does not fit the type of its column.
    """
    bitmap = bytearray((len(columns) + 9) // 8)
    parts = []
    for index, value in enumerate(row):
        if value is None:
            bitmap[(index + 2) // 8] |= 1 << ((index + 2) % 8)
        else:
            parts.append(_encode(encode_text_value(value), columns[index]))
    return b"".join((b"\0", bytes(bitmap), *parts))


def _encode(text: bytes, column: Column) -> bytes:
    size = _INTEGERS.get(column.type)
    if size is not None:
        number = int(text)
        signed = not column.flags & FLAG_UNSIGNED
        try:
            return number.to_bytes(size, "little", signed=signed)
        except OverflowError as err:
            raise ValueError(f"{column.name}: {err}") from err
    if column.type == ColumnType.DOUBLE:
        return struct.pack("<d", float(text))
    if column.type == ColumnType.FLOAT:
        return struct.pack("<f", float(text))
    if column.type in _DATES:
        return _encode_date(text, column)
    if column.type == ColumnType.TIME:
        return _encode_time(text, column)
    return str_len(text)


def _encode_date(text: bytes, column: Column) -> bytes:
    match = _DATE.fullmatch(text)
    if match is None:
        raise ValueError(f"{column.name}: not a date")
    fields = [int(part or 0) for part in match.groups()[:6]]
    micros = _micros(match.group(7))
    day = struct.pack("<HBB", *fields[:3])
    if micros:
        return b"\x0b" + day + struct.pack("<BBBI", *fields[3:], micros)
    if any(fields[3:]):
        return b"\x07" + day + struct.pack("<BBB", *fields[3:])
    return b"\x04" + day if any(fields) else b"\0"


def _encode_time(text: bytes, column: Column) -> bytes:
    match = _TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"{column.name}: not a time")
    hours, minutes, seconds = (int(part) for part in match.groups()[1:4])
    days, hours = divmod(hours, 24)
    micros = _micros(match.group(5))
    if not any((days, hours, minutes, seconds, micros)):
        return b"\0"
    sign = int(bool(match.group(1)))
    head = struct.pack("<BIBBB", sign, days, hours, minutes, seconds)
    if micros:
        return b"\x0c" + head + struct.pack("<I", micros)
    return b"\x08" + head


def _micros(digits: bytes | None) -> int:
    return int((digits or b"0").ljust(6, b"0"))
