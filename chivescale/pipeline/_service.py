"""Shell around the consistency decisions of one service."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale import session as decisions
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import EndpointStatus, Position, ServiceRecord
from chivescale.transport import Client

BARRIER_ASK_S = 0.5
POSITION_WAIT_MS = 500
POSITION_ASK_S = 0.8
HISTORY_ASK_S = 0.5
# A quorum answer this recent is evidence enough to send a write; older
# evidence is renewed by a barrier first, so that a cut-off zone refuses
# writes before they run.
QUORUM_EVIDENCE_S = 1.0


class ServiceView:
    """Barriers, confirmations and freshness of one service.

    Parameters
    ----------
    client : Client
        Transport to the endpoints' admin interface.
    on_status : callable
        Called with each status that an endpoint answered.

    Attributes
    ----------
    record : ServiceRecord
        Established term as published.
    freshness : Freshness
        Proven ages.
    quorum_at : float
        Monotonic time of the last proof that a quorum answers.
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
        self.barriers = decisions.Barriers()
        self.confirmations = decisions.Confirmations()
        self.freshness = decisions.Freshness()
        self.waiters: dict[int, asyncio.Future] = {}
        self.last_id = 0
        self.quorum_at = float("-inf")
        self.tasks: set[asyncio.Task] = set()
        self.position_waits: dict[tuple, asyncio.Task] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.changed = asyncio.Event()

    def update(self, record: ServiceRecord, addresses: dict[str, str]) -> None:
        """Take over the published state of the service."""
        self.addresses = addresses
        if record == self.record:
            return
        newer = record.term > self.record.term
        self.record = record
        if newer:
            self._barrier_event(_term_changed(record))
            self._confirm_event(decisions.TermEstablished(record))
            self.freshness.term_changed(record)
            self.quorum_at = clock.now()
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_change(self, deadline: float) -> bool:
        """Wait until another state of the service is published."""
        changed = self.changed
        try:
            async with asyncio.timeout(deadline - clock.now()):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def barrier(
        self, deadline: float
    ) -> decisions.BarrierReady | Failure:
        """Return a barrier sent after this call, shared where possible."""
        number, future = self._waiter()
        self._barrier_event(decisions.Join(number, deadline))
        return await self._outcome(number, future)

    async def confirm(self, position: Position, deadline: float):
        """Wait for the outcome of a write at `position`.

        Returns
        -------
        Confirmed, ProvedAbsent or Unknown
        """
        number, future = self._waiter()
        self._confirm_event(decisions.Wait(number, position, deadline))
        return await self._outcome(number, future)

    async def check_quorum(self, deadline: float) -> Failure | None:
        """Prove that a quorum of the voters answers now or did lately."""
        if clock.now() - self.quorum_at < QUORUM_EVIDENCE_S:
            return None
        answer = await self.barrier(deadline)
        return answer if is_failure(answer) else None

    async def wait_position(
        self, endpoint: str, position: Position, wait_s: float
    ) -> bool:
        """Wait until an endpoint holds `position`; calls share one ask."""
        key = (endpoint, position)
        task = self.position_waits.get(key)
        if task is None:
            path = _position_path(position, int(wait_s * 1000))
            task = self._spawn(self._ask(endpoint, path, wait_s + 0.2))
            self.position_waits[key] = task
            task.add_done_callback(lambda _: self.position_waits.pop(key))
        # One caller that leaves must not cancel the ask of the others.
        status = await asyncio.shield(task)
        return status is not None and status.last >= position

    async def status_of(self, endpoint: str) -> EndpointStatus | None:
        """Return the present status of an endpoint; None without answer."""
        return await self._ask(endpoint, "/v1/position", HISTORY_ASK_S)

    def close(self) -> None:
        """End all questions; waiting callers get ``SHUTTING_DOWN``."""
        for timer in self.timers.values():
            timer.cancel()
        for task in self.tasks:
            task.cancel()
        failure = Failure(ErrorKind.SHUTTING_DOWN, "service closed")
        for future in self.waiters.values():
            if not future.done():
                future.set_result(failure)

    def _waiter(self) -> tuple[int, asyncio.Future]:
        self.last_id += 1
        future = asyncio.get_running_loop().create_future()
        self.waiters[self.last_id] = future
        return self.last_id, future

    async def _outcome(self, number: int, future: asyncio.Future):
        try:
            return await future
        finally:
            self.waiters.pop(number, None)

    def _resolve(self, number: int, outcome) -> None:
        future = self.waiters.get(number)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _barrier_event(self, event) -> None:
        now = clock.now()
        for effect in self.barriers.step(event, now):
            match effect:
                case decisions.StartRound():
                    self._start_round(effect)
                case decisions.BarrierReady():
                    self.quorum_at = max(self.quorum_at, effect.sent_at)
                    self.freshness.add_sample(
                        effect.sent_at, effect.position, effect.promised_term
                    )
                    for number in effect.read_ids:
                        self._resolve(number, effect)
                case decisions.BarrierFailed():
                    for number in effect.read_ids:
                        self._resolve(number, effect.failure)
        self._schedule("barrier", self.barriers.wake_at, self._barrier_event)

    def _confirm_event(self, event) -> None:
        now = clock.now()
        for effect in self.confirmations.step(event, now):
            match effect:
                case decisions.AskPositions():
                    for endpoint in effect.endpoints:
                        self._spawn(
                            self._ask_position(endpoint, effect.position)
                        )
                case decisions.AskHistory():
                    self._spawn(self._ask_history(effect.endpoint))
                case decisions.Confirmed():
                    self.quorum_at = now
                    self._resolve(effect.write_id, effect)
                case decisions.ProvedAbsent() | decisions.Unknown():
                    self._resolve(effect.write_id, effect)
        self._schedule(
            "confirm", self.confirmations.wake_at, self._confirm_event
        )

    def _schedule(self, name: str, at: float | None, handle) -> None:
        timer = self.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        if at is None:
            return
        delay = max(0.001, at - clock.now())
        self.timers[name] = asyncio.get_running_loop().call_later(
            delay, handle, decisions.Tick()
        )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _start_round(self, effect: decisions.StartRound) -> None:
        for endpoint in effect.endpoints:
            self._spawn(
                self._ask_barrier(effect.round, endpoint, effect.fresh)
            )

    async def _ask_barrier(self, number: int, endpoint: str, fresh: bool):
        status = await self._ask(
            endpoint, "/v1/position", BARRIER_ASK_S, fresh=fresh
        )
        if status is None:
            event = decisions.StatusFailed(number, endpoint)
        else:
            event = decisions.StatusReceived(number, endpoint, status)
        self._barrier_event(event)

    async def _ask_position(self, endpoint: str, position: Position):
        path = _position_path(position, POSITION_WAIT_MS)
        status = await self._ask(endpoint, path, POSITION_ASK_S)
        if status is None:
            self._confirm_event(decisions.AskFailed(endpoint))
        else:
            self._confirm_event(decisions.PositionReceived(endpoint, status))

    async def _ask_history(self, endpoint: str):
        status = await self._ask(endpoint, "/v1/position", HISTORY_ASK_S)
        if status is None:
            self._confirm_event(decisions.HistoryFailed(endpoint))
        else:
            self._confirm_event(decisions.HistoryReceived(endpoint, status))

    async def _ask(
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


def _term_changed(record: ServiceRecord) -> decisions.TermChanged:
    return decisions.TermChanged(
        record.voters, record.incarnations, record.primary, record.term
    )
