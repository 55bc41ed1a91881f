"""Parsing of statements that control transactions."""

import msgspec

from chivescale.routing._text import normalize

# Statements that never commit an open transaction. Any other statement may
# commit it, as DDL statements do implicitly.
_NON_COMMITTING_KEYWORDS = frozenset(
    "SELECT INSERT UPDATE DELETE REPLACE WITH VALUES TABLE SAVEPOINT RELEASE"
    " ROLLBACK SHOW EXPLAIN DESCRIBE DESC".split()
)


class TransactionModes(msgspec.Struct, frozen=True):
    """Modes of BEGIN, START TRANSACTION, COMMIT and ROLLBACK.

    Attributes
    ----------
    read_only : bool
        Whether READ ONLY is given.
    chain : bool
        Whether AND CHAIN is given, so that a new transaction begins
        immediately.
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
    words = normalize(sql).replace(",", " ").split()
    text = f" {' '.join(words)} "
    return TransactionModes(
        read_only=" READ ONLY " in text,
        chain=" AND CHAIN " in text,
    )


def may_commit(sql: str) -> bool:
    """Return whether a statement may commit the open transaction.

    Examples
    --------
    >>> may_commit("insert into t values (1)")
    False
    >>> may_commit("/* x */ CREATE TABLE t (id INT)")
    True
    """
    words = normalize(sql).lstrip("( ").split(maxsplit=1)
    return not words or words[0] not in _NON_COMMITTING_KEYWORDS
