"""Whether a failed attempt may be sent again (design section 2.6)."""

import enum

import msgspec

from chivescale.errors import ErrorKind

# Outcomes in which the endpoint refused the request before running it.
REFUSED = frozenset({ErrorKind.OVERLOADED})
# Outcomes of a connection or endpoint, not of the statement itself: another
# endpoint may succeed.
ENDPOINT_FAULTS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.READ_INTERRUPTED,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.STALE_TERM,
        ErrorKind.TIMEOUT,
        ErrorKind.UNREACHABLE,
    }
)
# MySQL errors that precede execution: too many connections, and a write
# refused because the server is read-only (a fenced or replaced primary).
REFUSED_ERRNOS = frozenset({1040, 1290, 1836})


class Request(enum.Enum):
    """Class of a request, as far as resending is concerned."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"


class Attempt(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    request : Request
        Class of the request. BEGIN and reads outside transactions are
        ``READ``; anything after BEGIN is ``IN_TRANSACTION``.
    kind : ErrorKind
        How the attempt failed.
    bytes_sent : bool
        Whether the first byte of the request may have left this host.
    answer_bytes_sent : bool
        Whether the caller already received a byte of an answer.
    deadline : float
        Deadline of the request, in monotonic seconds.
    errno : int
        MySQL error number of the endpoint with ``STATEMENT_FAILED``.
    """

    request: Request
    kind: ErrorKind
    bytes_sent: bool
    deadline: float
    answer_bytes_sent: bool = False
    errno: int = 0


def may_resend(attempt: Attempt, now: float) -> bool:
    """Tell whether a failed attempt may be sent again.

    A write is sent again only if it provably never left this host or was
    refused before execution. The retry budget is the caller's to ask.

    Examples
    --------
    >>> late = Attempt(Request.WRITE, ErrorKind.TIMEOUT, True, 10.0)
    >>> may_resend(late, 5.0)
    False
    """
    if attempt.answer_bytes_sent or now >= attempt.deadline:
        return False
    if attempt.request is Request.IN_TRANSACTION:
        # The connection holds the transaction; without it the earlier
        # statements are gone.
        return False
    refused = attempt.kind in REFUSED or (
        attempt.kind is ErrorKind.STATEMENT_FAILED
        and attempt.errno in REFUSED_ERRNOS
    )
    if refused:
        return True
    if attempt.kind not in ENDPOINT_FAULTS:
        return False
    return not attempt.bytes_sent or attempt.request is Request.READ
