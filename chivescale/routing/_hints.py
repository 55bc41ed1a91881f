"""Parsing of hints that callers attach to statements."""

import re

import msgspec

from chivescale.errors import ErrorKind, Failure

MAX_STALENESS_MS = 24 * 3600 * 1000
MAX_DEADLINE_MS = 3600 * 1000
_HINT_COMMENT = re.compile(r"\s*/\*\s*chivescale\b(.*?)\*/", re.DOTALL)
_HINT_PAIR = re.compile(r"\s*([a-z_]+)\s*=\s*(?:'([^']*)'|([^\s']+))")
_KEY = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,10}", re.ASCII)
_NUMBER_RANGES = {
    "staleness_ms": (0, MAX_STALENESS_MS),
    "deadline_ms": (1, MAX_DEADLINE_MS),
}
_PREFIX = "chivescale_"


class Hints(msgspec.Struct, frozen=True):
    """Hints of a statement; None for hints that were not given.

    Attributes
    ----------
    staleness_ms : int or None
        Accepted staleness of a read, in milliseconds.
    key : str or None
        Idempotency key of a write.
    deadline_ms : int or None
        Time limit of the statement, in milliseconds.
    token : str or None
        Session token, not yet validated.
    """

    staleness_ms: int | None = None
    key: str | None = None
    deadline_ms: int | None = None
    token: str | None = None


_NO_HINTS = Hints()


def parse_hints(sql: str, attrs: dict | None = None) -> Hints | Failure:
    """Parse the hints of a statement.

    Parameters
    ----------
    sql : str
        Statement, possibly with a leading ``/* chivescale ... */`` comment.
    attrs : dict, optional
        Query attributes, or session variables without their ``@``. Names
        without the prefix ``chivescale_`` are ignored.

    Returns
    -------
    Hints or Failure
        ``BAD_REQUEST`` with the name of the hint if a hint is unknown,
        invalid or given twice with different values.

    Examples
    --------
    >>> parse_hints("/* chivescale staleness_ms=50 key='a1' */ SELECT 1")
    Hints(staleness_ms=50, key='a1', deadline_ms=None, token=None)
    """
    found: dict[str, object] = {}
    comment = None
    if "chivescale" in sql:
        comment = _HINT_COMMENT.match(sql)
    if comment is not None:
        failure = _parse_comment(comment[1], found)
        if failure is not None:
            return failure
    for name, value in (attrs or {}).items():
        name = str(name).lower()
        if name.startswith(_PREFIX):
            failure = _add_hint(found, name.removeprefix(_PREFIX), value)
            if failure is not None:
                return failure
    return Hints(**found) if found else _NO_HINTS


def _parse_comment(text: str, found: dict) -> Failure | None:
    offset = 0
    text = text.strip()
    while offset < len(text):
        match = _HINT_PAIR.match(text, offset)
        if match is None:
            return _bad_request(
                f"chivescale comment has a syntax error at column {offset}"
            )
        value = match[2] if match[2] is not None else match[3]
        failure = _add_hint(found, match[1], value)
        if failure is not None:
            return failure
        offset = match.end()
    return None


def _add_hint(found: dict, name: str, value: object) -> Failure | None:
    checked = _validate(name, value)
    if isinstance(checked, Failure):
        return checked
    if found.setdefault(name, checked) != checked:
        return _bad_request(
            f"chivescale_{name} is given twice with different values"
        )
    return None


def _validate(name: str, value: object) -> object:
    if isinstance(value, bytes):
        value = value.decode("utf-8", "replace")
    if name in _NUMBER_RANGES:
        return _validate_number(name, value)
    if name == "key":
        if isinstance(value, str) and _KEY.fullmatch(value):
            return value
        return _bad_request(
            "chivescale_key must be 1 to 128 printable ASCII characters "
            "without spaces"
        )
    if name == "token":
        if isinstance(value, str) and value:
            return value
        return _bad_request("chivescale_token must be a non-empty string")
    return _bad_request(f"chivescale_{name} is unknown")


def _validate_number(name: str, value: object) -> int | Failure:
    low, high = _NUMBER_RANGES[name]
    text = str(value).strip()
    if isinstance(value, bool) or not _NUMBER.fullmatch(text):
        return _bad_request(f"chivescale_{name} must be an integer")
    if not low <= int(text) <= high:
        return _bad_request(f"chivescale_{name} must be {low} to {high}")
    return int(text)


def _bad_request(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)
