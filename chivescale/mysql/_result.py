"""Outcome of a statement, as both sides of the proxy exchange it."""

import msgspec

from chivescale.messages import Position

# Column types of the protocol that this project names itself.
TYPE_DOUBLE = 0x05
TYPE_NULL = 0x06
TYPE_LONGLONG = 0x08
TYPE_DATE = 0x0A
TYPE_TIME = 0x0B
TYPE_DATETIME = 0x0C
TYPE_NEWDECIMAL = 0xF6
TYPE_BLOB = 0xFC
TYPE_VAR_STRING = 0xFD

CHARSET_UTF8MB4 = 45
CHARSET_BINARY = 63

FLAG_UNSIGNED = 32
FLAG_BINARY = 128


class Column(msgspec.Struct, frozen=True):
    """Column of a result set.

    Attributes
    ----------
    name : str
        Name as the caller sees it.
    type : int
        Column type of the protocol.
    charset : int
        Collation number; 63 marks binary data, and only this number tells
        a driver to return bytes instead of text.
    flags, length, decimals : int
        Further fields of the column definition, passed on unchanged.
    """

    name: str
    type: int
    charset: int = CHARSET_UTF8MB4
    flags: int = 0
    length: int = 1024
    decimals: int = 0


class QueryResult(msgspec.Struct):
    """Successful outcome of a statement.

    Attributes
    ----------
    columns : tuple of Column
        Empty for statements that return no rows.
    rows : list of tuple
        Values in text form: ``bytes`` as the endpoint sent them, or
        ``str``, ``int``, ``float`` and None when produced locally.
    affected_rows, last_insert_id, warnings : int
        Fields of the OK packet.
    commit : Position, optional
        Place of the commit in the group's log.
    in_transaction : bool
        Whether a transaction is open on the connection afterwards.
    """

    columns: tuple[Column, ...] = ()
    rows: list[tuple] = msgspec.field(default_factory=list)
    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0
    commit: Position | None = None
    in_transaction: bool = False


def format_commit(commit: Position) -> str:
    """Return the info field of the OK packet of a commit.

    Examples
    --------
    >>> format_commit(Position(3, 41))
    'term=3 position=41'
    """
    return f"term={commit.term} position={commit.position}"


def parse_commit(info: str) -> Position | None:
    """Read the info field of an OK packet; None if it names no position.

    Examples
    --------
    >>> parse_commit("term=3 position=41")
    Position(term=3, position=41)
    >>> parse_commit("Rows matched: 1") is None
    True
    """
    fields = dict(
        part.split("=", 1) for part in info.split() if part.count("=") == 1
    )
    term, position = fields.get("term", ""), fields.get("position", "")
    if not (_is_number(term) and _is_number(position)):
        return None
    return Position(int(term), int(position))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 19
