"""Hints that accompany a statement."""

import re

import msgspec

from chivescale.errors import ErrorKind, Failure

MAX_STALENESS_MS = 24 * 3600 * 1000
MAX_DEADLINE_MS = 3600 * 1000
_COMMENT = re.compile(r"\s*/\*\s*chivescale\b(.*?)\*/", re.DOTALL)
_PAIR = re.compile(r"\s*([a-z_]+)\s*=\s*(?:'([^']*)'|([^\s']+))")
_KEY = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,10}", re.ASCII)
_LIMITS = {
    "staleness_ms": (0, MAX_STALENESS_MS),
    "deadline_ms": (1, MAX_DEADLINE_MS),
}
_PREFIX = "chivescale_"


class Hints(msgspec.Struct, frozen=True):
    """What a caller asked for; None where it asked for nothing.

    Attributes
    ----------
    staleness_ms : int or None
        Accepted age of a read.
    key : str or None
        Idempotency key of a write.
    deadline_ms : int or None
        Time to answer.
    token : str or None
        Session token, not yet checked.
    """

    staleness_ms: int | None = None
    key: str | None = None
    deadline_ms: int | None = None
    token: str | None = None


_NONE = Hints()


def parse_hints(sql: str, attrs: dict | None = None) -> Hints | Failure:
    """Return the hints of a statement.

    Parameters
    ----------
    sql : str
        Statement, possibly with a leading ``/* chivescale ... */``.
    attrs : dict, optional
        Query attributes, or session variables without their ``@``: names
        with the prefix ``chivescale_`` count.

    Returns
    -------
    Hints or Failure
        ``BAD_REQUEST`` naming the hint that is unknown, invalid or given
        twice with different values.

    Examples
    --------
    >>> parse_hints("/* chivescale staleness_ms=50 key='a1' */ SELECT 1")
    Hints(staleness_ms=50, key='a1', deadline_ms=None, token=None)
    """
    found: dict[str, object] = {}
    comment = None
    if "chivescale" in sql:
        comment = _COMMENT.match(sql)
    if comment is not None:
        failure = _read_comment(comment[1], found)
        if failure is not None:
            return failure
    for name, value in (attrs or {}).items():
        name = str(name).lower()
        if name.startswith(_PREFIX):
            failure = _add(found, name.removeprefix(_PREFIX), value)
            if failure is not None:
                return failure
    return Hints(**found) if found else _NONE


def _read_comment(text: str, found: dict) -> Failure | None:
    place = 0
    text = text.strip()
    while place < len(text):
        match = _PAIR.match(text, place)
        if match is None:
            return _refused(
                f"chivescale comment has an error at column {place}"
            )
        value = match[2] if match[2] is not None else match[3]
        failure = _add(found, match[1], value)
        if failure is not None:
            return failure
        place = match.end()
    return None


def _add(found: dict, name: str, value: object) -> Failure | None:
    checked = _check(name, value)
    if isinstance(checked, Failure):
        return checked
    if found.setdefault(name, checked) != checked:
        return _refused(f"chivescale_{name} is given twice with two values")
    return None


def _check(name: str, value: object) -> object:
    if isinstance(value, bytes):
        value = value.decode("utf-8", "replace")
    if name in _LIMITS:
        return _number(name, value)
    if name == "key":
        if isinstance(value, str) and _KEY.fullmatch(value):
            return value
        return _refused(
            "chivescale_key must be 1 to 128 printable ASCII characters "
            "without spaces"
        )
    if name == "token":
        if isinstance(value, str) and value:
            return value
        return _refused("chivescale_token must be text")
    return _refused(f"chivescale_{name} is unknown")


def _number(name: str, value: object) -> int | Failure:
    low, high = _LIMITS[name]
    text = str(value).strip()
    if isinstance(value, bool) or not _NUMBER.fullmatch(text):
        return _refused(f"chivescale_{name} must be a whole number")
    if not low <= int(text) <= high:
        return _refused(f"chivescale_{name} must be {low} to {high}")
    return int(text)


def _refused(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)
