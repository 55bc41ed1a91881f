"""Asyncio shell of the connection pool."""

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
    """Connections to one endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    connect : callable
        ``async (record, deadline) -> ClientConnection or Failure``.
    clock : callable, optional
        Monotonic time in seconds; that of the event loop by default.
    connect_timeout_s, idle_s : float
        Limits for opening a connection and for keeping it unused.
    rng : random.Random, optional
        Source of the back-off's jitter.
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
        self.numbers: dict[ClientConnection, int] = {}
        self.waiting: dict[int, asyncio.Future] = {}
        self.opening: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.next_ticket = 1

    @property
    def held(self) -> int:
        """Connections open or on their way."""
        return self.state.held

    @property
    def wanted(self) -> int:
        """Connections that the present requests could use."""
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
            Workspaces that wait are served in turn.

        Returns
        -------
        connection or Failure
            ``DEADLINE_NOT_STARTED``, ``UNREACHABLE``, ``OVERLOADED`` or
            the failure of the login.
        """
        for number in list(self.state.idle):
            if not self.connections[number].usable:
                self._step(state.Lost(number))
        ticket = self.next_ticket
        self.next_ticket += 1
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        self._step(state.Acquire(ticket, workspace, deadline))
        try:
            return await future
        except asyncio.CancelledError:
            # The connection may have been handed over just before.
            if future.done() and not future.cancelled():
                given = future.result()
                if not is_failure(given):
                    self.release(given)
            self.waiting.pop(ticket, None)
            self._step(state.Cancel(ticket))
            raise

    def release(self, connection: ClientConnection) -> None:
        """Give a connection back; only a clean one is kept."""
        number = self.numbers.get(connection)
        if number is None:
            connection.close()
            return
        keep = (
            connection.usable
            and not connection.in_transaction
            and not connection.session_changed
        )
        self._step(state.Released(number, keep))

    def set_limit(self, connections: int) -> None:
        """Apply the lease; the floor is one connection."""
        if max(connections, state.FLOOR_CONNECTIONS) != self.state.limit:
            self._step(state.SetLimit(connections))

    def suspect_silence(self) -> None:
        """Stop using all present connections after an answer was lost."""
        self._step(state.Silence())

    def close(self) -> None:
        """Close unused connections; busy ones close when released."""
        self._step(state.Close())
        for task in list(self.opening):
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
        due = self.state.next_time()
        if due is not None:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, due - self.clock())
            self.timer = loop.call_later(delay_s, self._step, state.Tick())

    def _open(self, effect: state.Open) -> None:
        task = asyncio.ensure_future(self._connect(effect.connection))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _connect(self, number: int) -> None:
        deadline = self.clock() + self.connect_timeout_s
        try:
            outcome = await self.connect(self.record, deadline)
        except Exception as err:  # requests wait for an answer
            outcome = Failure(ErrorKind.UNREACHABLE, repr(err))
        if is_failure(outcome):
            log_event(
                "connect_failed",
                "warning",
                endpoint=self.record.endpoint,
                kind=outcome.kind.value,
                reason=outcome.reason,
            )
            self._step(state.ConnectFailed(number, outcome))
            return
        self.connections[number] = outcome
        self.numbers[outcome] = number
        self._step(state.Connected(number))

    def _give(self, effect: state.Give) -> None:
        connection = self.connections[effect.connection]
        future = self.waiting.pop(effect.ticket, None)
        if future is None or future.done():
            # Its request was cancelled in this very iteration.
            loop = asyncio.get_running_loop()
            loop.call_soon(self.release, connection)
            return
        future.set_result(connection)

    def _refuse(self, effect: state.Refuse) -> None:
        future = self.waiting.pop(effect.ticket, None)
        if future is not None and not future.done():
            future.set_result(effect.failure)

    def _discard(self, effect: state.Discard) -> None:
        connection = self.connections.pop(effect.connection, None)
        if connection is not None:
            del self.numbers[connection]
            connection.close()


_EFFECTS = {
    state.Open: Pool._open,
    state.Give: Pool._give,
    state.Refuse: Pool._refuse,
    state.Discard: Pool._discard,
}
