"""What failures of endpoints mean for the caller of a statement."""

from chivescale.errors import ErrorKind, Failure

# Refusals that leave the statement free to run elsewhere.
NOT_RUN = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.ENDPOINT_BEHIND,
        ErrorKind.ENDPOINT_READ_ONLY,
        ErrorKind.ENDPOINT_FULL,
        ErrorKind.WRONG_ENDPOINT,
        ErrorKind.UNREACHABLE,
        ErrorKind.CONNECTION_REFUSED,
        ErrorKind.UNKNOWN_STATEMENT,
    }
)


def not_started(failure: Failure) -> Failure:
    """Mark a lost link on which no statement of the caller had left."""
    if failure.kind in (ErrorKind.READ_INTERRUPTED, ErrorKind.TIMEOUT):
        return Failure(ErrorKind.UNREACHABLE, failure.reason)
    return failure


def may_repeat_read(failure: Failure) -> bool:
    return (
        failure.kind in NOT_RUN or failure.kind is ErrorKind.READ_INTERRUPTED
    )


def write_failure(failure: Failure) -> Failure:
    """Return what a caller is told of a write that may have run."""
    unknown = (ErrorKind.READ_INTERRUPTED, ErrorKind.TIMEOUT)
    if failure.kind in unknown:
        reason = f"answer to the write was lost: {failure.reason}"
        return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
    return failure


def aborted(failure: Failure) -> Failure:
    """Return what a caller is told of a transaction that was rolled back."""
    lost = (
        ErrorKind.READ_INTERRUPTED,
        ErrorKind.TIMEOUT,
        ErrorKind.UNREACHABLE,
        ErrorKind.CONNECTION_REFUSED,
    )
    if failure.kind in lost:
        return Failure(ErrorKind.TRANSACTION_ABORTED, failure.reason)
    return failure


def no_endpoint(service: str) -> Failure:
    """Return the refusal while no endpoint can serve a read."""
    reason = f"no endpoint of {service} can be used"
    return Failure(ErrorKind.OVERLOADED, reason)


def queue_refusal(endpoint: str) -> Failure:
    """Return the refusal of new work for an endpoint with a long queue."""
    reason = f"statements wait for too long at {endpoint}"
    return Failure(ErrorKind.OVERLOADED, reason)
