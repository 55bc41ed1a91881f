"""Statement text without comments and string contents."""

import re

# The alternatives are tried in order at each place: strings and quoted
# names, executable comments (their content is code), other comments.
_PIECE = re.compile(
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


def skeleton(sql: str) -> str:
    """Return `sql` in upper case without comments and string contents.

    A string becomes ``''``, a quoted name becomes ``NAME``, and the content
    of ``/*! */`` stays, because the server executes it.

    Examples
    --------
    >>> skeleton("/* x */ select 'a;b', `c` /*!40001 sql_no_cache */")
    "SELECT '', NAME   SQL_NO_CACHE"
    """
    if _NEEDS_SCAN.search(sql) is not None:
        sql = _PIECE.sub(_replace, sql)
    return sql.strip().rstrip("; \t\r\n").upper()


def remove_comments(sql: str) -> str:
    """Return `sql` without comments; the content of `/*! */` stays.

    Examples
    --------
    >>> remove_comments("SET @a = '/* b */' /* c */ -- d").strip()
    "SET @a = '/* b */'"
    """
    if _NEEDS_SCAN.search(sql) is None:
        return sql
    return _STRING_OR_COMMENT.sub(lambda match: match["kept"] or " ", sql)


def _replace(match: re.Match) -> str:
    text = match[0]
    if text[0] in "'\"":
        return "''"
    if text[0] == "`":
        return "NAME"
    return " "
