"""Modes of statements that begin or end a transaction."""

import msgspec

from chivescale.routing._text import skeleton

# Statements that leave an open transaction open. Any other one may commit
# it, as statements that change the schema do.
_KEEPS_OPEN = frozenset(
    "SELECT INSERT UPDATE DELETE REPLACE WITH VALUES TABLE SAVEPOINT RELEASE"
    " ROLLBACK SHOW EXPLAIN DESCRIBE DESC".split()
)


class TransactionModes(msgspec.Struct, frozen=True):
    """Modes of BEGIN, START TRANSACTION, COMMIT and ROLLBACK.

    Attributes
    ----------
    read_only : bool
        START TRANSACTION READ ONLY.
    chain : bool
        AND CHAIN: the next transaction begins at once.
    """

    read_only: bool = False
    chain: bool = False


def transaction_modes(sql: str) -> TransactionModes:
    """Return the modes of a statement that begins or ends a transaction.

    Examples
    --------
    >>> transaction_modes("commit and chain").chain
    True
    >>> transaction_modes("COMMIT AND NO CHAIN").chain
    False
    """
    words = skeleton(sql).replace(",", " ").split()
    text = f" {' '.join(words)} "
    return TransactionModes(
        read_only=" READ ONLY " in text,
        chain=" AND CHAIN " in text,
    )


def may_commit(sql: str) -> bool:
    """Tell whether a statement may commit the open transaction.

    Examples
    --------
    >>> may_commit("insert into t values (1)")
    False
    >>> may_commit("/* x */ CREATE TABLE t (id INT)")
    True
    """
    words = skeleton(sql).lstrip("( ").split(maxsplit=1)
    return not words or words[0] not in _KEEPS_OPEN
