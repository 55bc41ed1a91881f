"""Asyncio driver of the consistency state machines of one service."""

import asyncio
import collections.abc

from chivescale import clock, session
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import EndpointStatus, Position, ServiceRecord
from chivescale.transport import Client

BARRIER_REQUEST_TIMEOUT_S = 0.5
POSITION_WAIT_MS = 500
POSITION_REQUEST_TIMEOUT_S = 0.8
STATUS_REQUEST_TIMEOUT_S = 0.5
# A write is sent only if a quorum answered within this time; otherwise a
# barrier is taken first. An availability zone that is cut off thus rejects
# writes before they run.
QUORUM_PROOF_VALIDITY_S = 1.0


class ServiceView:
    """Barriers, write confirmations and freshness of one service.

    Parameters
    ----------
    client : Client
        Transport to the admin interfaces of the endpoints.
    on_status : callable
        Called with each status received from an endpoint.

    Attributes
    ----------
    record : ServiceRecord
        Published record with the established term.
    addresses : dict of str
        Admin addresses of the endpoints by name.
    freshness : Freshness
        Proven ages of the endpoints.
    quorum_at : float
        Monotonic time of the last proof that a quorum responds.
    changed : asyncio.Event
        Set, and replaced by a new event, at each published change.
    """

    def __init__(
        self,
        client: Client,
        on_status: collections.abc.Callable[[EndpointStatus], None],
    ):
        self.client = client
        self.on_status = on_status
        self.record = ServiceRecord("")
        self.addresses: dict[str, str] = {}
        self.barriers = session.Barriers()
        self.confirmations = session.Confirmations()
        self.freshness = session.Freshness()
        self.waiters: dict[int, asyncio.Future] = {}
        self.last_waiter_id = 0
        self.quorum_at = float("-inf")
        self.tasks: set[asyncio.Task] = set()
        self.position_requests: dict[tuple, asyncio.Task] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.changed = asyncio.Event()

    def update(self, record: ServiceRecord, addresses: dict[str, str]) -> None:
        """Apply the published state of the service."""
        self.addresses = addresses
        if record == self.record:
            return
        is_newer = record.term > self.record.term
        self.record = record
        if is_newer:
            self._step_barriers(_term_changed(record))
            self._step_confirmations(session.TermEstablished(record))
            self.freshness.term_changed(record)
            self.quorum_at = clock.now()
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_update(self, deadline: float) -> bool:
        """Wait for the next published change of the service.

        Returns
        -------
        bool
            False if the deadline passed first.
        """
        changed = self.changed
        try:
            async with asyncio.timeout(deadline - clock.now()):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def barrier(self, deadline: float) -> session.BarrierReady | Failure:
        """Return a barrier whose round was sent after this call.

        Concurrent calls share a round where possible.
        """
        waiter_id, future = self._add_waiter()
        self._step_barriers(session.ReadArrived(waiter_id, deadline))
        return await self._wait_for(waiter_id, future)

    async def confirm(self, position: Position, deadline: float):
        """Wait for the outcome of a write at `position`.

        Returns
        -------
        Confirmed, WriteAbsent or OutcomeUnknown
        """
        waiter_id, future = self._add_waiter()
        self._step_confirmations(
            session.WriteAccepted(waiter_id, position, deadline)
        )
        return await self._wait_for(waiter_id, future)

    async def check_quorum(self, deadline: float) -> Failure | None:
        """Check that a quorum of the voters responds or did so recently.

        Returns
        -------
        Failure or None
            None if the quorum is proven.
        """
        if clock.now() - self.quorum_at < QUORUM_PROOF_VALIDITY_S:
            return None
        answer = await self.barrier(deadline)
        return answer if is_failure(answer) else None

    async def wait_for_position(
        self, endpoint: str, position: Position, wait_s: float
    ) -> bool:
        """Wait until an endpoint holds `position`.

        Concurrent calls for the same endpoint and position share a request.
        """
        key = (endpoint, position)
        task = self.position_requests.get(key)
        if task is None:
            path = _position_path(position, int(wait_s * 1000))
            task = self._spawn(
                self._request_status(endpoint, path, wait_s + 0.2)
            )
            self.position_requests[key] = task
            task.add_done_callback(lambda _: self.position_requests.pop(key))
        # Cancelling one call must not cancel the request of the others.
        status = await asyncio.shield(task)
        return status is not None and status.last >= position

    async def fetch_status(self, endpoint: str) -> EndpointStatus | None:
        """Return the current status of an endpoint, or None on failure."""
        return await self._request_status(
            endpoint, "/v1/position", STATUS_REQUEST_TIMEOUT_S
        )

    def close(self) -> None:
        """Cancel all requests and fail waiting calls as ``SHUTTING_DOWN``."""
        for timer in self.timers.values():
            timer.cancel()
        for task in self.tasks:
            task.cancel()
        failure = Failure(ErrorKind.SHUTTING_DOWN, "service was closed")
        for future in self.waiters.values():
            if not future.done():
                future.set_result(failure)

    def _add_waiter(self) -> tuple[int, asyncio.Future]:
        self.last_waiter_id += 1
        future = asyncio.get_running_loop().create_future()
        self.waiters[self.last_waiter_id] = future
        return self.last_waiter_id, future

    async def _wait_for(self, waiter_id: int, future: asyncio.Future):
        try:
            return await future
        finally:
            self.waiters.pop(waiter_id, None)

    def _complete(self, waiter_id: int, outcome) -> None:
        future = self.waiters.get(waiter_id)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _step_barriers(self, event) -> None:
        now = clock.now()
        for effect in self.barriers.step(event, now):
            match effect:
                case session.StartRound():
                    self._start_round(effect)
                case session.BarrierReady():
                    self.quorum_at = max(self.quorum_at, effect.sent_at)
                    self.freshness.add_sample(
                        effect.sent_at, effect.position, effect.promised_term
                    )
                    for waiter_id in effect.read_ids:
                        self._complete(waiter_id, effect)
                case session.BarrierFailed():
                    for waiter_id in effect.read_ids:
                        self._complete(waiter_id, effect.failure)
        self._schedule("barrier", self.barriers.wake_at, self._step_barriers)

    def _step_confirmations(self, event) -> None:
        now = clock.now()
        for effect in self.confirmations.step(event, now):
            match effect:
                case session.PollPositions():
                    for endpoint in effect.endpoints:
                        self._spawn(
                            self._request_position(endpoint, effect.position)
                        )
                case session.RequestTermStarts():
                    self._spawn(self._request_history(effect.endpoint))
                case session.Confirmed():
                    self.quorum_at = now
                    self._complete(effect.write_id, effect)
                case session.WriteAbsent() | session.OutcomeUnknown():
                    self._complete(effect.write_id, effect)
        self._schedule(
            "confirm", self.confirmations.wake_at, self._step_confirmations
        )

    def _schedule(self, name: str, at: float | None, handle) -> None:
        timer = self.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        if at is None:
            return
        delay = max(0.001, at - clock.now())
        self.timers[name] = asyncio.get_running_loop().call_later(
            delay, handle, session.Tick()
        )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _start_round(self, effect: session.StartRound) -> None:
        for endpoint in effect.endpoints:
            self._spawn(
                self._request_barrier_status(
                    effect.round, endpoint, effect.fresh
                )
            )

    async def _request_barrier_status(
        self, round_id: int, endpoint: str, fresh: bool
    ):
        status = await self._request_status(
            endpoint, "/v1/position", BARRIER_REQUEST_TIMEOUT_S, fresh=fresh
        )
        if status is None:
            event = session.StatusFailed(round_id, endpoint)
        else:
            event = session.StatusReceived(round_id, endpoint, status)
        self._step_barriers(event)

    async def _request_position(self, endpoint: str, position: Position):
        path = _position_path(position, POSITION_WAIT_MS)
        status = await self._request_status(
            endpoint, path, POSITION_REQUEST_TIMEOUT_S
        )
        if status is None:
            self._step_confirmations(session.PollFailed(endpoint))
        else:
            self._step_confirmations(
                session.PositionReceived(endpoint, status)
            )

    async def _request_history(self, endpoint: str):
        status = await self._request_status(
            endpoint, "/v1/position", STATUS_REQUEST_TIMEOUT_S
        )
        if status is None:
            self._step_confirmations(session.TermStartsFailed(endpoint))
        else:
            self._step_confirmations(
                session.TermStartsReceived(endpoint, status)
            )

    async def _request_status(
        self,
        endpoint: str,
        path: str,
        timeout_s: float,
        fresh: bool = False,
    ) -> EndpointStatus | None:
        address = self.addresses.get(endpoint)
        if address is None:
            return None
        sent_at = clock.now()
        status = await self.client.call(
            address,
            "GET",
            path,
            EndpointStatus,
            timeout_s=timeout_s,
            fresh=fresh,
        )
        if is_failure(status) or status.endpoint != endpoint:
            return None
        self.freshness.record_status(endpoint, status, sent_at, clock.now())
        self.on_status(status)
        return status


def _position_path(position: Position, wait_ms: int) -> str:
    return (
        f"/v1/position?term={position.term}"
        f"&position={position.position}&wait_ms={wait_ms}"
    )


def _term_changed(record: ServiceRecord) -> session.TermChanged:
    return session.TermChanged(
        record.voters, record.incarnations, record.primary, record.term
    )
