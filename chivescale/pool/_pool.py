"""Asyncio connection pool."""

import asyncio
import collections.abc
import random

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import EndpointRecord
from chivescale.mysql import ClientConnection
from chivescale.pool import _state as state
from chivescale.telemetry import log_event

Connect = collections.abc.Callable[
    [EndpointRecord, float],
    collections.abc.Awaitable[ClientConnection | Failure],
]


class Pool:
    """Pool of connections to one endpoint.

    Executes the effects of `PoolState`.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    connect : callable
        ``async (record, deadline) -> ClientConnection or Failure``.
    clock : callable, optional
        Returns the monotonic time in seconds.
    connect_timeout_s : float, optional
        Timeout for opening a connection.
    idle_s : float, optional
        Time after which an idle connection is closed.
    rng : random.Random, optional
        Random number generator for the jitter of the backoff.
    """

    def __init__(
        self,
        record: EndpointRecord,
        connect: Connect,
        clock=clock.now,
        *,
        connect_timeout_s: float = 0.5,
        idle_s: float = 30.0,
        rng: random.Random | None = None,
    ):
        self.record = record
        self.connect = connect
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.state = state.PoolState(idle_s, rng or random.Random())
        self.connections: dict[int, ClientConnection] = {}
        self.connection_ids: dict[ClientConnection, int] = {}
        self.waiters: dict[int, asyncio.Future] = {}
        self.connect_tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.next_request_id = 1

    @property
    def held(self) -> int:
        """Number of connections that are open or being opened."""
        return self.state.held

    @property
    def wanted(self) -> int:
        """Number of connections that the current requests could use."""
        return self.state.wanted

    async def acquire(
        self, deadline: float, workspace: str
    ) -> ClientConnection | Failure:
        """Wait for a connection.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds.
        workspace : str
            Workspace of the request; queued workspaces are served
            round-robin.

        Returns
        -------
        ClientConnection or Failure
            ``DEADLINE_NOT_STARTED``, ``UNREACHABLE``, ``OVERLOADED`` or
            the failure of the login.
        """
        for connection_id in list(self.state.idle):
            if not self.connections[connection_id].usable:
                self._step(state.ConnectionLost(connection_id))
        request_id = self.next_request_id
        self.next_request_id += 1
        future = asyncio.get_running_loop().create_future()
        self.waiters[request_id] = future
        self._step(state.Acquire(request_id, workspace, deadline))
        try:
            return await future
        except asyncio.CancelledError:
            # A connection may have been assigned just before.
            if future.done() and not future.cancelled():
                assigned = future.result()
                if not is_failure(assigned):
                    self.release(assigned)
            self.waiters.pop(request_id, None)
            self._step(state.Cancel(request_id))
            raise

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool.

        A connection that is unusable, in a transaction or has changed
        session state is closed instead of being reused.
        """
        connection_id = self.connection_ids.get(connection)
        if connection_id is None:
            connection.close()
            return
        keep = (
            connection.usable
            and not connection.in_transaction
            and not connection.session_changed
        )
        self._step(state.Released(connection_id, keep))

    def set_limit(self, connections: int) -> None:
        """Set the connection limit of the lease, at least one connection."""
        if max(connections, state.MIN_CONNECTIONS) != self.state.limit:
            self._step(state.SetLimit(connections))

    def retire_connections(self) -> None:
        """Retire all open connections after the endpoint failed to respond.

        Idle connections are closed now, busy ones when they are released.
        """
        self._step(state.SuspectConnections())

    def close(self) -> None:
        """Close idle connections now and busy ones when they are released."""
        self._step(state.ClosePool())
        for task in list(self.connect_tasks):
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()

    def _step(self, event) -> None:
        for effect in self.state.step(event, self.clock()):
            _EFFECTS[type(effect)](self, effect)
        self._set_timer()

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.state.next_tick_at()
        if due is not None:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, due - self.clock())
            self.timer = loop.call_later(delay_s, self._step, state.Tick())

    def _open_connection(self, effect: state.OpenConnection) -> None:
        task = asyncio.ensure_future(self._connect(effect.connection_id))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def _connect(self, connection_id: int) -> None:
        deadline = self.clock() + self.connect_timeout_s
        try:
            outcome = await self.connect(self.record, deadline)
        except Exception as err:  # queued requests need a result
            outcome = Failure(ErrorKind.UNREACHABLE, repr(err))
        if is_failure(outcome):
            log_event(
                "connect_failed",
                "warning",
                endpoint=self.record.endpoint,
                kind=outcome.kind.value,
                reason=outcome.reason,
            )
            self._step(state.ConnectFailed(connection_id, outcome))
            return
        self.connections[connection_id] = outcome
        self.connection_ids[outcome] = connection_id
        self._step(state.Connected(connection_id))

    def _assign(self, effect: state.Assign) -> None:
        connection = self.connections[effect.connection_id]
        future = self.waiters.pop(effect.request_id, None)
        if future is None or future.done():
            # The request was cancelled in this iteration of the event loop.
            loop = asyncio.get_running_loop()
            loop.call_soon(self.release, connection)
            return
        future.set_result(connection)

    def _reject(self, effect: state.Reject) -> None:
        future = self.waiters.pop(effect.request_id, None)
        if future is not None and not future.done():
            future.set_result(effect.failure)

    def _close_connection(self, effect: state.CloseConnection) -> None:
        connection = self.connections.pop(effect.connection_id, None)
        if connection is not None:
            del self.connection_ids[connection]
            connection.close()


_EFFECTS = {
    state.OpenConnection: Pool._open_connection,
    state.Assign: Pool._assign,
    state.Reject: Pool._reject,
    state.CloseConnection: Pool._close_connection,
}
