"""Which connection serves which request, without sockets or clocks."""

import collections
import heapq
import random

import msgspec

from chivescale.errors import ErrorKind, Failure

BACKOFF_BASE_S = 0.02
# An endpoint that returns is used again within this time.
BACKOFF_LIMIT_S = 0.5
# Above this the queue only produces answers that come too late.
MAX_WAITING = 1000
FLOOR_CONNECTIONS = 1


class Acquire(msgspec.Struct, frozen=True):
    """Event: a request wants a connection until `deadline`."""

    ticket: int
    workspace: str
    deadline: float


class Cancel(msgspec.Struct, frozen=True):
    """Event: a request that waits gave up."""

    ticket: int


class Connected(msgspec.Struct, frozen=True):
    """Event: an opened connection is ready."""

    connection: int


class ConnectFailed(msgspec.Struct, frozen=True):
    """Event: a connection could not be opened."""

    connection: int
    failure: Failure


class Released(msgspec.Struct, frozen=True):
    """Event: a request is done; `keep` if the connection is clean."""

    connection: int
    keep: bool


class Lost(msgspec.Struct, frozen=True):
    """Event: an idle connection was closed by the endpoint."""

    connection: int


class SetLimit(msgspec.Struct, frozen=True):
    """Event: the lease changed."""

    connections: int


class Silence(msgspec.Struct, frozen=True):
    """Event: open connections may have stopped to answer."""


class Tick(msgspec.Struct, frozen=True):
    """Event: time passed."""


class Close(msgspec.Struct, frozen=True):
    """Event: the pool ends."""


class Open(msgspec.Struct, frozen=True):
    """Effect: open a connection under this number."""

    connection: int


class Give(msgspec.Struct, frozen=True):
    """Effect: hand a connection to a request."""

    ticket: int
    connection: int


class Refuse(msgspec.Struct, frozen=True):
    """Effect: answer a request without a connection."""

    ticket: int
    failure: Failure


class Discard(msgspec.Struct, frozen=True):
    """Effect: close a connection."""

    connection: int


class PoolState:
    """Connections to one endpoint and the requests that wait for them.

    Parameters
    ----------
    idle_s : float
        Time after which an unused connection is closed.
    rng : random.Random
        Source of the back-off's jitter.

    Attributes
    ----------
    limit : int
        Connections that may be open, at least the floor of one.
    opening, busy : set of int
        Connections on their way and in use.
    idle : dict of int to float
        Unused connections and when they became idle, oldest first.
    waiting : dict of str to dict of int
        Tickets of each workspace in order; the first workspace is served
        next.
    tickets : dict of int to str
        Workspace of every ticket that waits.
    deadlines : list of (float, int)
        Heap of deadlines, also of tickets that no longer wait.
    stale : set of int
        Busy connections from before a suspected silence.
    retry_at : float
        No connection is opened before this time.
    """

    def __init__(self, idle_s: float, rng: random.Random):
        self.idle_s = idle_s
        self.rng = rng
        self.limit = FLOOR_CONNECTIONS
        self.opening: set[int] = set()
        self.busy: set[int] = set()
        self.idle: dict[int, float] = {}
        self.stale: set[int] = set()
        self.waiting: collections.OrderedDict[str, dict[int, None]] = (
            collections.OrderedDict()
        )
        self.tickets: dict[int, str] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.failures = 0
        self.retry_at = 0.0
        self.last_failure: Failure | None = None
        self.next_number = 1
        self.closed = False

    @property
    def held(self) -> int:
        """Connections open or on their way."""
        return len(self.opening) + len(self.busy) + len(self.idle)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self.tickets)

    @property
    def wanted(self) -> int:
        """Connections that the present requests could use."""
        return len(self.busy) + self.queued

    def next_time(self) -> float | None:
        """Return when `Tick` is due; None if nothing is pending."""
        while self.deadlines and self.deadlines[0][1] not in self.tickets:
            heapq.heappop(self.deadlines)
        times = [deadline for deadline, _ in self.deadlines[:1]]
        if self.idle:
            times.append(next(iter(self.idle.values())) + self.idle_s)
        may_open = not self.closed and self.held < self.limit
        if self.queued and self.failures and not self.opening and may_open:
            times.append(self.retry_at)
        return min(times, default=None)

    def step(self, event, now: float) -> list:
        """Apply an event and return the effects to execute.

        Parameters
        ----------
        event : Struct
            One of the events of this module.
        now : float
            Monotonic time in seconds.
        """
        effects = _HANDLERS[type(event)](self, event, now)
        effects += self._expire(now)
        effects += self._serve(now)
        return effects + self._open(now)

    def _acquire(self, event: Acquire, now: float) -> list:
        if self.closed:
            failure = Failure(ErrorKind.UNREACHABLE, "pool is closed")
            return [Refuse(event.ticket, failure)]
        if self.queued >= MAX_WAITING:
            failure = Failure(ErrorKind.OVERLOADED, "too many requests wait")
            return [Refuse(event.ticket, failure)]
        if now < self.retry_at and not self.held and not self._pressed():
            # Nothing can serve the request before the next attempt, and
            # another endpoint may.
            return [Refuse(event.ticket, self.last_failure)]
        self.waiting.setdefault(event.workspace, {})[event.ticket] = None
        self.tickets[event.ticket] = event.workspace
        heapq.heappush(self.deadlines, (event.deadline, event.ticket))
        return []

    def _pressed(self) -> bool:
        """Whether the endpoint is alive but has no connection to spare."""
        return (
            self.last_failure is not None
            and self.last_failure.kind is ErrorKind.OVERLOADED
        )

    def _cancel(self, event: Cancel, now: float) -> list:
        self._forget(event.ticket)
        return []

    def _connected(self, event: Connected, now: float) -> list:
        self.opening.discard(event.connection)
        self.failures = 0
        self.retry_at = 0.0
        self.last_failure = None
        if self.closed or self.held >= self.limit:
            return [Discard(event.connection)]
        self.idle[event.connection] = now
        return []

    def _connect_failed(self, event: ConnectFailed, now: float) -> list:
        self.opening.discard(event.connection)
        self.failures += 1
        ceiling = min(
            BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** min(self.failures, 10)
        )
        self.retry_at = now + ceiling * (0.5 + 0.5 * self.rng.random())
        self.last_failure = event.failure
        if self._pressed():
            return []
        # The endpoint does not answer; another one may. Busy connections to
        # it are doubtful as well.
        return self._refuse_all(event.failure)

    def _refuse_all(self, failure: Failure) -> list:
        refused = [Refuse(ticket, failure) for ticket in self.tickets]
        self.tickets.clear()
        self.waiting.clear()
        return refused

    def _forget(self, ticket: int) -> bool:
        """Take a ticket out of its queue; False if it does not wait."""
        workspace = self.tickets.pop(ticket, None)
        if workspace is None:
            return False
        queue = self.waiting[workspace]
        del queue[ticket]
        if not queue:
            del self.waiting[workspace]
        return True

    def _released(self, event: Released, now: float) -> list:
        connection = event.connection
        if connection not in self.busy:
            return []
        self.busy.discard(connection)
        stale = connection in self.stale
        self.stale.discard(connection)
        over = self.held >= self.limit
        if self.closed or stale or over or not event.keep:
            return [Discard(connection)]
        self.idle[connection] = now
        return []

    def _lost(self, event: Lost, now: float) -> list:
        if self.idle.pop(event.connection, None) is None:
            return []
        return [Discard(event.connection)]

    def _set_limit(self, event: SetLimit, now: float) -> list:
        self.limit = max(FLOOR_CONNECTIONS, event.connections)
        effects = []
        while self.idle and self.held > self.limit:
            effects.append(Discard(self._pop_oldest()))
        return effects

    def _silence(self, event: Silence, now: float) -> list:
        # Connections still being opened prove themselves when they answer.
        self.stale |= self.busy
        effects = [Discard(connection) for connection in self.idle]
        self.idle.clear()
        return effects

    def _tick(self, event: Tick, now: float) -> list:
        return []

    def _close(self, event: Close, now: float) -> list:
        self.closed = True
        effects = [Discard(connection) for connection in self.idle]
        self.idle.clear()
        failure = Failure(ErrorKind.UNREACHABLE, "pool is closed")
        return effects + self._refuse_all(failure)

    def _pop_oldest(self) -> int:
        connection = next(iter(self.idle))
        del self.idle[connection]
        return connection

    def _expire(self, now: float) -> list:
        reason = "no connection became free in time"
        failure = Failure(ErrorKind.DEADLINE_NOT_STARTED, reason)
        effects = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self.deadlines)
            if self._forget(ticket):
                effects.append(Refuse(ticket, failure))
        while self.idle:
            since = next(iter(self.idle.values()))
            if since + self.idle_s > now:
                break
            effects.append(Discard(self._pop_oldest()))
        return effects

    def _serve(self, now: float) -> list:
        """Give idle connections to the workspaces in turn."""
        effects = []
        while self.idle and self.waiting:
            workspace, queue = next(iter(self.waiting.items()))
            ticket = next(iter(queue))
            self._forget(ticket)
            if queue:
                self.waiting.move_to_end(workspace)
            # The most recent one, so that surplus connections grow old.
            connection, _ = self.idle.popitem()
            self.busy.add(connection)
            effects.append(Give(ticket, connection))
        return effects

    def _open(self, now: float) -> list:
        effects = []
        while (
            not self.closed
            and self.queued > len(self.opening)
            and self.held < self.limit
            and now >= self.retry_at
            # After a failure one attempt at a time probes the endpoint.
            and not (self.failures and self.opening)
        ):
            connection = self.next_number
            self.next_number += 1
            self.opening.add(connection)
            effects.append(Open(connection))
        return effects


_HANDLERS = {
    Acquire: PoolState._acquire,
    Cancel: PoolState._cancel,
    Connected: PoolState._connected,
    ConnectFailed: PoolState._connect_failed,
    Released: PoolState._released,
    Lost: PoolState._lost,
    SetLimit: PoolState._set_limit,
    Silence: PoolState._silence,
    Tick: PoolState._tick,
    Close: PoolState._close,
}
