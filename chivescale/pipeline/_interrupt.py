"""What is known of a statement that its host had to interrupt."""

from chivescale.errors import ErrorKind, Failure
from chivescale.pipeline._call import Call
from chivescale.routing import StatementClass, may_commit

_MAY_WRITE = frozenset({StatementClass.WRITE, StatementClass.COMMIT})


def interrupted(call: Call, in_transaction: bool, reason: str) -> Failure:
    """Return the answer to a statement that was cancelled.

    Parameters
    ----------
    call : Call
        Statement; its transaction has been closed by the cancellation.
    in_transaction : bool
        Whether a transaction was open when the statement arrived.
    reason : str
        Why it was interrupted.

    Returns
    -------
    Failure
        ``TRANSACTION_ABORTED``, ``READ_INTERRUPTED`` or ``SHUTTING_DOWN`` if
        nothing of it is kept, else ``OUTCOME_UNKNOWN``.
    """
    if in_transaction:
        committed = may_commit(call.sql)
        kind = (
            ErrorKind.OUTCOME_UNKNOWN
            if committed
            else ErrorKind.TRANSACTION_ABORTED
        )
    elif call.statement_class in _MAY_WRITE:
        kind = ErrorKind.OUTCOME_UNKNOWN
    elif call.statement_class is StatementClass.READ:
        kind = ErrorKind.READ_INTERRUPTED
    else:
        kind = ErrorKind.SHUTTING_DOWN
    return Failure(kind, reason)
