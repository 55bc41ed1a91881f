"""Maps endpoint failures to the failures reported to clients."""

from chivescale.errors import ErrorKind, Failure

# Failures after which the statement was certainly not executed, so that it
# may be retried on another endpoint.
NOT_EXECUTED = frozenset(
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

# Failures for lack of something that another entry host may have: a
# connection to the endpoint, or a lease on its epoch. The statement was not
# executed.
SERVED_ELSEWHERE = frozenset({ErrorKind.ENDPOINT_FULL, ErrorKind.NO_LEASE})


def as_not_sent(failure: Failure) -> Failure:
    """Return the failure of a connection before the statement was sent."""
    if failure.kind in (ErrorKind.READ_INTERRUPTED, ErrorKind.TIMEOUT):
        return Failure(ErrorKind.UNREACHABLE, failure.reason)
    return failure


def is_retryable_read(failure: Failure) -> bool:
    return (
        failure.kind in NOT_EXECUTED
        or failure.kind is ErrorKind.READ_INTERRUPTED
    )


def as_write_failure(failure: Failure) -> Failure:
    """Return the failure reported for a write that may have been executed."""
    unknown = (ErrorKind.READ_INTERRUPTED, ErrorKind.TIMEOUT)
    if failure.kind in unknown:
        reason = f"answer to the write was lost: {failure.reason}"
        return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
    return failure


def as_aborted(failure: Failure) -> Failure:
    """Return the failure reported for a transaction that was rolled back."""
    lost = (
        ErrorKind.READ_INTERRUPTED,
        ErrorKind.TIMEOUT,
        ErrorKind.UNREACHABLE,
        ErrorKind.CONNECTION_REFUSED,
    )
    if failure.kind in lost:
        return Failure(ErrorKind.TRANSACTION_ABORTED, failure.reason)
    return failure


def no_endpoint_failure(service: str) -> Failure:
    """Return the failure if no endpoint can serve the statement."""
    reason = f"no usable endpoint of service {service}"
    return Failure(ErrorKind.OVERLOADED, reason)


def queue_delay_failure(endpoint: str) -> Failure:
    """Return the failure for new work rejected by admission control."""
    reason = f"queue delay of endpoint {endpoint} exceeds the target"
    return Failure(ErrorKind.OVERLOADED, reason)
