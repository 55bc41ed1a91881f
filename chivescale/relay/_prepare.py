"""Brings a link into the state that a caller's statement needs."""

import msgspec

from chivescale.dialect import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link

# More prepared statements on one link are cleared; endpoints keep each of
# them in memory.
MAX_PREPARED = 200


class Definition(msgspec.Struct, frozen=True):
    """Content of a prepared statement."""

    writes: bool
    text: str


class Need(msgspec.Struct):
    """What a link must hold before a statement runs.

    Attributes
    ----------
    values : dict of str to str
        Exactly these session values.
    definition : Definition or None
        Statement that must be prepared.
    begin : str
        Text that begins a transaction; empty for none.
    """

    values: dict[str, str]
    definition: Definition | None = None
    begin: str = ""


async def prepare_link(
    link: Link, need: Need, timeout_s: float
) -> Reply | Failure | None:
    """Replay values, a prepared statement and a begin on a link.

    All of it travels in one message; the caller's statement follows only
    after every part was answered with success.

    Returns
    -------
    Reply, Failure or None
        Answer to the begin, None without one. The refusal of the begin
        leaves the link usable; any other failure closes it. No statement
        of the caller has left.
    """
    dialect = link.dialect
    texts: list[str] = []
    known = link.values
    surplus = bool(known.keys() - need.values.keys())
    full = len(link.prepared) >= MAX_PREPARED
    if link.state is TransactionState.IDLE and (surplus or full):
        texts.append(dialect.reset_text())
        known = {}
        link.prepared.clear()
    for name, value in need.values.items():
        if known.get(name) != value:
            texts.append(dialect.set_text(name, value))
    definition = need.definition
    if definition is not None and definition not in link.prepared:
        name = f"p{len(link.prepared) + 1}"
        link.prepared[definition] = name
        texts.append(
            dialect.prepare_text(name, definition.writes, definition.text)
        )
    replayed = len(texts)
    if need.begin:
        texts.append(need.begin)
    if not texts:
        return None
    data = b"".join(dialect.query("", text) for text in texts)
    replies = await link.exchange(data, len(texts), timeout_s)
    if is_failure(replies):
        return replies
    for reply in replies[:replayed]:
        if reply.refusal is not None:
            link.abort()
            reason = f"replay refused: {reply.refusal.detail}"
            return Failure(ErrorKind.UNREACHABLE, reason)
    link.values = dict(need.values)
    if not need.begin:
        return None
    refusal = replies[-1].refusal
    if refusal is not None:
        return Failure(refusal.kind, refusal.detail)
    return replies[-1]


def forwarded_text(
    link: Link, statement: Statement, definition: Definition | None
) -> str:
    """Return the text under which a statement runs on a link."""
    if statement.kind is StatementKind.EXECUTE:
        name = link.prepared[definition]
        return link.dialect.execute_text(name, statement.argument)
    return statement.text
