"""Sentinel value returned instead of a result."""

import typing

import msgspec

from chivescale.errors._kinds import KIND_TABLE, ErrorKind


class Failure(msgspec.Struct, frozen=True):
    """Outcome of an operation that did not succeed.

    Functions at module boundaries return a ``Failure`` instead of raising an
    exception, so that the calling code has to decide what the outcome means
    for its own request.

    Attributes
    ----------
    kind : ErrorKind
        Error kind.
    reason : str
        Human-readable description on one line.
    errno : int, optional
        MySQL error number reported by the endpoint if `kind` is
        ``STATEMENT_FAILED``; zero otherwise.
    sqlstate : str, optional
        SQLSTATE reported by the endpoint if `kind` is
        ``STATEMENT_FAILED``; empty otherwise.
    leader_address : str, optional
        Address of the leader if `kind` is ``NOT_LEADER``; empty if unknown.

    Examples
    --------
    >>> from chivescale.errors import ErrorKind, Failure, is_failure
    >>> failure = Failure(ErrorKind.NO_QUORUM, "1 of 3 voters reachable")
    >>> is_failure(failure), failure.may_have_run
    (True, False)
    """

    kind: ErrorKind
    reason: str
    errno: int = 0
    sqlstate: str = ""
    leader_address: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have taken effect."""
        return KIND_TABLE[self.kind].may_have_run

    @property
    def retryable(self) -> bool:
        """Whether the unchanged request may be retried."""
        return KIND_TABLE[self.kind].retryable


def is_failure(value: object) -> typing.TypeGuard[Failure]:
    """Return whether `value` is a `Failure`."""
    return isinstance(value, Failure)
