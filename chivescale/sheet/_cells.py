"""Parsing and validation of single cells."""

import collections.abc
import re
import typing

import msgspec

NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]*")
HASH_PATTERN = re.compile(r"[0-9A-Fa-f]{40}")
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")
# Nine digits and six decimals survive a round trip through a float, so that
# formatting and parsing a sheet again preserves its digest.
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")

# Maximum lengths of user names and database names in the MySQL protocol.
MAX_WORKSPACE_CHARS = 32
MAX_SERVICE_CHARS = 64
MAX_STALENESS_MS = 86_400_000
MAX_COUNT = 1_000_000
MAX_GROUP_SIZE = 9
MAX_QUOTED_CHARS = 40


class InvalidCell(msgspec.Struct, frozen=True):
    """Reason why a cell is invalid."""

    reason: str


CellParser = collections.abc.Callable[[str], typing.Any]


def name_parser(limit: int) -> CellParser:
    """Return a parser for names of at most `limit` characters."""

    def parse(text: str) -> str | InvalidCell:
        if not text:
            return InvalidCell("missing")
        if len(text) > limit:
            return InvalidCell(f"{len(text)} characters, at most {limit}")
        if not NAME_PATTERN.fullmatch(text):
            return InvalidCell(
                f"{quote_cell(text)} may contain letters, digits, '_', '.' "
                "and '-' only and starts with a letter, digit or '_'"
            )
        return text

    return parse


def integer_parser(low: int, high: int, default: int) -> CellParser:
    """Return a parser for integers; an empty cell means `default`."""

    def parse(text: str) -> int | InvalidCell:
        if not text:
            return default
        if not INTEGER_PATTERN.fullmatch(text):
            return InvalidCell(f"{quote_cell(text)} is not an integer")
        value = int(text)
        if not low <= value <= high:
            return InvalidCell(f"{value} is not in {low} to {high}")
        return value

    return parse


def parse_rate(text: str) -> float | InvalidCell:
    """Parse a rate in statements per second; empty means 0 (no limit)."""
    if not text:
        return 0.0
    if not DECIMAL_PATTERN.fullmatch(text):
        return InvalidCell(
            f"{quote_cell(text)} is not a decimal number of at most 9 "
            "digits and 6 decimals"
        )
    return float(text)


def parse_hash(text: str) -> str | InvalidCell:
    """Parse a secret hash, whose value must not appear in errors."""
    if not text:
        return InvalidCell("missing")
    if not HASH_PATTERN.fullmatch(text):
        return InvalidCell("expected 40 hexadecimal digits")
    return text.lower()


def parse_scope(text: str) -> str | InvalidCell:
    """Parse a session scope; an empty cell means ``workspace``."""
    if not text:
        return "workspace"
    if text not in ("workspace", "connection"):
        return InvalidCell(
            f"{quote_cell(text)} is neither workspace nor connection"
        )
    return text


def quote_cell(text: str) -> str:
    """Quote a cell for an error message, truncated and on one line."""
    if len(text) > MAX_QUOTED_CHARS:
        text = text[:MAX_QUOTED_CHARS] + "..."
    return ascii(text)


_parse_count = integer_parser(0, MAX_COUNT, 0)

# Parsers of the columns that each row kind uses; the others must be empty.
COLUMN_PARSERS: dict[str, dict[str, CellParser]] = {
    "service": {
        "name": name_parser(MAX_SERVICE_CHARS),
        "group_size": integer_parser(1, MAX_GROUP_SIZE, 3),
    },
    "workspace": {
        "name": name_parser(MAX_WORKSPACE_CHARS),
        "secret_hash": parse_hash,
        "max_connections": _parse_count,
        "max_concurrent": _parse_count,
        "max_rate": parse_rate,
    },
    "binding": {
        "name": name_parser(MAX_WORKSPACE_CHARS),
        "service": name_parser(MAX_SERVICE_CHARS),
        "staleness_ms": integer_parser(0, MAX_STALENESS_MS, 0),
        "session_scope": parse_scope,
    },
}
