"""Admission of statements to one endpoint."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale.errors import Failure, is_failure
from chivescale.limits import AdaptiveLimit, FairQueue
from chivescale.messages import EndpointRecord
from chivescale.mysql import ClientConnection, QueryResult
from chivescale.pool import Pool

# While statements wait during a ramp, the limit rises without any statement
# ending, so the queue is looked at this often.
PUMP_INTERVAL_S = 0.02
LATENCY_SMOOTHING = 0.2
# After a failed connection an endpoint is avoided for reads this long.
SUSPECT_S = 1.0
LIMIT_PER_SLOT = 8


class EndpointGate:
    """Fair queue, concurrency limit and pool of one endpoint.

    A statement takes its connection before its place in the queue. The
    other order would deadlock: statements that hold places would wait for
    connections held by transactions that wait for places.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    pool : Pool
        Its connections.
    """

    def __init__(self, record: EndpointRecord, pool: Pool):
        self.record = record
        self.pool = pool
        self.queue = FairQueue()
        slots = max(1, record.slots)
        self.limit = AdaptiveLimit(slots, 1, slots * LIMIT_PER_SLOT)
        self.latency_s = 0.0
        self.leaving = record.leaving
        self.suspect_until = 0.0
        self.behind_until = 0.0
        # When a statement was answered last, in monotonic seconds.
        self.answered_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def in_use(self) -> int:
        """Statements running or waiting."""
        return self.limit.in_use + len(self.queue)

    async def enter(self, workspace: str, deadline: float) -> Failure | None:
        """Wait for a place; every None needs one `leave`."""
        now = clock.now()
        if not len(self.queue) and self.limit.try_acquire(now):
            return None
        place = asyncio.get_running_loop().create_future()
        refused = self.queue.offer(workspace, place, deadline, now)
        if refused is not None:
            return refused
        self._arm()
        try:
            return await place
        except asyncio.CancelledError:
            if not self.queue.cancel(place):
                self._give_back()
            raise

    def join(self) -> None:
        """Take a place at once, above the limit if need be.

        For statements of an open transaction. Writers that wait for its
        locks hold places, so it would wait for them and they for it.
        """
        self.limit.in_use += 1

    def leave(self, latency_s: float, ok: bool) -> None:
        """Return a place and let the next statements in."""
        now = clock.now()
        self.limit.release(latency_s, ok, now)
        if ok:
            self.answered_at = now
            change = latency_s - self.latency_s
            self.latency_s += LATENCY_SMOOTHING * change
        self._pump()

    def suspect(self) -> None:
        """Avoid the endpoint for reads for a while."""
        self.suspect_until = clock.now() + SUSPECT_S

    def close(self) -> None:
        """Close the pool and stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
        self.pool.close()

    def _give_back(self) -> None:
        self.limit.in_use -= 1
        self._pump()

    def _pump(self) -> None:
        now = clock.now()
        for place, failure in self.queue.expire(now):
            if not place.done():
                place.set_result(failure)
        while len(self.queue) and self.limit.try_acquire(now):
            place = self.queue.take(now)
            if place is None:
                self.limit.in_use -= 1
                break
            if place.done():
                self.limit.in_use -= 1
                continue
            place.set_result(None)
        self._arm()

    def _arm(self) -> None:
        if self.timer is not None or not len(self.queue):
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(PUMP_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._pump()


async def run_statement(
    gate: EndpointGate,
    connection: ClientConnection,
    workspace: str,
    sql: str,
    deadline: float,
    observe_queue: collections.abc.Callable[[float], None],
) -> QueryResult | Failure:
    """Run one statement on a connection once the gate lets it in.

    Returns
    -------
    QueryResult or Failure
        Failures of the gate come before any byte left.
    """
    arrived = clock.now()
    if connection.in_transaction:
        gate.join()
    else:
        refused = await gate.enter(workspace, deadline)
        if refused is not None:
            return refused
    started = clock.now()
    observe_queue(started - arrived)
    answer = None
    try:
        answer = await connection.query(sql, deadline)
        return answer
    finally:
        ok = answer is not None and (
            not is_failure(answer) or answer.errno != 0
        )
        gate.leave(clock.now() - started, ok)
