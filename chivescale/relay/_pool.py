"""Pool of connections from one entry host to one endpoint."""

import asyncio
import bisect
import collections
import collections.abc
import itertools
import random

import msgspec

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

# A connection that is returned goes to a waiter of its workspace. A waiter of
# another workspace that was first in line for this time gets it replaced by
# one of its own, about as long as one statement runs.
SWAP_AFTER_S = 0.03
# Workspace of queries of this host itself, which may use any connection.
ANY_WORKSPACE = None

Connect = collections.abc.Callable[
    [float, str], collections.abc.Awaitable[Link | Failure]
]


class Waiter(msgspec.Struct, eq=False):
    """Statement that waits for a connection.

    Attributes
    ----------
    priority, number : int
        Lower priorities are served first, equal ones by number.
    workspace : str or None
        Workspace whose connections it may use; `ANY_WORKSPACE` for all.
    since : float
        Time since which it waits.
    """

    priority: int
    number: int
    workspace: str | None
    since: float
    future: asyncio.Future

    @property
    def rank(self) -> tuple[int, int]:
        """Position in the order of waiters."""
        return (self.priority, self.number)

    def accepts(self, workspace: str) -> bool:
        """Return whether it may use a connection of a workspace."""
        return self.workspace in (ANY_WORKSPACE, workspace)


class ConnectionPool:
    """Connection pool that serves waiters by priority.

    A connection only runs statements of the workspace for which it was
    opened. If no more connections are allowed, the one that was idle for
    longest is closed to open one for another workspace.

    Parameters
    ----------
    connect : callable
        Coroutine function ``(timeout_s, workspace) -> Link | Failure``.

    Attributes
    ----------
    guaranteed : int
        Number of connections that this host may keep open while idle.
    limit : int
        Maximum number of connections, if the endpoint accepts them.
    lent : int
        Number of connections in use.
    opening : int
        Number of connections that are being opened.
    opening_for : collections.Counter of str
        The same by workspace.
    waiters : list of Waiter
        In the order in which they are served.
    """

    def __init__(self, connect: Connect):
        self.connect = connect
        self.guaranteed = 1
        self.limit = 1
        self.idle: list[Link] = []
        self.lent = 0
        self.opening = 0
        self.opening_for: collections.Counter[str] = collections.Counter()
        self.waiters: list[Waiter] = []
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

    def has_idle(self, workspace: str) -> bool:
        """Return whether a connection of a workspace is idle."""
        return any(c.workspace == workspace for c in self.idle)

    async def acquire(
        self,
        priority: int,
        timeout_s: float,
        values: dict[str, str],
        session: object,
        workspace: str | None = "",
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
        workspace : str or None
            Workspace of the statement; `ANY_WORKSPACE` if any connection may
            be used.

        Returns
        -------
        Link or Failure
            On failure no statement was sent.
        """
        connection = self._take_idle(values, session, workspace)
        if connection is not None:
            self.lent += 1
            return connection
        if self.failing(now()):
            return self.last_failure
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            priority, next(self.sequence), workspace, now(), future
        )
        self._connect_for(waiter)
        if not self.opening and not self.lent:
            reason = "endpoint accepts no more connections"
            return Failure(ErrorKind.ENDPOINT_FULL, reason)
        bisect.insort(self.waiters, waiter, key=lambda w: w.rank)
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
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _take_idle(self, values, session, workspace) -> Link | None:
        self.idle = [
            connection for connection in self.idle if connection.usable
        ]
        allowed = [
            connection
            for connection in self.idle
            if workspace in (ANY_WORKSPACE, connection.workspace)
        ]
        if not allowed:
            return None
        best = max(
            allowed,
            key=lambda connection: (
                connection.values == values,
                connection.last_session is session,
                connection.used_at,
            ),
        )
        self.idle.remove(best)
        return best

    def _connect_for(self, waiter: Waiter) -> None:
        """Open a connection for a waiter, if one is allowed and missing."""
        time = now()
        if time < self.failed_until or self._is_being_opened(waiter):
            return
        if time < self.full_until or self.held >= self.limit:
            if not self.idle:
                return
            oldest = min(self.idle, key=lambda c: c.used_at)
            self.idle.remove(oldest)
            oldest.close()
        workspace = waiter.workspace or ""
        self.opening += 1
        self.opening_for[workspace] += 1
        task = asyncio.ensure_future(self._connect(workspace))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _is_being_opened(self, waiter: Waiter) -> bool:
        """Return whether the connections being opened suffice for a waiter."""
        workspace = waiter.workspace or ""
        others = sum(
            other is not waiter and other.accepts(workspace)
            for other in self.waiters
        )
        return self.opening_for[workspace] > others

    async def _connect(self, workspace: str) -> None:
        try:
            opened = await self.connect(CONNECT_TIMEOUT_S, workspace)
        finally:
            self.opening -= 1
            self.opening_for[workspace] -= 1
        if not is_failure(opened):
            self.full_backoff_s = FULL_BACKOFF_S
            self.lent += 1
            self.release(opened, fresh=True)
            return
        self.last_failure = opened
        if opened.kind is ErrorKind.ENDPOINT_FULL:
            backoff_s = self.full_backoff_s * random.uniform(0.5, 1.0)
            self.full_until = now() + backoff_s
            self.full_backoff_s = min(
                2 * self.full_backoff_s, MAX_FULL_BACKOFF_S
            )
            if self.waiters and self.idle:
                self._connect_for(self.waiters[0])
            if self.lent or self.opening:
                return
        else:
            self.failed_until = now() + FAILURE_BACKOFF_S
        self._fail_waiters(opened)

    def _fail_waiters(self, failure: Failure) -> None:
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_result(failure)

    def release(self, connection: Link, fresh: bool = False) -> None:
        """Return a connection, which may have been lost, to the pool.

        Parameters
        ----------
        connection : Link
            Connection that was lent, or has just been opened.
        fresh : bool
            Whether it has just been opened. It is then used by its workspace
            before another one may replace it.
        """
        self.lent -= 1
        if not connection.usable:
            connection.abort()
            if self.waiters:
                self._connect_for(self.waiters[0])
                if not self.lent and not self.opening:
                    reason = "connection to the endpoint was lost"
                    self._fail_waiters(Failure(ErrorKind.UNREACHABLE, reason))
            return
        connection.used_at = now()
        waiter = self._choose_waiter(connection, fresh)
        if waiter is not None:
            self.waiters.remove(waiter)
            self.lent += 1
            waiter.future.set_result(connection)
            return
        self.idle.append(connection)
        if self.waiters:
            self._connect_for(self.waiters[0])

    def _choose_waiter(self, connection: Link, fresh: bool) -> Waiter | None:
        """Return the waiter that gets a connection.

        None if there is none, or if the first one has waited for long enough
        to have the connection replaced by one of its workspace.
        """
        self.waiters = [w for w in self.waiters if not w.future.done()]
        if not self.waiters:
            return None
        first = self.waiters[0]
        for waiter in self.waiters:
            if waiter.accepts(connection.workspace):
                waits = first is not waiter and not self._is_being_opened(
                    first
                )
                if waits and not fresh and now() - first.since > SWAP_AFTER_S:
                    return None
                return waiter
        return None

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
