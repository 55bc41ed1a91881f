"""Column types: from declared SQLite types to those of the protocol."""

import decimal
import re
import sqlite3

from chivescale.errors import ErrorKind, Failure
from chivescale.mysql import (
    CHARSET_BINARY,
    CHARSET_UTF8MB4,
    TYPE_BLOB,
    TYPE_DATE,
    TYPE_DATETIME,
    TYPE_DOUBLE,
    TYPE_LONGLONG,
    TYPE_NEWDECIMAL,
    TYPE_TIME,
    TYPE_VAR_STRING,
    Column,
    QueryResult,
)

MAX_SCALE = 30
FLAG_BINARY = 128


class DecimalText(bytes):
    """Value of a DECIMAL column."""


class DateText(bytes):
    """Value of a DATE column."""


class TimeText(bytes):
    """Value of a TIME column."""


class DatetimeText(bytes):
    """Value of a DATETIME or TIMESTAMP column."""


_TYPES = {
    int: (TYPE_LONGLONG, CHARSET_BINARY, FLAG_BINARY),
    float: (TYPE_DOUBLE, CHARSET_BINARY, FLAG_BINARY),
    str: (TYPE_VAR_STRING, CHARSET_UTF8MB4, 0),
    bytes: (TYPE_BLOB, CHARSET_BINARY, FLAG_BINARY),
    DecimalText: (TYPE_NEWDECIMAL, CHARSET_BINARY, FLAG_BINARY),
    DateText: (TYPE_DATE, CHARSET_BINARY, FLAG_BINARY),
    TimeText: (TYPE_TIME, CHARSET_BINARY, FLAG_BINARY),
    DatetimeText: (TYPE_DATETIME, CHARSET_BINARY, FLAG_BINARY),
}


def _scaled(scale: int):
    unit = decimal.Decimal(1).scaleb(-scale)

    def convert(value: bytes) -> bytes:
        try:
            number = decimal.Decimal(value.decode()).quantize(unit)
        except decimal.InvalidOperation:
            return value
        return DecimalText(f"{number:f}".encode())

    return convert


def register_converters() -> None:
    """Register the converters for declared column types."""
    for scale in range(MAX_SCALE + 1):
        sqlite3.register_converter(f"DECIMAL_{scale}", _scaled(scale))
    sqlite3.register_converter("DATE", DateText)
    sqlite3.register_converter("TIME", TimeText)
    sqlite3.register_converter("DATETIME", DatetimeText)
    sqlite3.register_converter("TIMESTAMP", DatetimeText)
    for name in ("BLOB", "TINYBLOB", "MEDIUMBLOB", "LONGBLOB", "VARBINARY"):
        sqlite3.register_converter(name, bytes)
    sqlite3.register_converter("BINARY", bytes)


def make_rows(names: list[str], rows: list[tuple]) -> QueryResult:
    """Return a result whose column types follow from its values."""
    columns = []
    for index, name in enumerate(names):
        kinds = {type(row[index]) for row in rows} - {type(None)}
        kind = str
        if len(kinds) == 1:
            kind = kinds.pop()
        elif kinds == {int, float}:
            kind = float
        number, charset, flags = _TYPES.get(kind, _TYPES[str])
        columns.append(Column(name, number, charset, flags))
    return QueryResult(tuple(columns), rows)


_ERRORS = (
    (re.compile(r"UNIQUE constraint|PRIMARY KEY"), 1062, "23000"),
    (re.compile(r"NOT NULL constraint"), 1048, "23000"),
    (re.compile(r"FOREIGN KEY constraint"), 1452, "23000"),
    (re.compile(r"CHECK constraint"), 3819, "HY000"),
    (re.compile(r"no such table"), 1146, "42S02"),
    (re.compile(r"table .* already exists"), 1050, "42S01"),
    (re.compile(r"index .* already exists"), 1061, "42000"),
    (re.compile(r"no such column|has no column"), 1054, "42S22"),
    (re.compile(r"no such function"), 1305, "42000"),
    (re.compile(r"no such savepoint"), 1305, "42000"),
    (re.compile(r"syntax error|incomplete input|unrecognized"), 1064, "42000"),
    (re.compile(r"one statement at a time"), 1064, "42000"),
    (re.compile(r"readonly|query_only"), 1290, "HY000"),
    (re.compile(r"database is locked"), 1205, "HY000"),
)


def sql_failure(err: Exception) -> Failure:
    """Return the MySQL error that corresponds to an error of SQLite."""
    text = str(err)
    for pattern, errno, sqlstate in _ERRORS:
        if pattern.search(text):
            return statement_failure(errno, sqlstate, text)
    return statement_failure(1105, "HY000", text)


def statement_failure(errno: int, sqlstate: str, text: str) -> Failure:
    """Return a failure with a number of the endpoint's own."""
    return Failure(ErrorKind.STATEMENT_FAILED, text, errno, sqlstate)
