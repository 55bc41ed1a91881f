"""Sentinel value returned in place of a result."""

import typing

import msgspec

from chivescale.errors._kinds import KIND_TABLE, ErrorKind


class Failure(msgspec.Struct, frozen=True):
    """Outcome of an operation that did not succeed.

    Functions at module borders return a ``Failure`` instead of raising, so
    that a caller has to decide what the outcome means for its own request.

    Attributes
    ----------
    kind : ErrorKind
        Entry of the closed list of error kinds.
    reason : str
        What went wrong, for a person; one line.
    errno : int, optional
        MySQL error number of the endpoint when `kind` is
        ``STATEMENT_FAILED``; zero otherwise.
    sqlstate : str, optional
        SQLSTATE of the endpoint in the same case.
    redirect : str, optional
        With ``NOT_LEADER``: address to ask instead; empty if unknown.

    Examples
    --------
    >>> from chivescale.errors import ErrorKind, Failure, is_failure
    >>> answer = Failure(ErrorKind.NO_QUORUM, "1 of 3 voters reachable")
    >>> is_failure(answer), answer.may_have_run
    (True, False)
    """

    kind: ErrorKind
    reason: str
    errno: int = 0
    sqlstate: str = ""
    redirect: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have taken effect."""
        return KIND_TABLE[self.kind].may_have_run

    @property
    def may_repeat(self) -> bool:
        """Whether the caller may send the request again as it is."""
        return KIND_TABLE[self.kind].may_repeat


def is_failure(value: object) -> typing.TypeGuard[Failure]:
    """Tell whether `value` is a `Failure`."""
    return isinstance(value, Failure)
