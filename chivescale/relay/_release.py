"""Returns links to their pools, outside any transaction."""

import asyncio

from chivescale.dialect import TransactionState
from chivescale.errors import is_failure
from chivescale.link import Link
from chivescale.relay._endpoint import Endpoint
from chivescale.telemetry import log_event

# A rollback waits for the statement before it.
ROLLBACK_TIMEOUT_S = 1.0


class Returns:
    """Takes links back from statements; rolls back what is still open.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Rollbacks under way.
    """

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def release(self, endpoint: Endpoint, link: Link) -> None:
        """Return a link; one that is inside a transaction is rolled back."""
        if link.usable and link.state is not TransactionState.IDLE:
            self.roll_back(endpoint, link)
        else:
            endpoint.pool.release(link)

    def roll_back(self, endpoint: Endpoint, link: Link) -> None:
        task = asyncio.ensure_future(self._end_transaction(endpoint, link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _end_transaction(self, endpoint: Endpoint, link: Link) -> None:
        if link.usable:
            text = link.dialect.rollback_text()
            reply = await link.statement(text, ROLLBACK_TIMEOUT_S)
            if is_failure(reply) or reply.state is not TransactionState.IDLE:
                link.abort()
                log_event(
                    "rollback_failed",
                    "warning",
                    endpoint=endpoint.beat.endpoint,
                    reason=reply.reason if is_failure(reply) else "still open",
                )
        endpoint.pool.release(link)
