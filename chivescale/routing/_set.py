"""Parsing and classification of SET statements."""

import re

from chivescale.errors import ErrorKind, Failure
from chivescale.routing._text import remove_comments

PREFIX = "chivescale_"
SESSION_NAMES = (
    "chivescale_staleness_ms",
    "chivescale_key",
    "chivescale_deadline_ms",
    "chivescale_token",
)
# Variables that drivers set when they connect. They do not affect results,
# since all connections use UTF-8.
_IGNORED_VARIABLES = frozenset(
    """
    character_set_client character_set_connection character_set_results
    collation_connection net_write_timeout net_read_timeout wait_timeout
    interactive_timeout sql_auto_is_null session_track_schema
    session_track_system_variables session_track_state_change
    sql_quote_show_create
    """.split()
)
_UTF8_NAMES = frozenset("utf8 utf8mb3 utf8mb4 default null".split())
_STRING = r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*\""""
_ASSIGNMENT = re.compile(
    rf"""\s*(?P<name>
        names|character\s+set|charset
        |(?:(?:global|session|local|persist|persist_only)\s+)?
         [`@\w.]+
    )(?P<equals>\s*:?=\s*|\s+)
    (?P<value>{_STRING}|[^,'"]+?)
    (?P<collate>\s+collate\s+['"]?\w+['"]?)?
    \s*(?:,|$)""",
    re.IGNORECASE | re.VERBOSE | re.DOTALL,
)
_SCOPE = re.compile(
    r"^(?:@@)?(?:session|local)[\s.]+|^@@(?!global|persist)", re.IGNORECASE
)
_CHARACTER_SET_NAMES = frozenset({"names", "character set", "charset"})
_ESCAPE = re.compile(r"\\(.)|''|\"\"", re.DOTALL)


def parse_set(sql: str) -> tuple[tuple[str, str | None], ...] | Failure:
    """Parse the assignments of a SET statement.

    Names are converted to lower case without their scope, except that user
    variables keep ``@`` and global variables ``global.``. Values are text
    without quotes, or None for NULL and DEFAULT.

    Returns
    -------
    tuple of (str, str or None) or Failure
        (name, value) of each assignment; ``BAD_REQUEST`` if the statement
        cannot be parsed.

    Examples
    --------
    >>> parse_set("SET @chivescale_key = 'a,b', @@session.autocommit=0")
    (('@chivescale_key', 'a,b'), ('autocommit', '0'))
    """
    text = remove_comments(sql).strip().rstrip("; \t\r\n")
    if text[:3].lower() != "set" or len(text) < 5:
        return _parse_error()
    offset = 3
    found = []
    while offset < len(text):
        match = _ASSIGNMENT.match(text, offset)
        if match is None:
            return _parse_error()
        name = _normalize_name(match["name"])
        if "=" not in match["equals"] and name not in _CHARACTER_SET_NAMES:
            return _parse_error()
        found.append((name, _parse_value(match["value"])))
        offset = match.end()
    if text.endswith(","):
        return _parse_error()
    return tuple(found)


def classify_set(sql: str) -> str:
    """Return the `StatementClass` value of a SET statement."""
    assignments = parse_set(sql)
    if isinstance(assignments, Failure):
        return _classify_unparsed(sql)
    classes = {
        _classify_assignment(name, value) for name, value in assignments
    }
    if "unsupported" in classes:
        return "unsupported"
    if classes == {"local"}:
        return "local"
    classes.discard("local")
    # A statement with assignments of several classes is not split: one part
    # could fail after another took effect.
    return classes.pop() if len(classes) == 1 else "unsupported"


def _classify_unparsed(sql: str) -> str:
    words = remove_comments(sql).lower().split()[1:3]
    if not words or words[0] in ("global", "persist", "persist_only"):
        return "unsupported"
    if words[0] in ("password", "role", "default", "resource"):
        return "unsupported"
    if "chivescale_" in sql.lower():
        # Handling this class calls `parse_set`, which reports the error.
        return "set_session"
    return "set_other"


def _classify_assignment(name: str, value: str | None) -> str:
    if name.startswith("@" + PREFIX):
        return "set_session"
    if name == "autocommit":
        return "set_autocommit"
    if name.startswith(("global.", "persist.", "persist_only.")):
        return "unsupported"
    if name in ("password", "sql_log_bin", "pseudo_thread_id"):
        return "unsupported"
    if name in _CHARACTER_SET_NAMES or name.startswith("character_set_"):
        is_utf8 = value is None or value.lower() in _UTF8_NAMES
        return "local" if is_utf8 else "set_other"
    return "local" if name in _IGNORED_VARIABLES else "set_other"


def _normalize_name(text: str) -> str:
    name = " ".join(text.lower().replace("`", "").split())
    name = _SCOPE.sub("", name)
    match = re.match(r"(?:@@)?(global|persist|persist_only)[\s.]+(.*)", name)
    return f"{match[1]}.{match[2]}" if match else name


def _parse_value(text: str) -> str | None:
    text = text.strip()
    if text[:1] in ("'", '"'):
        return _ESCAPE.sub(lambda m: m[1] or m[0][0], text[1:-1])
    return None if text.lower() in ("null", "default") else text


def _parse_error() -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, "cannot parse SET statement")
