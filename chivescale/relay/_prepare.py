"""Replays session state on a connection before a client's statement."""

import msgspec

from chivescale.dialect import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link

# Connections with this many prepared statements are reset, because endpoints
# keep each of them in memory.
MAX_PREPARED_PER_CONNECTION = 200


class PreparedStatement(msgspec.Struct, frozen=True):
    """Definition of a prepared statement."""

    writes: bool
    text: str


class RequiredState(msgspec.Struct):
    """State that a connection must have before a statement runs.

    Attributes
    ----------
    values : dict of str to str
        Exact set of session variables.
    definition : PreparedStatement or None
        Statement that must be prepared.
    begin : str
        Statement that begins a transaction; empty for none.
    """

    values: dict[str, str]
    definition: PreparedStatement | None = None
    begin: str = ""


async def prepare_connection(
    connection: Link, required: RequiredState, timeout_s: float
) -> Reply | Failure | None:
    """Replay session variables, a prepared statement and a begin.

    They are pipelined in a single write. The client's statement must be sent
    only after all of them have succeeded.

    Returns
    -------
    Reply, Failure or None
        Reply to the begin, or None without a begin. If the endpoint refuses
        the begin, the connection stays usable; any other failure closes it.
        On failure the client's statement was not sent.
    """
    dialect = connection.dialect
    texts: list[str] = []
    known = connection.values
    has_extra_values = bool(known.keys() - required.values.keys())
    is_full = len(connection.prepared) >= MAX_PREPARED_PER_CONNECTION
    if connection.state is TransactionState.IDLE and (
        has_extra_values or is_full
    ):
        texts.append(dialect.reset_text())
        known = {}
        connection.prepared.clear()
    for name, value in required.values.items():
        if known.get(name) != value:
            texts.append(dialect.set_text(name, value))
    definition = required.definition
    if definition is not None and definition not in connection.prepared:
        name = f"p{len(connection.prepared) + 1}"
        connection.prepared[definition] = name
        texts.append(
            dialect.prepare_text(name, definition.writes, definition.text)
        )
    replayed_count = len(texts)
    if required.begin:
        texts.append(required.begin)
    if not texts:
        return None
    data = b"".join(dialect.query("", text) for text in texts)
    replies = await connection.exchange(data, len(texts), timeout_s)
    if is_failure(replies):
        return replies
    for reply in replies[:replayed_count]:
        if reply.refusal is not None:
            connection.abort()
            reason = f"session state refused: {reply.refusal.detail}"
            return Failure(ErrorKind.UNREACHABLE, reason)
    connection.values = dict(required.values)
    if not required.begin:
        return None
    refusal = replies[-1].refusal
    if refusal is not None:
        return Failure(refusal.kind, refusal.detail)
    return replies[-1]


def forwarded_text(
    connection: Link,
    statement: Statement,
    definition: PreparedStatement | None,
) -> str:
    """Return the text to send for a statement on a connection."""
    if statement.kind is StatementKind.EXECUTE:
        name = connection.prepared[definition]
        return connection.dialect.execute_text(name, statement.argument)
    return statement.text
