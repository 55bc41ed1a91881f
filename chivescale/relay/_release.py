"""Returns connections to their pools after rolling back transactions."""

import asyncio

from chivescale.dialect import TransactionState
from chivescale.errors import is_failure
from chivescale.link import Link
from chivescale.relay._endpoint import Endpoint
from chivescale.telemetry import log_event

# A rollback waits until the preceding statement has finished.
ROLLBACK_TIMEOUT_S = 1.0


class ConnectionReleaser:
    """Releases connections and rolls back their open transactions.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Running rollbacks.
    """

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def release(self, endpoint: Endpoint, connection: Link) -> None:
        """Return a connection; roll back its transaction if one is open."""
        if connection.usable and connection.state is not TransactionState.IDLE:
            self.roll_back(endpoint, connection)
        else:
            endpoint.pool.release(connection)

    def roll_back(self, endpoint: Endpoint, connection: Link) -> None:
        task = asyncio.ensure_future(
            self._roll_back_and_release(endpoint, connection)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _roll_back_and_release(
        self, endpoint: Endpoint, connection: Link
    ) -> None:
        if connection.usable:
            text = connection.dialect.rollback_text()
            reply = await connection.statement(text, ROLLBACK_TIMEOUT_S)
            if is_failure(reply) or reply.state is not TransactionState.IDLE:
                connection.abort()
                log_event(
                    "rollback_failed",
                    "warning",
                    endpoint=endpoint.beat.endpoint,
                    reason=reply.reason if is_failure(reply) else "still open",
                )
        endpoint.pool.release(connection)
