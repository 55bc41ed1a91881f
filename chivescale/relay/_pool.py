"""Links of one entry host to one endpoint."""

import asyncio
import collections.abc
import heapq
import itertools
import random

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link

# A link is opened within this time. A new connection takes a slot of the
# endpoint, so it waits behind running statements.
OPEN_TIMEOUT_S = 1.0
# After a refusal for too many connections, no link is opened for this long.
# The pause doubles with each refusal in a row: an attempt takes time of a
# slot, and many hosts would make attempts at the same time.
FULL_PAUSE_S = 0.8
LONGEST_FULL_PAUSE_S = 1.6
# After a failed attempt to connect, no other one is made for this long.
FAILED_PAUSE_S = 0.25
# Links above the own share are given back after this time without use. After
# a loss of power an endpoint keeps the dead connections for seconds; few open
# ones leave room for the new ones.
SURPLUS_IDLE_S = 1.5

OpenLink = collections.abc.Callable[
    [float], collections.abc.Awaitable[Link | Failure]
]


class LinkPool:
    """Lends links to sessions; the most important waiter is served first.

    Parameters
    ----------
    open_new : callable
        Coroutine function ``(timeout_s) -> Link | Failure``.

    Attributes
    ----------
    share : int
        Links that this host may always hold.
    limit : int
        Links that it may hold while the endpoint has room.
    """

    def __init__(self, open_new: OpenLink):
        self.open_new = open_new
        self.share = 1
        self.limit = 1
        self.idle: list[Link] = []
        self.lent = 0
        self.opening = 0
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.numbers = itertools.count()
        self.full_until = 0.0
        self.full_pause_s = FULL_PAUSE_S
        self.failed_until = 0.0
        self.last_failure: Failure | None = None
        self.tasks: set[asyncio.Task] = set()

    @property
    def held(self) -> int:
        """Links that are open or being opened."""
        return len(self.idle) + self.lent + self.opening

    @property
    def waiting(self) -> int:
        """Sessions that wait for a link."""
        return len(self.waiters)

    def failing(self, time: float) -> bool:
        """Tell whether connecting failed a moment ago and no link is left."""
        return time < self.failed_until and not self.idle and not self.lent

    async def acquire(
        self,
        priority: int,
        timeout_s: float,
        values: dict[str, str],
        session: object,
    ) -> Link | Failure:
        """Lend a link.

        Parameters
        ----------
        priority : int
            0 is served first.
        timeout_s : float
            Longest wait.
        values : dict of str to str
            Session values that the statement needs; a link that has them
            is preferred.
        session : object
            Caller; the link that served it last is preferred.

        Returns
        -------
        Link or Failure
            No statement has left in case of a failure.
        """
        link = self._take_idle(values, session)
        if link is not None:
            self.lent += 1
            return link
        if self.failing(now()):
            return self.last_failure
        self._open_if_allowed()
        if not self.opening and not self.lent:
            reason = "the endpoint accepts no more connections"
            return Failure(ErrorKind.ENDPOINT_FULL, reason)
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self.numbers), future)
        heapq.heappush(self.waiters, entry)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                # The link came in the same turn of the event loop.
                return future.result()
            reason = f"no connection free in {timeout_s:.3f} s"
            return Failure(ErrorKind.OVERLOADED, reason)
        finally:
            if entry in self.waiters:
                self.waiters.remove(entry)
                heapq.heapify(self.waiters)

    def _take_idle(self, values, session) -> Link | None:
        self.idle = [link for link in self.idle if link.usable]
        if not self.idle:
            return None
        best = max(
            self.idle,
            key=lambda link: (
                link.values == values,
                link.last_session is session,
                link.used_at,
            ),
        )
        self.idle.remove(best)
        return best

    def _open_if_allowed(self) -> None:
        time = now()
        if time < self.failed_until:
            return
        wanted = len(self.waiters) + 1 - self.opening
        if time >= self.full_until and self.held < self.limit and wanted > 0:
            self.opening += 1
            task = asyncio.ensure_future(self._open())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self) -> None:
        try:
            opened = await self.open_new(OPEN_TIMEOUT_S)
        finally:
            self.opening -= 1
        if not is_failure(opened):
            self.full_pause_s = FULL_PAUSE_S
            self.lent += 1
            self.release(opened)
            return
        self.last_failure = opened
        if opened.kind is ErrorKind.ENDPOINT_FULL:
            pause_s = self.full_pause_s * random.uniform(0.5, 1.0)
            self.full_until = now() + pause_s
            self.full_pause_s = min(
                2 * self.full_pause_s, LONGEST_FULL_PAUSE_S
            )
            if self.lent or self.opening:
                return
        else:
            self.failed_until = now() + FAILED_PAUSE_S
        self._refuse_all(opened)

    def _refuse_all(self, failure: Failure) -> None:
        waiters, self.waiters = self.waiters, []
        for _, _, future in waiters:
            if not future.done():
                future.set_result(failure)

    def release(self, link: Link) -> None:
        """Take a link back, or note that it was lost."""
        self.lent -= 1
        if not link.usable:
            link.abort()
            if self.waiters:
                self._open_if_allowed()
                if not self.lent and not self.opening:
                    reason = "connection to the endpoint was lost"
                    self._refuse_all(Failure(ErrorKind.UNREACHABLE, reason))
            return
        link.used_at = now()
        while self.waiters:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                self.lent += 1
                future.set_result(link)
                return
        self.idle.append(link)

    def trim(self, time: float) -> None:
        """Close links above the share that nobody has used for a while."""
        surplus = self.held - self.share
        for link in sorted(self.idle, key=lambda link: link.used_at):
            if surplus <= 0 or time - link.used_at < SURPLUS_IDLE_S:
                return
            self.idle.remove(link)
            link.close()
            surplus -= 1

    def drop_idle(self) -> None:
        """Close every unused link."""
        for link in self.idle:
            link.close()
        self.idle.clear()

    def close(self) -> None:
        """Close the pool; lent links are closed when they return."""
        self.drop_idle()
        for task in self.tasks:
            task.cancel()
        reason = "the endpoint is not used any more"
        self._refuse_all(Failure(ErrorKind.UNREACHABLE, reason))
