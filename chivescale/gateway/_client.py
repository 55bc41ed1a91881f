"""Client for a gateway on another entry host."""

import asyncio
import random

import msgspec

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure
from chivescale.gateway._messages import (
    GatewayResponse,
    GoAway,
    Hello,
    Ping,
    Pong,
    RollbackRequest,
    RunRequest,
    RunResponse,
)
from chivescale.lines import LineChannel
from chivescale.messages import decode, encode
from chivescale.telemetry import log_event

# Holds a statement with its session variables; a client message is limited
# to 1 MiB.
MAX_FRAME_BYTES = 4 << 20
# Gateways are in the same region, and a running host accepts immediately.
CONNECT_TIMEOUT_S = 0.25
# An unreachable gateway receives no statements until a connection is open
# again. The first reconnect follows a lost connection almost immediately;
# later ones back off exponentially.
INITIAL_RECONNECT_DELAY_S = 0.05
RECONNECT_BACKOFF_FACTOR = 4.0
MAX_RECONNECT_DELAY_S = 2.0
# If a response takes longer than this, a ping checks the connection. The
# gateway responds to pings immediately, whatever its load.
PING_AFTER_S = 0.25
PING_TIMEOUT_S = 0.3
# Load reported by a gateway is ignored after this time.
LOAD_REPORT_TTL_S = 0.5


class PendingCall(msgspec.Struct, eq=False):
    """Statement that awaits its response.

    Attributes
    ----------
    future : asyncio.Future
        Resolves to a `RunResponse` or a `Failure`.
    started : float
        Time at which the statement was sent.
    """

    future: asyncio.Future
    started: float


class GatewayClient:
    """Sends statements to one gateway over a single connection.

    Parameters
    ----------
    local_name : str
        Name of this host.
    name, zone, address : str
        Name, availability zone and address of the gateway.

    Attributes
    ----------
    leaving : bool
        Whether the gateway is shutting down or was removed.
    failed : bool
        Whether the gateway is unreachable; a background task then tries to
        reconnect.
    """

    def __init__(self, local_name: str, name: str, zone: str, address: str):
        self.local_name = local_name
        self.name = name
        self.zone = zone
        self.address = address
        self.channel: LineChannel | None = None
        self.connect_task: asyncio.Task | None = None
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_number = 0
        self.leaving = False
        self.failed = False
        self.reconnect_task: asyncio.Task | None = None
        self.last_message_at = 0.0
        self.ping_sent_at: float | None = None
        self.pong_waiters: set[asyncio.Future] = set()
        self.reported_load = 0
        self.reported_load_at = 0.0

    @property
    def usable(self) -> bool:
        """Whether the gateway may receive new statements."""
        return not self.leaving and not self.failed

    def load(self, time: float) -> int:
        """Return the estimated number of statements at the gateway."""
        recent = time - self.reported_load_at < LOAD_REPORT_TTL_S
        return len(self.pending_calls) + (self.reported_load if recent else 0)

    def next_number(self) -> int:
        """Return a new identifier for a call or a transaction."""
        self.last_number += 1
        return self.last_number

    async def run(
        self, message: RunRequest, timeout_s: float
    ) -> RunResponse | Failure:
        """Send a statement and wait for its result.

        Returns
        -------
        RunResponse or Failure
            ``UNREACHABLE`` if the statement was not sent,
            ``READ_INTERRUPTED`` or ``TIMEOUT`` if the response is missing.
        """
        failure = await self.connect()
        if failure is not None:
            return failure
        if self.channel is None:
            reason = f"gateway {self.name}: connection lost before sending"
            return Failure(ErrorKind.UNREACHABLE, reason)
        time = now()
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[message.number] = PendingCall(future, time)
        self.channel.send(encode(message) + b"\r\n")
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            reason = f"no response of gateway {self.name} in {timeout_s:.3f} s"
            return Failure(ErrorKind.TIMEOUT, reason)
        finally:
            self.pending_calls.pop(message.number, None)

    async def ping(self, timeout_s: float) -> Pong | Failure:
        """Ask the gateway whether it works."""
        failure = await self.connect()
        if failure is not None:
            return failure
        reason = f"gateway {self.name}: no answer in {timeout_s:g} s"
        if self.channel is None:
            return Failure(ErrorKind.UNREACHABLE, reason)
        waiter = asyncio.get_running_loop().create_future()
        self.pong_waiters.add(waiter)
        self.channel.send(encode(Ping()) + b"\r\n")
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return Failure(ErrorKind.TIMEOUT, reason)
        finally:
            self.pong_waiters.discard(waiter)

    def roll_back(self, transaction: int) -> None:
        """Request a rollback without waiting for it."""
        if self.channel is not None:
            self.channel.send(encode(RollbackRequest(transaction)) + b"\r\n")

    async def connect(self) -> Failure | None:
        """Open the connection unless it is already open."""
        if self.channel is not None:
            return None
        if self.connect_task is None:
            self.connect_task = asyncio.ensure_future(self._open())
        try:
            failure = await asyncio.shield(self.connect_task)
        finally:
            if self.connect_task is not None and self.connect_task.done():
                self.connect_task = None
        if failure is not None:
            self._mark_failed(failure.reason)
        return failure

    async def _open(self) -> Failure | None:
        channel = LineChannel(
            self._on_line, self._on_disconnect, MAX_FRAME_BYTES
        )
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: channel, host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as err:
            reason = f"gateway {self.name}: cannot connect: {err!r}"
            return Failure(ErrorKind.UNREACHABLE, reason)
        self.channel = channel
        self.ping_sent_at = None
        self.last_message_at = now()
        channel.send(encode(Hello(self.local_name)) + b"\r\n")
        return None

    def _mark_failed(self, reason: str) -> None:
        if self.failed:
            return
        self.failed = True
        log_event("gateway_lost", "warning", gateway=self.name, reason=reason)
        self.reconnect_task = asyncio.ensure_future(self._reconnect())

    async def _reconnect(self) -> None:
        """Reconnect in the background; statements do not wait for it."""
        delay_s = INITIAL_RECONNECT_DELAY_S
        while self.failed:
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.5))
            if self.channel is not None or await self._open() is None:
                self.failed = False
                log_event("gateway_regained", gateway=self.name)
            delay_s = min(
                MAX_RECONNECT_DELAY_S, delay_s * RECONNECT_BACKOFF_FACTOR
            )

    def _on_line(self, line: bytes) -> None:
        message = decode(line, GatewayResponse)
        self.last_message_at = now()
        self.ping_sent_at = None
        match message:
            case RunResponse():
                self.reported_load, self.reported_load_at = (
                    message.waiting,
                    self.last_message_at,
                )
                call = self.pending_calls.get(message.number)
                if call is not None and not call.future.done():
                    call.future.set_result(message)
            case GoAway():
                self.leaving = True
                log_event("gateway_leaving", gateway=self.name)
            case Pong():
                self._resolve_pings(message)
            case Failure():
                self.disconnect(f"cannot decode message: {message.reason}")

    def _on_disconnect(self, reason: str) -> None:
        if self.channel is None:
            return
        self.channel = None
        # The gateway may restart under the same name.
        self.leaving = False
        self._mark_failed(reason)
        failure = Failure(
            ErrorKind.READ_INTERRUPTED, f"gateway {self.name}: {reason}"
        )
        for call in self.pending_calls.values():
            if not call.future.done():
                call.future.set_result(failure)
        self._resolve_pings(failure)

    def _resolve_pings(self, outcome: Pong | Failure) -> None:
        for waiter in self.pong_waiters:
            if not waiter.done():
                waiter.set_result(outcome)

    def disconnect(self, reason: str) -> None:
        """Close the connection; calls without a response fail."""
        if self.channel is not None:
            self.channel.abort()
            self._on_disconnect(reason)

    def check_timeouts(self, time: float) -> None:
        """Ping the gateway if a response is late; disconnect if it is dead."""
        if self.channel is None or not self.pending_calls:
            return
        if self.ping_sent_at is not None:
            if time - self.ping_sent_at > PING_TIMEOUT_S:
                self.disconnect(
                    f"no message for {time - self.last_message_at:.3f} s"
                )
            return
        oldest = next(iter(self.pending_calls.values()))
        if time - max(self.last_message_at, oldest.started) > PING_AFTER_S:
            self.ping_sent_at = time
            self.channel.send(encode(Ping()) + b"\r\n")

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        if self.reconnect_task is not None:
            self.reconnect_task.cancel()
        if self.channel is not None:
            self.channel.close()
            self.channel = None
