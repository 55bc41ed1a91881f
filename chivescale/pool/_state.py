"""State machine of a connection pool, without sockets or clocks."""

import collections
import heapq
import random

import msgspec

from chivescale.errors import ErrorKind, Failure

BACKOFF_BASE_S = 0.02
# Upper bound of the time until an endpoint that is reachable again is used.
BACKOFF_MAX_S = 0.5
# With a longer queue, requests would only get a connection too late.
MAX_QUEUED_REQUESTS = 1000
MIN_CONNECTIONS = 1


class Acquire(msgspec.Struct, frozen=True):
    """Event: a request needs a connection before `deadline`."""

    request_id: int
    workspace: str
    deadline: float


class Cancel(msgspec.Struct, frozen=True):
    """Event: a queued request was cancelled."""

    request_id: int


class Connected(msgspec.Struct, frozen=True):
    """Event: a connection was opened."""

    connection_id: int


class ConnectFailed(msgspec.Struct, frozen=True):
    """Event: a connection could not be opened."""

    connection_id: int
    failure: Failure


class Released(msgspec.Struct, frozen=True):
    """Event: a request returned its connection.

    Attributes
    ----------
    connection_id : int
        Connection that the request used.
    keep : bool
        Whether the connection may be used by another request.
    """

    connection_id: int
    keep: bool


class ConnectionLost(msgspec.Struct, frozen=True):
    """Event: an idle connection was closed by the endpoint."""

    connection_id: int


class SetLimit(msgspec.Struct, frozen=True):
    """Event: the connection limit changed with the lease."""

    connections: int


class SuspectConnections(msgspec.Struct, frozen=True):
    """Event: the connections open now may have stopped responding."""


class Tick(msgspec.Struct, frozen=True):
    """Event: time passed; due at `PoolState.next_tick_at`."""


class ClosePool(msgspec.Struct, frozen=True):
    """Event: the pool is closed."""


class OpenConnection(msgspec.Struct, frozen=True):
    """Effect: open a connection with this identifier."""

    connection_id: int


class Assign(msgspec.Struct, frozen=True):
    """Effect: assign a connection to a request."""

    request_id: int
    connection_id: int


class Reject(msgspec.Struct, frozen=True):
    """Effect: fail a request without a connection."""

    request_id: int
    failure: Failure


class CloseConnection(msgspec.Struct, frozen=True):
    """Effect: close a connection."""

    connection_id: int


class PoolState:
    """Connections to one endpoint and the queue of requests for them.

    Parameters
    ----------
    idle_s : float
        Time after which an idle connection is closed.
    rng : random.Random
        Random number generator for the jitter of the backoff.

    Attributes
    ----------
    limit : int
        Maximum number of connections, at least `MIN_CONNECTIONS`.
    opening, busy : set of int
        Connections being opened and connections in use.
    idle : dict of int to float
        Idle connections and when they became idle, oldest first.
    queues : dict of str to dict of int
        Queued requests of each workspace, in order of arrival; workspaces
        are served round-robin, the first one next.
    request_workspaces : dict of int to str
        Workspace of each queued request.
    deadlines : list of (float, int)
        Heap of deadlines; may contain requests that are no longer queued.
    suspect : set of int
        Busy connections that were open when the endpoint was suspected of
        not responding; they are closed when released.
    retry_at : float
        Time before which no connection is opened.
    """

    def __init__(self, idle_s: float, rng: random.Random):
        self.idle_s = idle_s
        self.rng = rng
        self.limit = MIN_CONNECTIONS
        self.opening: set[int] = set()
        self.busy: set[int] = set()
        self.idle: dict[int, float] = {}
        self.suspect: set[int] = set()
        self.queues: collections.OrderedDict[str, dict[int, None]] = (
            collections.OrderedDict()
        )
        self.request_workspaces: dict[int, str] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.consecutive_failures = 0
        self.retry_at = 0.0
        self.last_failure: Failure | None = None
        self.next_connection_id = 1
        self.closed = False

    @property
    def held(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.opening) + len(self.busy) + len(self.idle)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self.request_workspaces)

    @property
    def wanted(self) -> int:
        """Number of connections that the current requests could use."""
        return len(self.busy) + self.queued

    def next_tick_at(self) -> float | None:
        """Return when the next `Tick` is due; None if nothing is pending."""
        while (
            self.deadlines
            and self.deadlines[0][1] not in self.request_workspaces
        ):
            heapq.heappop(self.deadlines)
        times = [deadline for deadline, _ in self.deadlines[:1]]
        if self.idle:
            times.append(next(iter(self.idle.values())) + self.idle_s)
        may_open = not self.closed and self.held < self.limit
        if (
            self.queued
            and self.consecutive_failures
            and not self.opening
            and may_open
        ):
            times.append(self.retry_at)
        return min(times, default=None)

    def step(self, event, now: float) -> list:
        """Process an event and return the effects to execute.

        Parameters
        ----------
        event : Struct
            One of the events of this module.
        now : float
            Monotonic time in seconds.
        """
        effects = _HANDLERS[type(event)](self, event, now)
        effects += self._expire(now)
        effects += self._assign_connections(now)
        return effects + self._open_connections(now)

    def _acquire(self, event: Acquire, now: float) -> list:
        if self.closed:
            failure = Failure(
                ErrorKind.UNREACHABLE, "connection pool is closed"
            )
            return [Reject(event.request_id, failure)]
        if self.queued >= MAX_QUEUED_REQUESTS:
            failure = Failure(
                ErrorKind.OVERLOADED, "too many requests wait for a connection"
            )
            return [Reject(event.request_id, failure)]
        if (
            now < self.retry_at
            and not self.held
            and not self._endpoint_overloaded()
        ):
            # No connection can become available before the next attempt to
            # connect. Fail now, since another endpoint may serve the request.
            return [Reject(event.request_id, self.last_failure)]
        self.queues.setdefault(event.workspace, {})[event.request_id] = None
        self.request_workspaces[event.request_id] = event.workspace
        heapq.heappush(self.deadlines, (event.deadline, event.request_id))
        return []

    def _endpoint_overloaded(self) -> bool:
        """Return whether the endpoint responds but has no free connection."""
        return (
            self.last_failure is not None
            and self.last_failure.kind is ErrorKind.OVERLOADED
        )

    def _cancel(self, event: Cancel, now: float) -> list:
        self._dequeue(event.request_id)
        return []

    def _connected(self, event: Connected, now: float) -> list:
        self.opening.discard(event.connection_id)
        self.consecutive_failures = 0
        self.retry_at = 0.0
        self.last_failure = None
        if self.closed or self.held >= self.limit:
            return [CloseConnection(event.connection_id)]
        self.idle[event.connection_id] = now
        return []

    def _connect_failed(self, event: ConnectFailed, now: float) -> list:
        self.opening.discard(event.connection_id)
        self.consecutive_failures += 1
        max_delay_s = min(
            BACKOFF_MAX_S,
            BACKOFF_BASE_S * 2 ** min(self.consecutive_failures, 10),
        )
        self.retry_at = now + max_delay_s * (0.5 + 0.5 * self.rng.random())
        self.last_failure = event.failure
        if self._endpoint_overloaded():
            return []
        # The endpoint does not respond, so queued requests fail; another
        # endpoint may serve them. Waiting for a busy connection would not
        # help, since it is likely to be affected as well.
        return self._reject_all(event.failure)

    def _reject_all(self, failure: Failure) -> list:
        rejected = [
            Reject(request_id, failure)
            for request_id in self.request_workspaces
        ]
        self.request_workspaces.clear()
        self.queues.clear()
        return rejected

    def _dequeue(self, request_id: int) -> bool:
        """Remove a request from its queue; return False if not queued."""
        workspace = self.request_workspaces.pop(request_id, None)
        if workspace is None:
            return False
        queue = self.queues[workspace]
        del queue[request_id]
        if not queue:
            del self.queues[workspace]
        return True

    def _released(self, event: Released, now: float) -> list:
        connection_id = event.connection_id
        if connection_id not in self.busy:
            return []
        self.busy.discard(connection_id)
        was_suspect = connection_id in self.suspect
        self.suspect.discard(connection_id)
        over_limit = self.held >= self.limit
        if self.closed or was_suspect or over_limit or not event.keep:
            return [CloseConnection(connection_id)]
        self.idle[connection_id] = now
        return []

    def _connection_lost(self, event: ConnectionLost, now: float) -> list:
        if self.idle.pop(event.connection_id, None) is None:
            return []
        return [CloseConnection(event.connection_id)]

    def _set_limit(self, event: SetLimit, now: float) -> list:
        self.limit = max(MIN_CONNECTIONS, event.connections)
        effects = []
        while self.idle and self.held > self.limit:
            effects.append(CloseConnection(self._pop_oldest()))
        return effects

    def _suspect_connections(
        self, event: SuspectConnections, now: float
    ) -> list:
        # Connections being opened are not suspect: they count as open only
        # after the endpoint has responded.
        self.suspect |= self.busy
        effects = [CloseConnection(each) for each in self.idle]
        self.idle.clear()
        return effects

    def _tick(self, event: Tick, now: float) -> list:
        return []

    def _close(self, event: ClosePool, now: float) -> list:
        self.closed = True
        effects = [CloseConnection(each) for each in self.idle]
        self.idle.clear()
        failure = Failure(ErrorKind.UNREACHABLE, "connection pool is closed")
        return effects + self._reject_all(failure)

    def _pop_oldest(self) -> int:
        connection_id = next(iter(self.idle))
        del self.idle[connection_id]
        return connection_id

    def _expire(self, now: float) -> list:
        reason = "deadline exceeded while waiting for a connection"
        failure = Failure(ErrorKind.DEADLINE_NOT_STARTED, reason)
        effects = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self.deadlines)
            if self._dequeue(request_id):
                effects.append(Reject(request_id, failure))
        while self.idle:
            since = next(iter(self.idle.values()))
            if since + self.idle_s > now:
                break
            effects.append(CloseConnection(self._pop_oldest()))
        return effects

    def _assign_connections(self, now: float) -> list:
        """Assign idle connections, round-robin over the workspaces."""
        effects = []
        while self.idle and self.queues:
            workspace, queue = next(iter(self.queues.items()))
            request_id = next(iter(queue))
            self._dequeue(request_id)
            if queue:
                self.queues.move_to_end(workspace)
            # Most recently used first, so that surplus connections reach
            # the idle timeout.
            connection_id, _ = self.idle.popitem()
            self.busy.add(connection_id)
            effects.append(Assign(request_id, connection_id))
        return effects

    def _open_connections(self, now: float) -> list:
        effects = []
        while (
            not self.closed
            and self.queued > len(self.opening)
            and self.held < self.limit
            and now >= self.retry_at
            # After a failure, only one connection at a time is attempted.
            and not (self.consecutive_failures and self.opening)
        ):
            connection_id = self.next_connection_id
            self.next_connection_id += 1
            self.opening.add(connection_id)
            effects.append(OpenConnection(connection_id))
        return effects


_HANDLERS = {
    Acquire: PoolState._acquire,
    Cancel: PoolState._cancel,
    Connected: PoolState._connected,
    ConnectFailed: PoolState._connect_failed,
    Released: PoolState._released,
    ConnectionLost: PoolState._connection_lost,
    SetLimit: PoolState._set_limit,
    SuspectConnections: PoolState._suspect_connections,
    Tick: PoolState._tick,
    ClosePool: PoolState._close,
}
