"""Statements that the proxy answers without an endpoint."""

import functools
import re

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.routing._text import remove_comments

SERVER_VERSION = "8.0.36-chivescale"
# System variables that drivers read when they connect. The values describe
# the proxy and do not depend on the endpoint.
VARIABLES: dict[str, str | int] = {
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_database": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "collation_database": "utf8mb4_general_ci",
    "collation_server": "utf8mb4_general_ci",
    "init_connect": "",
    "interactive_timeout": 28800,
    "license": "GPL",
    "lower_case_table_names": 0,
    "max_allowed_packet": 1 << 20,
    "net_buffer_length": 16384,
    "net_read_timeout": 30,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "query_cache_size": 0,
    "query_cache_type": "OFF",
    "sql_auto_is_null": 0,
    "sql_mode": (
        "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,"
        "NO_ZERO_DATE,ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION"
    ),
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": "REPEATABLE-READ",
    "transaction_read_only": 0,
    "tx_isolation": "REPEATABLE-READ",
    "tx_read_only": 0,
    "version": SERVER_VERSION,
    "version_comment": "chivescale",
    "wait_timeout": 28800,
}
_FUNCTIONS = {
    "database": "service",
    "schema": "service",
    "user": "workspace",
    "current_user": "workspace",
    "session_user": "workspace",
    "system_user": "workspace",
    "version": "version",
    "connection_id": "connection_id",
    "last_insert_id": "last_insert_id",
    "row_count": "row_count",
}
_COLUMN = re.compile(
    r"\s*(?P<text>@@(?:(?:session|local|global)\.)?(?P<variable>\w+)"
    r"|(?P<function>\w+)\s*\(\s*\)|@(?P<token>chivescale_token))"
    r"(?:\s+(?:as\s+)?(?P<alias>`[^`]+`|'[^']+'|(?!limit\b)[a-z_]\w*))?\s*"
    r"(?P<end>,|(?:limit\s+\d+\s*)?;?\s*$)",
    re.IGNORECASE,
)
_SELECT = re.compile(r"\s*select\s+", re.IGNORECASE)
_SHOW = re.compile(r"\s*show\s+(count\b|warnings|errors)", re.IGNORECASE)


class SessionState(msgspec.Struct, frozen=True):
    """State of a caller's connection.

    Attributes
    ----------
    token : str
        Text of the current session token; empty if there is none yet.
    row_count, last_insert_id : int
        Number of affected rows and last insert id of the previous
        statement.
    """

    workspace: str = ""
    service: str = ""
    connection_id: int = 0
    autocommit: bool = True
    token: str = ""
    last_insert_id: int = 0
    row_count: int = -1


class LocalAnswer(msgspec.Struct, frozen=True):
    """Result of a local statement; without columns it is a plain OK."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple, ...] = ()


def is_local_select(sql: str) -> bool:
    """Return whether a statement is a SELECT of local values only."""
    return _parse_columns(sql[:4096]) is not None


def local_answer(sql: str, facts: SessionState) -> LocalAnswer | Failure:
    """Return the result of a statement of class ``LOCAL``.

    Parameters
    ----------
    sql : str
        Statement.
    facts : SessionState
        State of the caller's connection.

    Returns
    -------
    LocalAnswer or Failure
        ``UNSUPPORTED`` if the statement needs an endpoint.

    Examples
    --------
    >>> local_answer("SELECT @@autocommit", SessionState(autocommit=False))
    LocalAnswer(columns=('@@autocommit',), rows=((0,),))
    """
    items = _parse_columns(sql)
    if items is not None:
        names = tuple(name for name, _, _ in items)
        row = tuple(_column_value(kind, key, facts) for _, kind, key in items)
        return LocalAnswer(names, (row,))
    show = _SHOW.match(sql)
    if show is not None:
        if show[1].lower() == "count":
            return LocalAnswer(("@@session.warning_count",), ((0,),))
        return LocalAnswer(("Level", "Code", "Message"), ())
    words = remove_comments(sql).split()
    if not words or words[0].lower() == "set":
        return LocalAnswer()
    return Failure(
        ErrorKind.UNSUPPORTED, "statement cannot be answered by the proxy"
    )


@functools.lru_cache(maxsize=512)
def _parse_columns(sql: str) -> tuple[tuple[str, str, str], ...] | None:
    """Return (name, kind, key) of each column, or None if not local."""
    if "/*" in sql or "--" in sql or "#" in sql:
        sql = remove_comments(sql)
    start = _SELECT.match(sql)
    if start is None:
        return None
    found = []
    offset = start.end()
    while True:
        match = _COLUMN.match(sql, offset)
        if match is None:
            return None
        item = _resolve_column(match)
        if item is None:
            return None
        found.append(item)
        offset = match.end()
        if match["end"] != ",":
            return tuple(found)


def _resolve_column(match: re.Match) -> tuple[str, str, str] | None:
    name = (match["alias"] or match["text"]).strip("`'")
    if match["variable"]:
        key = match["variable"].lower()
        known = key in VARIABLES or key == "autocommit"
        return (name, "variable", key) if known else None
    if match["function"]:
        key = _FUNCTIONS.get(match["function"].lower())
        return (name, "session", key) if key else None
    return (name, "session", "token")


def _column_value(kind: str, key: str, facts: SessionState) -> object:
    if key == "autocommit":
        return int(facts.autocommit)
    if kind == "variable":
        return VARIABLES[key]
    if key == "version":
        return SERVER_VERSION
    value = getattr(facts, key)
    if key == "workspace":
        return f"{value}@%"
    return value if value != "" else None
