"""Translation of the MySQL dialect to SQLite, as far as it matters here."""

import datetime
import random
import re
import uuid

import msgspec

from chivescale_standin._tables import translate_create

_TOKEN = re.compile(
    r"""(?P<space>\s+|--[ \t][^\n]*|\#[^\n]*|/\*.*?\*/)"""
    r"""|(?P<hex>[xX]'[0-9a-fA-F]*'|0x[0-9a-fA-F]+\b)"""
    r"""|(?P<string>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")"""
    r"""|(?P<name>`[^`]+`)"""
    r"""|(?P<word>@{0,2}[A-Za-z_$][\w$.]*)"""
    r"""|(?P<number>\d[\w.]*)"""
    r"""|(?P<other>.)""",
    re.DOTALL,
)
_ESCAPE = re.compile(r"\\(.)|(''|\"\")", re.DOTALL)
_ESCAPED = {"0": "\0", "n": "\n", "r": "\r", "t": "\t", "b": "\b", "Z": "\x1a"}
_READS = {"SELECT", "WITH", "VALUES", "TABLE", "EXPLAIN", "("}
_SHOWS = {"SHOW", "DESCRIBE", "DESC"}
_WRITE_WORDS = {"INSERT", "UPDATE", "DELETE", "REPLACE"}
_NOW = {
    "NOW",
    "SYSDATE",
    "CURRENT_TIMESTAMP",
    "LOCALTIME",
    "LOCALTIMESTAMP",
    "UTC_TIMESTAMP",
}
_VARIABLES = {
    "autocommit": "1",
    "version": "'8.0.36-standin'",
    "version_comment": "'chivescale stand-in'",
    "max_allowed_packet": "16777216",
    "transaction_isolation": "'READ-COMMITTED'",
    "tx_isolation": "'READ-COMMITTED'",
    "sql_mode": "''",
    "lower_case_table_names": "0",
}


class Statement(msgspec.Struct):
    """A translated statement.

    Attributes
    ----------
    kind : str
        ``read``, ``write``, ``show``, ``begin``, ``commit``, ``rollback``,
        ``savepoint``, ``set`` or ``empty``.
    text : str
        Statement for SQLite.
    locks : bool
        Whether a read asks for row locks.
    table : str
        Target of an INSERT or REPLACE, lower case.
    schema : bool
        Whether the statement changes the schema.
    at : str
        Time that stands for NOW().
    """

    kind: str
    text: str
    locks: bool = False
    table: str = ""
    schema: bool = False
    at: str = ""


class Token(msgspec.Struct):
    """One token; `upper` is its text in upper case, for words only."""

    kind: str
    text: str
    upper: str = ""


def tokenize(sql: str) -> list[Token]:
    """Split a statement; comments become blanks."""
    tokens = []
    for match in _TOKEN.finditer(sql):
        kind, text = match.lastgroup, match.group()
        if kind == "space":
            text = " "
        upper = text.upper() if kind in ("word", "other") else ""
        tokens.append(Token(kind, text, upper))
    return tokens


def translate(sql: str, database: str = "") -> Statement:
    """Translate one statement.

    Examples
    --------
    >>> translate("insert ignore into `t` values ('it\\\\'s')").text
    "insert OR IGNORE into `t` values ('it''s')"
    >>> translate("SELECT a FROM t FOR UPDATE").locks
    True
    """
    now = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
    tokens = tokenize(sql.strip().rstrip(";").strip())
    words = [token for token in tokens if token.kind != "space"]
    if not words:
        return Statement("empty", "")
    kind = _kind(words)
    if kind not in ("read", "write", "savepoint"):
        return Statement(kind, "".join(token.text for token in tokens))
    _translate_values(tokens, words, now, database)
    first = words[0].upper
    schema = first in ("CREATE", "DROP", "ALTER", "RENAME", "TRUNCATE")
    if first == "CREATE" and _word(words, 1) in ("TABLE", "TEMPORARY"):
        tokens = translate_create(tokens, Token)
    locks = _strip_locks(tokens) if kind == "read" else False
    if kind == "write" and not schema:
        _translate_write(tokens, words)
    if first == "TRUNCATE":
        name = words[2] if _word(words, 1) == "TABLE" else words[1]
        return Statement("write", f"DELETE FROM {name.text}", at=now)
    text = "".join(token.text for token in tokens).strip()
    table = _target(words) if kind == "write" else ""
    return Statement(kind, text, locks, table, schema, now)


def _word(words: list[Token], index: int) -> str:
    return words[index].upper if index < len(words) else ""


def _kind(words: list[Token]) -> str:
    first = words[0].upper
    if first in _READS:
        seen = {token.upper for token in words}
        writes = first == "WITH" and seen & _WRITE_WORDS
        return "write" if writes else "read"
    if first in _SHOWS:
        return "show"
    if first == "BEGIN" or (
        first == "START" and _word(words, 1) == "TRANSACTION"
    ):
        return "begin"
    if first == "COMMIT":
        return "commit"
    if first == "ROLLBACK":
        return "savepoint" if "TO" in (t.upper for t in words) else "rollback"
    if first in ("SAVEPOINT", "RELEASE"):
        return "savepoint"
    return "set" if first == "SET" else "write"


def _translate_values(tokens, words, now, database) -> None:
    """Rewrite literals, variables and functions in place."""
    following = {
        id(token): after
        for token, after in zip(words, words[1:] + [None], strict=True)
    }
    in_schema = words[0].upper in ("CREATE", "ALTER")
    for token in tokens:
        after = following.get(id(token))
        called = after is not None and after.text == "("
        if token.kind == "string":
            token.text = _literal(unescape(token.text))
        elif token.kind == "hex" and token.text.startswith("0x"):
            digits = token.text[2:]
            token.text = f"X'{digits.zfill(len(digits) + len(digits) % 2)}'"
        elif token.kind != "word":
            continue
        elif token.upper in ("_BINARY", "_UTF8MB4", "_UTF8"):
            _apply_introducer(token, after)
        elif token.upper.startswith("@@"):
            name = token.text.lower().rsplit(".", 1)[-1].lstrip("@")
            token.text = _VARIABLES.get(name, "NULL")
        elif not in_schema:
            _replace_function(token, called, now, database, after, following)


def _apply_introducer(token: Token, after: Token | None) -> None:
    binary = token.upper == "_BINARY"
    token.text = ""
    if after is not None and after.kind == "string" and binary:
        data = unescape(after.text).encode("utf-8", "surrogateescape")
        after.kind, after.text = "done", f"X'{data.hex()}'"


def _replace_function(token, called, now, database, after, following):
    name = token.upper
    value = None
    if name in _NOW and (called or name.startswith("CURRENT")):
        value = f"'{now}'"
    elif name in ("CURDATE", "CURRENT_DATE"):
        value = f"'{now[:10]}'"
    elif name == "UUID" and called:
        value = f"'{uuid.uuid4()}'"
    elif name == "RAND" and called:
        value = repr(random.random())
    elif name in ("DATABASE", "SCHEMA") and called:
        value = f"'{database}'"
    if value is None:
        return
    token.text, token.upper = value, ""
    if called:
        _drop_arguments(after, following)


def _drop_arguments(opening: Token, following: dict) -> None:
    token = opening
    while token is not None:
        closing = token.text == ")"
        after = following.get(id(token))
        token.kind, token.text, token.upper = "done", "", ""
        if closing:
            return
        token = after


def unescape(literal: str) -> str:
    """Return the value of a quoted string."""
    quote = literal[0]

    def replace(match):
        if match.group(2):
            return (
                match.group(2)[0]
                if quote in match.group(2)
                else (match.group(2))
            )
        char = match.group(1)
        # LIKE patterns keep the escape of their wildcards.
        return "\\" + char if char in "%_" else _ESCAPED.get(char, char)

    return _ESCAPE.sub(replace, literal[1:-1])


def _literal(value: str) -> str:
    data = value.encode("utf-8", "surrogateescape")
    try:
        data.decode("utf-8")
    except UnicodeDecodeError:
        return f"X'{data.hex()}'"
    if "\0" in value:
        return f"CAST(X'{data.hex()}' AS TEXT)"
    escaped = value.replace("'", "''")
    return f"'{escaped}'"


def _strip_locks(tokens: list[Token]) -> bool:
    """Remove FOR UPDATE, FOR SHARE and LOCK IN SHARE MODE."""
    words = [t for t in tokens if t.kind not in ("space", "done")]
    for index, token in enumerate(words):
        pair = (token.upper, _word(words, index + 1))
        if pair in (("FOR", "UPDATE"), ("FOR", "SHARE"), ("LOCK", "IN")):
            for part in words[index:]:
                part.text = ""
            return True
    return False


def _translate_write(tokens: list[Token], words: list[Token]) -> None:
    for index, token in enumerate(words):
        following = [_word(words, index + step) for step in range(1, 5)]
        if token.upper == "IGNORE" and index == 1:
            token.text = "OR IGNORE"
        elif token.upper == "ON" and following[:3] == [
            "DUPLICATE",
            "KEY",
            "UPDATE",
        ]:
            token.text = "ON CONFLICT DO UPDATE SET"
            for part in words[index + 1 : index + 4]:
                part.text = ""
            _translate_values_function(words[index + 4 :])
            return


def _translate_values_function(words: list[Token]) -> None:
    """Turn ``VALUES(column)`` after ON DUPLICATE KEY into ``excluded``."""
    for index, token in enumerate(words):
        if token.upper == "VALUES" and _word(words, index + 1) == "(":
            token.text = "excluded."
            words[index + 1].text = words[index + 3].text = ""


def _target(words: list[Token]) -> str:
    if words[0].upper not in ("INSERT", "REPLACE"):
        return ""
    for token in words[1:]:
        if token.upper in ("INTO", "IGNORE", "OR", "DELAYED"):
            continue
        return token.text.strip("`").split(".")[-1].lower()
    return ""
