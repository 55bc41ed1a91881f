"""Removal of comments and string contents from SQL text."""

import re

# Alternatives in order of precedence: strings and quoted identifiers, the
# markers of executable comments (whose content is SQL), other comments.
_LITERAL_OR_COMMENT = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`"""
    r"""|/\*!\d*|/\*.*?\*/|\*/|--(?=\s|$)[^\n]*|\#[^\n]*""",
    re.DOTALL,
)
_STRING_OR_COMMENT = re.compile(
    r"""(?P<kept>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`)"""
    r"""|/\*!\d*|/\*.*?\*/|\*/|--(?=\s|$)[^\n]*|\#[^\n]*""",
    re.DOTALL,
)
_NEEDS_SCAN = re.compile(r"""['"`#]|/\*|--""")


def normalize(sql: str) -> str:
    """Return `sql` in upper case without comments and string contents.

    Strings are replaced by ``''`` and quoted identifiers by ``NAME``. The
    content of ``/*! */`` is kept, because the server executes it.

    Examples
    --------
    >>> normalize("/* x */ select 'a;b', `c` /*!40001 sql_no_cache */")
    "SELECT '', NAME   SQL_NO_CACHE"
    """
    if _NEEDS_SCAN.search(sql) is not None:
        sql = _LITERAL_OR_COMMENT.sub(_replacement, sql)
    return sql.strip().rstrip("; \t\r\n").upper()


def remove_comments(sql: str) -> str:
    """Return `sql` without comments; the content of ``/*! */`` is kept.

    Examples
    --------
    >>> remove_comments("SET @a = '/* b */' /* c */ -- d").strip()
    "SET @a = '/* b */'"
    """
    if _NEEDS_SCAN.search(sql) is None:
        return sql
    return _STRING_OR_COMMENT.sub(lambda match: match["kept"] or " ", sql)


def _replacement(match: re.Match) -> str:
    text = match[0]
    if text[0] in "'\"":
        return "''"
    if text[0] == "`":
        return "NAME"
    return " "
