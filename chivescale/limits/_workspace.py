"""Limits of one workspace on one entry host."""

from chivescale.errors import ErrorKind, Failure
from chivescale.limits._bucket import TokenBucket
from chivescale.messages import WorkspaceRecord

# Burst size of the rate limit, in seconds of the workspace's rate.
BURST_S = 1.0


class WorkspaceLimits:
    """Connection, concurrency and rate limits of one workspace.

    Each call of `open_connection` or `start_statement` that returns None must
    be followed by exactly one call of `close_connection` or
    `finish_statement`.
    """

    def __init__(self, record: WorkspaceRecord):
        self.connections = 0
        self.statements = 0
        self.bucket = TokenBucket(0.0, 1.0)
        self.update(record)

    def update(self, record: WorkspaceRecord) -> None:
        """Apply the limits of a newer sheet."""
        self.record = record
        if self.bucket.rate != record.max_rate:
            burst = record.max_rate * BURST_S
            self.bucket = TokenBucket(record.max_rate, burst)

    def open_connection(self) -> Failure | None:
        """Count a new connection.

        Returns
        -------
        Failure or None
            ``CONNECTION_LIMIT``; None if the connection is accepted.
        """
        limit = self.record.max_connections
        if limit and self.connections >= limit:
            return self._limit_exceeded(ErrorKind.CONNECTION_LIMIT, limit)
        self.connections += 1
        return None

    def close_connection(self) -> None:
        """Decrement the number of open connections."""
        self.connections -= 1

    def start_statement(self, now: float) -> Failure | None:
        """Count a new statement.

        Returns
        -------
        Failure or None
            ``CONCURRENCY_LIMIT`` or ``RATE_LIMIT``; None if the statement may
            run.
        """
        limit = self.record.max_concurrent
        if limit and self.statements >= limit:
            return self._limit_exceeded(ErrorKind.CONCURRENCY_LIMIT, limit)
        if not self.bucket.try_take(now):
            return self._limit_exceeded(
                ErrorKind.RATE_LIMIT, self.record.max_rate
            )
        self.statements += 1
        return None

    def finish_statement(self) -> None:
        """Decrement the number of running statements."""
        self.statements -= 1

    def _limit_exceeded(self, kind: ErrorKind, limit: float) -> Failure:
        name = kind.value.replace("_", " ")
        return Failure(
            kind,
            f"{name} of {limit:g} reached by workspace {self.record.name}",
        )
