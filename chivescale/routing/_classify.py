"""Class of a statement, found without a syntax tree."""

import enum
import functools
import re

from chivescale.routing._functions import PURE
from chivescale.routing._local import is_local_select
from chivescale.routing._set import classify_set
from chivescale.routing._text import skeleton

CACHE_ENTRIES = 4096
# Longer texts are classified each time: caching them would hold much memory
# and they rarely repeat.
CACHE_TEXT_LENGTH = 2048


class StatementClass(enum.StrEnum):
    """What the proxy does with a statement."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET_SESSION = "set_session"
    SET_AUTOCOMMIT = "set_autocommit"
    SET_OTHER = "set_other"
    LOCAL = "local"
    UNSUPPORTED = "unsupported"


_READ = StatementClass.READ
_WRITE = StatementClass.WRITE
_UNSUPPORTED = StatementClass.UNSUPPORTED

_FIRST = re.compile(r"[A-Z_]+")
_NAME_CHARACTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_$."
# Locking reads, writes of files or variables, user variables, and functions
# without parentheses that depend on the session.
_PRIMARY = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b|\bINTO\b"
    r"|(?<!@)@(?!@)|:=|\bPROCEDURE\s+ANALYSE\b|\bNEXT\s+VALUE\b"
)
_PRIMARY_WORDS = ("FOR", "LOCK", "INTO", "@", ":=", "PROCEDURE", "NEXT")
_CTE_NAME = re.compile(r"([A-Z0-9_$]+)\s*\([^()]*\)\s+AS\s*(?=\()")
_CTE_BODY = re.compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b(?!\s*\()")
_BEGIN = re.compile(
    r"BEGIN(?:\s+WORK)?"
    r"|START\s+TRANSACTION(?:\s+(?:READ\s+(?:ONLY|WRITE)"
    r"|WITH\s+CONSISTENT\s+SNAPSHOT)(?:\s*,\s*(?:READ\s+(?:ONLY|WRITE)"
    r"|WITH\s+CONSISTENT\s+SNAPSHOT))*)?"
)
_END = re.compile(
    r"(?:COMMIT|ROLLBACK)(?:\s+WORK)?(?:\s+AND\s+(?:NO\s+)?CHAIN)?"
    r"(?:\s+NO\s+RELEASE)?"
)
_TO_SAVEPOINT = re.compile(r"ROLLBACK(?:\s+WORK)?\s+TO\b.*", re.DOTALL)
_TEMPORARY = re.compile(r"(?:CREATE(?:\s+OR\s+REPLACE)?|DROP)\s+TEMPORARY\b")
_ANALYZE = re.compile(r"(?:EXPLAIN|DESC|DESCRIBE)\s+ANALYZE\b")
# Statements that act on one server instead of the database group, or whose
# effect lasts on a connection that other callers may get later.
_NEVER = frozenset(
    """
    CALL XA LOCK UNLOCK PREPARE EXECUTE DEALLOCATE HANDLER LOAD KILL FLUSH
    RESET CHANGE PURGE SHUTDOWN RESTART STOP INSTALL UNINSTALL CLONE BINLOG
    CACHE IMPORT GET SIGNAL RESIGNAL USE HELP
    """.split()
)


def classify(sql: str) -> StatementClass:
    """Return the class of a statement; anything unknown is a write.

    Parameters
    ----------
    sql : str
        Statement as the caller sent it.

    Examples
    --------
    >>> classify("select 1 from lots").value
    'read'
    >>> classify("select 1 from lots for update").value
    'write'
    """
    if len(sql) > CACHE_TEXT_LENGTH:
        return _classify(sql)
    return _cached(sql)


def needs_session(sql: str) -> bool:
    """Tell whether a statement depends on its connection's session.

    True for user variables, advisory locks and LAST_INSERT_ID(). Outside a
    transaction such a statement runs on any pooled connection, where it
    would see another session's state.
    """
    return _SESSION.search(skeleton(sql)) is not None


_SESSION = re.compile(
    r"(?<!@)@(?!@)|\b(?:LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS|GET_LOCK"
    r"|RELEASE_LOCK|RELEASE_ALL_LOCKS|CONNECTION_ID)\s*\("
)


def _classify(sql: str) -> StatementClass:
    text = skeleton(sql)
    if ";" in text:
        return _UNSUPPORTED
    text = text.lstrip("( \t\r\n")
    match = _FIRST.match(text)
    word = match[0] if match else ""
    if word in _NEVER:
        return _UNSUPPORTED
    rule = _RULES.get(word)
    return rule(text, sql) if rule else _WRITE


_cached = functools.lru_cache(maxsize=CACHE_ENTRIES)(_classify)


def _select(text: str, sql: str) -> StatementClass:
    if is_local_select(sql):
        return StatementClass.LOCAL
    # Substring tests first: the expression alone takes ten times as long.
    if any(word in text for word in _PRIMARY_WORDS):
        if _PRIMARY.search(text) is not None:
            return _WRITE
    return _READ if _calls_only_pure(text) else _WRITE


def _calls_only_pure(text: str) -> bool:
    *parts, _ = text.split("(")
    for part in parts:
        part = part.rstrip()
        before = part.rstrip(_NAME_CHARACTERS)
        name = part[len(before) :]
        if name and name not in PURE:
            return False
        if before[-1:] > "\x7f":
            # The name goes on with letters that no built-in function has.
            return False
    return True


def _with(text: str, sql: str) -> StatementClass:
    # Column lists of common table expressions look like calls.
    text = _CTE_NAME.sub("NAME AS ", text)
    if _CTE_BODY.search(text) is not None:
        return _WRITE
    return _select(text, sql)


def _explain(text: str, sql: str) -> StatementClass:
    if _ANALYZE.match(text) is None:
        return _READ
    # Unlike plain EXPLAIN, this runs the statement.
    if _CTE_BODY.search(text) is not None:
        return _WRITE
    return _select(text, sql)


def _show(text: str, sql: str) -> StatementClass:
    if re.match(r"SHOW\s+(?:COUNT\b.*|WARNINGS|ERRORS)", text):
        return StatementClass.LOCAL
    return _READ


def _begin(text: str, sql: str) -> StatementClass:
    whole = _BEGIN.fullmatch(text)
    return StatementClass.BEGIN if whole else _UNSUPPORTED


def _commit(text: str, sql: str) -> StatementClass:
    whole = _END.fullmatch(text)
    return StatementClass.COMMIT if whole else _UNSUPPORTED


def _rollback(text: str, sql: str) -> StatementClass:
    if _TO_SAVEPOINT.fullmatch(text):
        return StatementClass.SAVEPOINT
    whole = _END.fullmatch(text)
    return StatementClass.ROLLBACK if whole else _UNSUPPORTED


def _define(text: str, sql: str) -> StatementClass:
    return _UNSUPPORTED if _TEMPORARY.match(text) else _WRITE


def _release(text: str, sql: str) -> StatementClass:
    savepoint = re.match(r"RELEASE\s+SAVEPOINT\b", text)
    return StatementClass.SAVEPOINT if savepoint else _UNSUPPORTED


def _set(text: str, sql: str) -> StatementClass:
    return StatementClass(classify_set(sql))


def _empty(text: str, sql: str) -> StatementClass:
    # Only a comment; the server would report an empty query.
    return _WRITE if text else StatementClass.LOCAL


_RULES = {
    "": _empty,
    "SELECT": _select,
    "TABLE": _select,
    "VALUES": _select,
    "WITH": _with,
    "EXPLAIN": _explain,
    "DESC": _explain,
    "DESCRIBE": _explain,
    "SHOW": _show,
    "BEGIN": _begin,
    "START": _begin,
    "COMMIT": _commit,
    "ROLLBACK": _rollback,
    "SAVEPOINT": lambda text, sql: StatementClass.SAVEPOINT,
    "RELEASE": _release,
    "CREATE": _define,
    "DROP": _define,
    "SET": _set,
}
