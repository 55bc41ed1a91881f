"""Modes of statements that begin or end a transaction."""

import msgspec

from chivescale.routing._text import skeleton


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
