"""Rules for retrying a failed attempt (section 2.6 of docs/design.md)."""

import enum

import msgspec

from chivescale.errors import ErrorKind

# Failures where the endpoint rejected the request before executing it.
REJECTED_KINDS = frozenset({ErrorKind.OVERLOADED})
# Failures of a connection or an endpoint rather than of the statement, so the
# statement may succeed on another endpoint.
ENDPOINT_FAULT_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.READ_INTERRUPTED,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.STALE_TERM,
        ErrorKind.TIMEOUT,
        ErrorKind.UNREACHABLE,
    }
)
# MySQL errors raised before execution: too many connections, and a write
# rejected because the server is read-only (a fenced or replaced primary).
REJECTED_ERRNOS = frozenset({1040, 1290, 1836})


class RequestClass(enum.Enum):
    """Class of a request, which decides whether it may be retried."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"


class FailedAttempt(msgspec.Struct, frozen=True):
    """A failed attempt to execute a request.

    Attributes
    ----------
    request : RequestClass
        Class of the request. BEGIN and reads outside transactions are
        ``READ``; anything after BEGIN is ``IN_TRANSACTION``.
    kind : ErrorKind
        Kind of failure.
    request_sent : bool
        Whether any byte of the request may have left this host.
    deadline : float
        Deadline of the request, in monotonic seconds.
    response_started : bool
        Whether any byte of a response was already sent to the caller.
    errno : int
        MySQL error number that the endpoint returned, for
        ``STATEMENT_FAILED``; otherwise 0.
    """

    request: RequestClass
    kind: ErrorKind
    request_sent: bool
    deadline: float
    response_started: bool = False
    errno: int = 0


def may_resend(attempt: FailedAttempt, now: float) -> bool:
    """Return whether a failed attempt may be retried.

    A write is retried only if it certainly never left this host or was
    rejected before execution. The retry budget is not checked here; that is
    up to the caller.

    Examples
    --------
    >>> late = FailedAttempt(RequestClass.WRITE, ErrorKind.TIMEOUT, True, 10.0)
    >>> may_resend(late, 5.0)
    False
    """
    if attempt.response_started or now >= attempt.deadline:
        return False
    if attempt.request is RequestClass.IN_TRANSACTION:
        # The transaction is bound to its connection: the statements before
        # this one are rolled back when the connection is lost.
        return False
    rejected = attempt.kind in REJECTED_KINDS or (
        attempt.kind is ErrorKind.STATEMENT_FAILED
        and attempt.errno in REJECTED_ERRNOS
    )
    if rejected:
        return True
    if attempt.kind not in ENDPOINT_FAULT_KINDS:
        return False
    return not attempt.request_sent or attempt.request is RequestClass.READ
