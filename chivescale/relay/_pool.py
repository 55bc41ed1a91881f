"""Pool of connections from one entry host to one endpoint."""

import asyncio
import collections.abc
import heapq
import itertools
import random

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link

# A new connection occupies a slot of the endpoint, so opening it may have to
# wait for running statements.
CONNECT_TIMEOUT_S = 1.0
# Delay before the next attempt after the endpoint refused a connection at its
# limit. It doubles with each consecutive refusal, because attempts use slot
# time and many hosts would otherwise retry simultaneously.
FULL_BACKOFF_S = 0.8
MAX_FULL_BACKOFF_S = 1.6
# Delay before the next attempt after connecting failed for another reason.
FAILURE_BACKOFF_S = 0.25
# Connections above the guaranteed number are closed after this time without
# use. After a power failure an endpoint counts dead connections for seconds;
# keeping few connections open leaves room for new ones.
EXCESS_IDLE_TIMEOUT_S = 1.5

Connect = collections.abc.Callable[
    [float], collections.abc.Awaitable[Link | Failure]
]


class ConnectionPool:
    """Connection pool that serves waiters by priority.

    Parameters
    ----------
    connect : callable
        Coroutine function ``(timeout_s) -> Link | Failure``.

    Attributes
    ----------
    guaranteed : int
        Number of connections that this host may keep open while idle.
    limit : int
        Maximum number of connections, if the endpoint accepts them.
    lent : int
        Number of connections in use.
    """

    def __init__(self, connect: Connect):
        self.connect = connect
        self.guaranteed = 1
        self.limit = 1
        self.idle: list[Link] = []
        self.lent = 0
        self.opening = 0
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.sequence = itertools.count()
        self.full_until = 0.0
        self.full_backoff_s = FULL_BACKOFF_S
        self.failed_until = 0.0
        self.last_failure: Failure | None = None
        self.tasks: set[asyncio.Task] = set()

    @property
    def held(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + self.lent + self.opening

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a connection."""
        return len(self.waiters)

    def failing(self, time: float) -> bool:
        """Return whether connecting failed recently and none are open."""
        return time < self.failed_until and not self.idle and not self.lent

    async def acquire(
        self,
        priority: int,
        timeout_s: float,
        values: dict[str, str],
        session: object,
    ) -> Link | Failure:
        """Acquire a connection.

        Parameters
        ----------
        priority : int
            Priority of the waiter; lower values are served first.
        timeout_s : float
            Maximum wait.
        values : dict of str to str
            Session variables required by the statement; a connection on
            which they are already set is preferred.
        session : object
            Client session; the connection it used last is preferred.

        Returns
        -------
        Link or Failure
            On failure no statement was sent.
        """
        connection = self._take_idle(values, session)
        if connection is not None:
            self.lent += 1
            return connection
        if self.failing(now()):
            return self.last_failure
        self._connect_if_allowed()
        if not self.opening and not self.lent:
            reason = "endpoint accepts no more connections"
            return Failure(ErrorKind.ENDPOINT_FULL, reason)
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self.sequence), future)
        heapq.heappush(self.waiters, entry)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                # A connection was assigned in the same event loop iteration.
                return future.result()
            reason = f"no connection free in {timeout_s:.3f} s"
            return Failure(ErrorKind.OVERLOADED, reason)
        finally:
            if entry in self.waiters:
                self.waiters.remove(entry)
                heapq.heapify(self.waiters)

    def _take_idle(self, values, session) -> Link | None:
        self.idle = [
            connection for connection in self.idle if connection.usable
        ]
        if not self.idle:
            return None
        best = max(
            self.idle,
            key=lambda connection: (
                connection.values == values,
                connection.last_session is session,
                connection.used_at,
            ),
        )
        self.idle.remove(best)
        return best

    def _connect_if_allowed(self) -> None:
        time = now()
        if time < self.failed_until:
            return
        wanted = len(self.waiters) + 1 - self.opening
        if time >= self.full_until and self.held < self.limit and wanted > 0:
            self.opening += 1
            task = asyncio.ensure_future(self._connect())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        try:
            opened = await self.connect(CONNECT_TIMEOUT_S)
        finally:
            self.opening -= 1
        if not is_failure(opened):
            self.full_backoff_s = FULL_BACKOFF_S
            self.lent += 1
            self.release(opened)
            return
        self.last_failure = opened
        if opened.kind is ErrorKind.ENDPOINT_FULL:
            backoff_s = self.full_backoff_s * random.uniform(0.5, 1.0)
            self.full_until = now() + backoff_s
            self.full_backoff_s = min(
                2 * self.full_backoff_s, MAX_FULL_BACKOFF_S
            )
            if self.lent or self.opening:
                return
        else:
            self.failed_until = now() + FAILURE_BACKOFF_S
        self._fail_waiters(opened)

    def _fail_waiters(self, failure: Failure) -> None:
        waiters, self.waiters = self.waiters, []
        for _, _, future in waiters:
            if not future.done():
                future.set_result(failure)

    def release(self, connection: Link) -> None:
        """Return a connection, which may have been lost, to the pool."""
        self.lent -= 1
        if not connection.usable:
            connection.abort()
            if self.waiters:
                self._connect_if_allowed()
                if not self.lent and not self.opening:
                    reason = "connection to the endpoint was lost"
                    self._fail_waiters(Failure(ErrorKind.UNREACHABLE, reason))
            return
        connection.used_at = now()
        while self.waiters:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                self.lent += 1
                future.set_result(connection)
                return
        self.idle.append(connection)

    def trim(self, time: float) -> None:
        """Close connections above the guaranteed number after the timeout."""
        excess = self.held - self.guaranteed
        for connection in sorted(
            self.idle, key=lambda connection: connection.used_at
        ):
            if (
                excess <= 0
                or time - connection.used_at < EXCESS_IDLE_TIMEOUT_S
            ):
                return
            self.idle.remove(connection)
            connection.close()
            excess -= 1

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def close(self) -> None:
        """Close idle connections, cancel attempts and fail all waiters."""
        self.close_idle()
        for task in self.tasks:
            task.cancel()
        reason = "endpoint was removed"
        self._fail_waiters(Failure(ErrorKind.UNREACHABLE, reason))
