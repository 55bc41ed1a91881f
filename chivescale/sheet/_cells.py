"""Validation of single cells."""

import collections.abc
import re
import typing

import msgspec

NAME_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]*")
HASH_PATTERN = re.compile(r"[0-9A-Fa-f]{40}")
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")
# Nine digits and six decimals are exact in a float, so that a sheet keeps
# its digest when it is formatted and parsed again.
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")

# Longest user name and database name of the MySQL protocol.
MAX_WORKSPACE_CHARS = 32
MAX_SERVICE_CHARS = 64
MAX_STALENESS_MS = 86_400_000
MAX_COUNT = 1_000_000
MAX_GROUP_SIZE = 9
SHOWN_CHARS = 40


class BadCell(msgspec.Struct, frozen=True):
    """Reason to refuse a cell."""

    reason: str


Reader = collections.abc.Callable[[str], typing.Any]


def read_name(limit: int) -> Reader:
    """Return a reader for names of at most `limit` characters."""

    def read(text: str) -> str | BadCell:
        if not text:
            return BadCell("missing")
        if len(text) > limit:
            return BadCell(f"{len(text)} characters, at most {limit}")
        if not NAME_PATTERN.fullmatch(text):
            return BadCell(
                f"{shown(text)} may contain letters, digits, '_', '.' and "
                "'-' only and starts with a letter, digit or '_'"
            )
        return text

    return read


def read_integer(low: int, high: int, default: int) -> Reader:
    """Return a reader for whole numbers; an empty cell is `default`."""

    def read(text: str) -> int | BadCell:
        if not text:
            return default
        if not INTEGER_PATTERN.fullmatch(text):
            return BadCell(f"{shown(text)} is no whole number")
        value = int(text)
        if not low <= value <= high:
            return BadCell(f"{value} is not in {low} to {high}")
        return value

    return read


def read_rate(text: str) -> float | BadCell:
    """Read statements a second; an empty cell is 0 (no limit)."""
    if not text:
        return 0.0
    if not DECIMAL_PATTERN.fullmatch(text):
        return BadCell(
            f"{shown(text)} is no decimal number of at most 9 digits and "
            "6 decimals"
        )
    return float(text)


def read_hash(text: str) -> str | BadCell:
    """Read a secret hash; its value is not repeated in the reason."""
    if not text:
        return BadCell("missing")
    if not HASH_PATTERN.fullmatch(text):
        return BadCell("expected 40 hexadecimal digits")
    return text.lower()


def read_scope(text: str) -> str | BadCell:
    """Read a session scope; an empty cell is ``workspace``."""
    if not text:
        return "workspace"
    if text not in ("workspace", "connection"):
        return BadCell(f"{shown(text)} is neither workspace nor connection")
    return text


def shown(text: str) -> str:
    """Quote a cell for a message, shortened and in one line."""
    if len(text) > SHOWN_CHARS:
        text = text[:SHOWN_CHARS] + "..."
    return ascii(text)


_count = read_integer(0, MAX_COUNT, 0)

# Columns that each kind of row uses; the others must be empty.
ROW_CELLS: dict[str, dict[str, Reader]] = {
    "service": {
        "name": read_name(MAX_SERVICE_CHARS),
        "group_size": read_integer(1, MAX_GROUP_SIZE, 3),
    },
    "workspace": {
        "name": read_name(MAX_WORKSPACE_CHARS),
        "secret_hash": read_hash,
        "max_connections": _count,
        "max_concurrent": _count,
        "max_rate": read_rate,
    },
    "binding": {
        "name": read_name(MAX_WORKSPACE_CHARS),
        "service": read_name(MAX_SERVICE_CHARS),
        "staleness_ms": read_integer(0, MAX_STALENESS_MS, 0),
        "session_scope": read_scope,
    },
}
