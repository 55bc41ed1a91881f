"""Limits of one workspace on one entry host."""

from chivescale.errors import ErrorKind, Failure
from chivescale.limits._bucket import TokenBucket
from chivescale.messages import WorkspaceRecord

# Statements that a workspace may send at once, in seconds of its rate.
BURST_S = 1.0


class WorkspaceLimits:
    """Connections, concurrent statements and rate of one workspace.

    Every ``open_`` or ``start_`` that returned None must be followed by
    exactly one ``close_`` or ``finish_``.
    """

    def __init__(self, record: WorkspaceRecord):
        self.connections = 0
        self.statements = 0
        self.bucket = TokenBucket(0.0, 1.0)
        self.update(record)

    def update(self, record: WorkspaceRecord) -> None:
        """Take over the limits of a newer sheet."""
        self.record = record
        if self.bucket.rate != record.max_rate:
            burst = record.max_rate * BURST_S
            self.bucket = TokenBucket(record.max_rate, burst)

    def open_connection(self) -> Failure | None:
        """Count a connection, or return ``CONNECTION_LIMIT``."""
        limit = self.record.max_connections
        if limit and self.connections >= limit:
            return self._reached(ErrorKind.CONNECTION_LIMIT, limit)
        self.connections += 1
        return None

    def close_connection(self) -> None:
        """Uncount a connection."""
        self.connections -= 1

    def start_statement(self, now: float) -> Failure | None:
        """Count a statement.

        Returns
        -------
        Failure or None
            ``CONCURRENCY_LIMIT`` or ``RATE_LIMIT``.
        """
        limit = self.record.max_concurrent
        if limit and self.statements >= limit:
            return self._reached(ErrorKind.CONCURRENCY_LIMIT, limit)
        if not self.bucket.try_take(now):
            return self._reached(ErrorKind.RATE_LIMIT, self.record.max_rate)
        self.statements += 1
        return None

    def finish_statement(self) -> None:
        """Uncount a statement."""
        self.statements -= 1

    def _reached(self, kind: ErrorKind, limit: float) -> Failure:
        name = kind.value.replace("_", " ")
        return Failure(kind, f"{name} {limit:g} of {self.record.name}")
