"""SET statements."""

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
# Variables that drivers set on connecting and that change no result, given
# that all connections use UTF-8.
_HARMLESS = frozenset(
    """
    character_set_client character_set_connection character_set_results
    collation_connection net_write_timeout net_read_timeout wait_timeout
    interactive_timeout sql_auto_is_null session_track_schema
    session_track_system_variables session_track_state_change
    sql_quote_show_create
    """.split()
)
_UTF8 = frozenset("utf8 utf8mb3 utf8mb4 default null".split())
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
_NAMES = frozenset({"names", "character set", "charset"})
_ESCAPE = re.compile(r"\\(.)|''|\"\"", re.DOTALL)


def parse_set(sql: str) -> tuple[tuple[str, str | None], ...] | Failure:
    """Return the assignments of a SET statement.

    Names are in lower case without scope; user variables keep their ``@``,
    and global ones their ``global.``. Values are text without quotes; NULL
    and DEFAULT are None.

    Returns
    -------
    tuple of (str, str or None) or Failure
        ``BAD_REQUEST`` if the text is not understood.

    Examples
    --------
    >>> parse_set("SET @chivescale_key = 'a,b', @@session.autocommit=0")
    (('@chivescale_key', 'a,b'), ('autocommit', '0'))
    """
    text = remove_comments(sql).strip().rstrip("; \t\r\n")
    if text[:3].lower() != "set" or len(text) < 5:
        return _refused()
    place = 3
    found = []
    while place < len(text):
        match = _ASSIGNMENT.match(text, place)
        if match is None:
            return _refused()
        name = _variable(match["name"])
        if "=" not in match["equals"] and name not in _NAMES:
            return _refused()
        found.append((name, _value(match["value"])))
        place = match.end()
    if text.endswith(","):
        return _refused()
    return tuple(found)


def classify_set(sql: str) -> str:
    """Return the class of a SET statement, a `StatementClass` value."""
    assignments = parse_set(sql)
    if isinstance(assignments, Failure):
        return _classify_unparsed(sql)
    kinds = {_kind(name, value) for name, value in assignments}
    if "unsupported" in kinds:
        return "unsupported"
    if kinds == {"local"}:
        return "local"
    kinds.discard("local")
    # A mixture is not split, since a part could fail after another took
    # effect.
    return kinds.pop() if len(kinds) == 1 else "unsupported"


def _classify_unparsed(sql: str) -> str:
    words = remove_comments(sql).lower().split()[1:3]
    if not words or words[0] in ("global", "persist", "persist_only"):
        return "unsupported"
    if words[0] in ("password", "role", "default", "resource"):
        return "unsupported"
    if "chivescale_" in sql.lower():
        # Reported with the reason by `parse_set`.
        return "set_session"
    return "set_other"


def _kind(name: str, value: str | None) -> str:
    if name.startswith("@" + PREFIX):
        return "set_session"
    if name == "autocommit":
        return "set_autocommit"
    if name.startswith(("global.", "persist.", "persist_only.")):
        return "unsupported"
    if name in ("password", "sql_log_bin", "pseudo_thread_id"):
        return "unsupported"
    if name in _NAMES or name.startswith("character_set_"):
        known = value is None or value.lower() in _UTF8
        return "local" if known else "set_other"
    return "local" if name in _HARMLESS else "set_other"


def _variable(text: str) -> str:
    name = " ".join(text.lower().replace("`", "").split())
    name = _SCOPE.sub("", name)
    match = re.match(r"(?:@@)?(global|persist|persist_only)[\s.]+(.*)", name)
    return f"{match[1]}.{match[2]}" if match else name


def _value(text: str) -> str | None:
    text = text.strip()
    if text[:1] in ("'", '"'):
        return _ESCAPE.sub(lambda m: m[1] or m[0][0], text[1:-1])
    return None if text.lower() in ("null", "default") else text


def _refused() -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, "SET statement is not understood")
