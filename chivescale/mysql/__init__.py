"""MySQL protocol towards callers and towards endpoints."""

from chivescale.mysql._client import ClientConnection, connect
from chivescale.mysql._result import (
    CHARSET_BINARY,
    CHARSET_UTF8MB4,
    TYPE_BLOB,
    TYPE_DATE,
    TYPE_DATETIME,
    TYPE_DOUBLE,
    TYPE_LONGLONG,
    TYPE_NEWDECIMAL,
    TYPE_NULL,
    TYPE_TIME,
    TYPE_VAR_STRING,
    Column,
    QueryResult,
    format_commit,
    parse_commit,
)
from chivescale.mysql._server import CallerServer
from chivescale.mysql._session import (
    CallerHandlers,
    CallerSession,
    ServerOptions,
)

__all__ = [
    "CHARSET_BINARY",
    "CHARSET_UTF8MB4",
    "TYPE_BLOB",
    "TYPE_DATE",
    "TYPE_DATETIME",
    "TYPE_DOUBLE",
    "TYPE_LONGLONG",
    "TYPE_NEWDECIMAL",
    "TYPE_NULL",
    "TYPE_TIME",
    "TYPE_VAR_STRING",
    "CallerHandlers",
    "CallerServer",
    "CallerSession",
    "ClientConnection",
    "Column",
    "QueryResult",
    "ServerOptions",
    "connect",
    "format_commit",
    "parse_commit",
]
