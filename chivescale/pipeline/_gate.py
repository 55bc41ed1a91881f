"""Admission control of one endpoint."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale.errors import Failure, is_failure
from chivescale.limits import AdaptiveLimit, FairQueue
from chivescale.messages import EndpointRecord
from chivescale.mysql import ClientConnection, QueryResult
from chivescale.pool import Pool

# During a ramp the limit rises although no statement ends, so a non-empty
# queue is also checked periodically.
QUEUE_CHECK_INTERVAL_S = 0.02
LATENCY_SMOOTHING = 0.2
# Time for which reads avoid an endpoint after a failed connection.
SUSPECT_DURATION_S = 1.0
MAX_CONCURRENCY_PER_SLOT = 8


class EndpointGate:
    """Fair queue, concurrency limit and connection pool of one endpoint.

    A statement acquires its connection before its slot. The opposite order
    would deadlock: statements that hold slots would wait for connections
    held by transactions that wait for slots.

    Parameters
    ----------
    record : EndpointRecord
        Published record of the endpoint.
    pool : Pool
        Connection pool of the endpoint.

    Attributes
    ----------
    latency_s : float
        Exponentially smoothed latency of answered statements.
    leaving : bool
        Whether the endpoint accepts no new work.
    suspect_until : float
        Monotonic time until which reads avoid the endpoint, after a failed
        connection.
    lagging_until : float
        Monotonic time until which reads do not wait for the endpoint to
        catch up.
    last_answer_at : float
        Monotonic time of the last answer to a statement.
    """

    def __init__(self, record: EndpointRecord, pool: Pool):
        self.record = record
        self.pool = pool
        self.queue = FairQueue()
        slots = max(1, record.slots)
        self.limit = AdaptiveLimit(slots, 1, slots * MAX_CONCURRENCY_PER_SLOT)
        self.latency_s = 0.0
        self.leaving = record.leaving
        self.suspect_until = 0.0
        self.lagging_until = 0.0

        self.last_answer_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def in_use(self) -> int:
        """Number of statements that are running or queued."""
        return self.limit.in_use + len(self.queue)

    async def acquire_slot(
        self, workspace: str, deadline: float
    ) -> Failure | None:
        """Wait for a slot.

        Returns
        -------
        Failure or None
            None if a slot was acquired; `release_slot` must then be called.
        """
        now = clock.now()
        if not len(self.queue) and self.limit.try_acquire(now):
            return None
        slot_future = asyncio.get_running_loop().create_future()
        rejection = self.queue.offer(workspace, slot_future, deadline, now)
        if rejection is not None:
            return rejection
        self._schedule_check()
        try:
            return await slot_future
        except asyncio.CancelledError:
            if not self.queue.cancel(slot_future):
                self._return_unused_slot()
            raise

    def acquire_slot_over_limit(self) -> None:
        """Acquire a slot without waiting, even above the limit.

        Used for statements of an open transaction. Writers that wait for the
        locks of the transaction hold slots, so queueing its statements behind
        them would cause a deadlock.
        """
        self.limit.in_use += 1

    def release_slot(self, latency_s: float, answered: bool) -> None:
        """Release a slot and admit queued statements."""
        now = clock.now()
        self.limit.release(latency_s, answered, now)
        if answered:
            self.last_answer_at = now
            change = latency_s - self.latency_s
            self.latency_s += LATENCY_SMOOTHING * change
        self._admit_queued()

    def mark_suspect(self) -> None:
        """Make reads avoid the endpoint for `SUSPECT_DURATION_S`."""
        self.suspect_until = clock.now() + SUSPECT_DURATION_S

    def close(self) -> None:
        """Close the pool and cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
        self.pool.close()

    def _return_unused_slot(self) -> None:
        self.limit.in_use -= 1
        self._admit_queued()

    def _admit_queued(self) -> None:
        now = clock.now()
        for slot_future, failure in self.queue.expire(now):
            if not slot_future.done():
                slot_future.set_result(failure)
        while len(self.queue) and self.limit.try_acquire(now):
            slot_future = self.queue.take(now)
            if slot_future is None:
                self.limit.in_use -= 1
                break
            if slot_future.done():
                self.limit.in_use -= 1
                continue
            slot_future.set_result(None)
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self.timer is not None or not len(self.queue):
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(QUEUE_CHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._admit_queued()


async def run_statement(
    gate: EndpointGate,
    connection: ClientConnection,
    workspace: str,
    sql: str,
    deadline: float,
    observe_queue: collections.abc.Callable[[float], None],
) -> QueryResult | Failure:
    """Run one statement on a connection once it has been admitted.

    Returns
    -------
    QueryResult or Failure
        If admission fails, nothing has been sent to the endpoint.
    """
    queued_at = clock.now()
    if connection.in_transaction:
        gate.acquire_slot_over_limit()
    else:
        rejection = await gate.acquire_slot(workspace, deadline)
        if rejection is not None:
            return rejection
    started_at = clock.now()
    observe_queue(started_at - queued_at)
    answer = None
    try:
        answer = await connection.query(sql, deadline)
        return answer
    finally:
        answered = answer is not None and (
            not is_failure(answer) or answer.errno != 0
        )
        gate.release_slot(clock.now() - started_at, answered)
