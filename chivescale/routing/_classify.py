"""Classification of statements without a full SQL parser."""

import enum
import functools
import re

from chivescale.routing._functions import PURE_NAMES
from chivescale.routing._local import is_local_select
from chivescale.routing._set import classify_set
from chivescale.routing._text import normalize

CACHE_ENTRIES = 4096
# Longer statements are not cached: they would use much memory and rarely
# repeat.
MAX_CACHED_LENGTH = 2048


class StatementClass(enum.StrEnum):
    """Class of a statement, which determines how it is executed."""

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

_FIRST_KEYWORD = re.compile(r"[A-Z_]+")
_NAME_CHARACTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_$."
# Constructs that require the primary: locking reads, SELECT ... INTO, user
# variables, and functions without parentheses that have side effects or
# depend on the session.
_PRIMARY_ONLY = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b|\bINTO\b"
    r"|(?<!@)@(?!@)|:=|\bPROCEDURE\s+ANALYSE\b|\bNEXT\s+VALUE\b"
)
_PRIMARY_ONLY_TOKENS = ("FOR", "LOCK", "INTO", "@", ":=", "PROCEDURE", "NEXT")
_CTE_COLUMN_LIST = re.compile(r"([A-Z0-9_$]+)\s*\([^()]*\)\s+AS\s*(?=\()")
_WRITE_KEYWORD = re.compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b(?!\s*\()")
_BEGIN_STATEMENT = re.compile(
    r"BEGIN(?:\s+WORK)?"
    r"|START\s+TRANSACTION(?:\s+(?:READ\s+(?:ONLY|WRITE)"
    r"|WITH\s+CONSISTENT\s+SNAPSHOT)(?:\s*,\s*(?:READ\s+(?:ONLY|WRITE)"
    r"|WITH\s+CONSISTENT\s+SNAPSHOT))*)?"
)
_END_STATEMENT = re.compile(
    r"(?:COMMIT|ROLLBACK)(?:\s+WORK)?(?:\s+AND\s+(?:NO\s+)?CHAIN)?"
    r"(?:\s+NO\s+RELEASE)?"
)
_ROLLBACK_TO_SAVEPOINT = re.compile(
    r"ROLLBACK(?:\s+WORK)?\s+TO\b.*", re.DOTALL
)
_TEMPORARY_TABLE = re.compile(
    r"(?:CREATE(?:\s+OR\s+REPLACE)?|DROP)\s+TEMPORARY\b"
)
_EXPLAIN_ANALYZE = re.compile(r"(?:EXPLAIN|DESC|DESCRIBE)\s+ANALYZE\b")
# Statements that affect a single server instead of the database group, or
# that leave state on a pooled connection that other callers may use later.
_UNSUPPORTED_KEYWORDS = frozenset(
    """
    CALL XA LOCK UNLOCK PREPARE EXECUTE DEALLOCATE HANDLER LOAD KILL FLUSH
    RESET CHANGE PURGE SHUTDOWN RESTART STOP INSTALL UNINSTALL CLONE BINLOG
    CACHE IMPORT GET SIGNAL RESIGNAL USE HELP
    """.split()
)


def classify(sql: str) -> StatementClass:
    """Return the class of a statement; unknown statements are writes.

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
    if len(sql) > MAX_CACHED_LENGTH:
        return _classify(sql)
    return _classify_cached(sql)


def needs_session(sql: str) -> bool:
    """Return whether a statement depends on the state of its session.

    This is the case for user variables, advisory locks and functions such as
    LAST_INSERT_ID(). Outside a transaction a statement runs on any pooled
    connection, where it would see the state of another session.
    """
    return _SESSION_STATE.search(normalize(sql)) is not None


_SESSION_STATE = re.compile(
    r"(?<!@)@(?!@)|\b(?:LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS|GET_LOCK"
    r"|RELEASE_LOCK|RELEASE_ALL_LOCKS|CONNECTION_ID)\s*\("
)


def _classify(sql: str) -> StatementClass:
    text = normalize(sql)
    if ";" in text:
        return _UNSUPPORTED
    text = text.lstrip("( \t\r\n")
    match = _FIRST_KEYWORD.match(text)
    keyword = match[0] if match else ""
    if keyword in _UNSUPPORTED_KEYWORDS:
        return _UNSUPPORTED
    classifier = _CLASSIFIERS.get(keyword)
    return classifier(text, sql) if classifier else _WRITE


_classify_cached = functools.lru_cache(maxsize=CACHE_ENTRIES)(_classify)


def _classify_select(text: str, sql: str) -> StatementClass:
    if is_local_select(sql):
        return StatementClass.LOCAL
    # The substring tests avoid most regular expression searches, which take
    # ten times as long.
    if any(token in text for token in _PRIMARY_ONLY_TOKENS):
        if _PRIMARY_ONLY.search(text) is not None:
            return _WRITE
    return _READ if _calls_only_pure_functions(text) else _WRITE


def _calls_only_pure_functions(text: str) -> bool:
    *parts, _ = text.split("(")
    for part in parts:
        part = part.rstrip()
        before = part.rstrip(_NAME_CHARACTERS)
        name = part[len(before) :]
        if name and name not in PURE_NAMES:
            return False
        if before[-1:] > "\x7f":
            # The name continues with non-ASCII characters, so it is not a
            # built-in function.
            return False
    return True


def _classify_with(text: str, sql: str) -> StatementClass:
    # Column lists of common table expressions look like function calls.
    text = _CTE_COLUMN_LIST.sub("NAME AS ", text)
    if _WRITE_KEYWORD.search(text) is not None:
        return _WRITE
    return _classify_select(text, sql)


def _classify_explain(text: str, sql: str) -> StatementClass:
    if _EXPLAIN_ANALYZE.match(text) is None:
        return _READ
    # Unlike EXPLAIN, EXPLAIN ANALYZE executes the statement.
    if _WRITE_KEYWORD.search(text) is not None:
        return _WRITE
    return _classify_select(text, sql)


def _classify_show(text: str, sql: str) -> StatementClass:
    if re.match(r"SHOW\s+(?:COUNT\b.*|WARNINGS|ERRORS)", text):
        return StatementClass.LOCAL
    return _READ


def _classify_begin(text: str, sql: str) -> StatementClass:
    match = _BEGIN_STATEMENT.fullmatch(text)
    return StatementClass.BEGIN if match else _UNSUPPORTED


def _classify_commit(text: str, sql: str) -> StatementClass:
    match = _END_STATEMENT.fullmatch(text)
    return StatementClass.COMMIT if match else _UNSUPPORTED


def _classify_rollback(text: str, sql: str) -> StatementClass:
    if _ROLLBACK_TO_SAVEPOINT.fullmatch(text):
        return StatementClass.SAVEPOINT
    match = _END_STATEMENT.fullmatch(text)
    return StatementClass.ROLLBACK if match else _UNSUPPORTED


def _classify_create_or_drop(text: str, sql: str) -> StatementClass:
    return _UNSUPPORTED if _TEMPORARY_TABLE.match(text) else _WRITE


def _classify_release(text: str, sql: str) -> StatementClass:
    savepoint = re.match(r"RELEASE\s+SAVEPOINT\b", text)
    return StatementClass.SAVEPOINT if savepoint else _UNSUPPORTED


def _classify_set(text: str, sql: str) -> StatementClass:
    return StatementClass(classify_set(sql))


def _classify_empty(text: str, sql: str) -> StatementClass:
    # A statement that consists of comments only, which a server would
    # reject as an empty query.
    return _WRITE if text else StatementClass.LOCAL


_CLASSIFIERS = {
    "": _classify_empty,
    "SELECT": _classify_select,
    "TABLE": _classify_select,
    "VALUES": _classify_select,
    "WITH": _classify_with,
    "EXPLAIN": _classify_explain,
    "DESC": _classify_explain,
    "DESCRIBE": _classify_explain,
    "SHOW": _classify_show,
    "BEGIN": _classify_begin,
    "START": _classify_begin,
    "COMMIT": _classify_commit,
    "ROLLBACK": _classify_rollback,
    "SAVEPOINT": lambda text, sql: StatementClass.SAVEPOINT,
    "RELEASE": _classify_release,
    "CREATE": _classify_create_or_drop,
    "DROP": _classify_create_or_drop,
    "SET": _classify_set,
}
