"""A gateway as another entry host sees it."""

import asyncio
import random

import msgspec

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway._messages import (
    Answer,
    Bye,
    FromGateway,
    Hello,
    Ping,
    Pong,
    Rollback,
    Run,
)
from chivescale.lines import LineChannel
from chivescale.messages import decode, encode
from chivescale.telemetry import log_event

# A statement with its values; callers' messages have 1 MiB.
MAX_FRAME_BYTES = 4 << 20
# Gateways are in the same region; a host that runs accepts at once.
CONNECT_TIMEOUT_S = 0.25
# A gateway that could not be reached gets no statements until a connection to
# it was opened; a lost connection is opened again almost at once, later
# attempts become rarer.
FIRST_TRIAL_PAUSE_S = 0.05
TRIAL_PAUSE_FACTOR = 4.0
LONGEST_TRIAL_PAUSE_S = 2.0
# An answer that takes longer is followed by a question whether the
# connection still works, which the gateway answers at once.
SILENT_S = 0.25
PING_TIMEOUT_S = 0.3
# What a gateway said of its load counts for this long.
LOAD_KEPT_S = 0.5


class Call(msgspec.Struct, eq=False):
    """A statement under way.

    Attributes
    ----------
    future : asyncio.Future
        Becomes an `Answer` or a `Failure`.
    started : float
        When it was sent.
    """

    future: asyncio.Future
    started: float


class Peer:
    """Calls to one gateway over one connection.

    Parameters
    ----------
    own_name : str
        Name of this host.
    name, zone, address : str
        Of the gateway.

    Attributes
    ----------
    leaving : bool
        Whether the gateway has said that it stops.
    failed : bool
        Whether it could not be reached; a trial is under way then.
    """

    def __init__(self, own_name: str, name: str, zone: str, address: str):
        self.own_name = own_name
        self.name = name
        self.zone = zone
        self.address = address
        self.channel: LineChannel | None = None
        self.opening: asyncio.Task | None = None
        self.calls: dict[int, Call] = {}
        self.numbers = 0
        self.leaving = False
        self.failed = False
        self.trial: asyncio.Task | None = None
        self.heard_at = 0.0
        self.pinged_at: float | None = None
        self.waiting = 0
        self.waiting_at = 0.0

    @property
    def usable(self) -> bool:
        """Whether new statements may be sent."""
        return not self.leaving and not self.failed

    def load(self, time: float) -> int:
        """Return how much seems to wait at the gateway."""
        recent = time - self.waiting_at < LOAD_KEPT_S
        return len(self.calls) + (self.waiting if recent else 0)

    def next_number(self) -> int:
        """Return a number for a call or a transaction."""
        self.numbers += 1
        return self.numbers

    async def run(self, message: Run, timeout_s: float) -> Answer | Failure:
        """Send a statement and wait for its outcome.

        Returns
        -------
        Answer or Failure
            ``UNREACHABLE`` if the statement has not left,
            ``READ_INTERRUPTED`` or ``TIMEOUT`` if its answer did not come.
        """
        failure = await self.connect()
        if failure is not None:
            return failure
        if self.channel is None:
            reason = f"gateway {self.name}: connection lost at once"
            return Failure(ErrorKind.UNREACHABLE, reason)
        time = now()
        future = asyncio.get_running_loop().create_future()
        self.calls[message.number] = Call(future, time)
        self.channel.send(encode(message) + b"\r\n")
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            reason = f"no answer of gateway {self.name} in {timeout_s:.3f} s"
            return Failure(ErrorKind.TIMEOUT, reason)
        finally:
            self.calls.pop(message.number, None)

    def roll_back(self, transaction: int) -> None:
        """End a transaction without waiting."""
        if self.channel is not None:
            self.channel.send(encode(Rollback(transaction)) + b"\r\n")

    async def connect(self) -> Failure | None:
        """Open the connection unless it is open."""
        if self.channel is not None:
            return None
        if self.opening is None:
            self.opening = asyncio.ensure_future(self._open())
        try:
            failure = await asyncio.shield(self.opening)
        finally:
            if self.opening is not None and self.opening.done():
                self.opening = None
        if failure is not None:
            self._note_failure(failure.reason)
        return failure

    async def _open(self) -> Failure | None:
        channel = LineChannel(self._on_line, self._on_lost, MAX_FRAME_BYTES)
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: channel, host, int(port))
        except (OSError, TimeoutError) as err:
            reason = f"gateway {self.name}: cannot connect: {err!r}"
            return Failure(ErrorKind.UNREACHABLE, reason)
        self.channel = channel
        self.pinged_at = None
        self.heard_at = now()
        channel.send(encode(Hello(self.own_name)) + b"\r\n")
        return None

    def _note_failure(self, reason: str) -> None:
        if self.failed:
            return
        self.failed = True
        log_event("gateway_lost", "warning", gateway=self.name, reason=reason)
        self.trial = asyncio.ensure_future(self._try_again())

    async def _try_again(self) -> None:
        """Open a connection in the background; no statement waits for it."""
        pause_s = FIRST_TRIAL_PAUSE_S
        while self.failed:
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            if self.channel is not None or await self._open() is None:
                self.failed = False
                log_event("gateway_regained", gateway=self.name)
            pause_s = min(LONGEST_TRIAL_PAUSE_S, pause_s * TRIAL_PAUSE_FACTOR)

    def _on_line(self, line: bytes) -> None:
        message = decode(line, FromGateway)
        self.heard_at = now()
        self.pinged_at = None
        match message:
            case Answer():
                self.waiting, self.waiting_at = message.waiting, self.heard_at
                call = self.calls.get(message.number)
                if call is not None and not call.future.done():
                    call.future.set_result(message)
            case Bye():
                self.leaving = True
                log_event("gateway_leaving", gateway=self.name)
            case Pong():
                pass
            case Failure():
                self._give_up(f"unreadable message: {message.reason}")

    def _on_lost(self, reason: str) -> None:
        if self.channel is None:
            return
        self.channel = None
        # The host may start again under its name.
        self.leaving = False
        self._note_failure(reason)
        failure = Failure(
            ErrorKind.READ_INTERRUPTED, f"gateway {self.name}: {reason}"
        )
        for call in self.calls.values():
            if not call.future.done():
                call.future.set_result(failure)

    def _give_up(self, reason: str) -> None:
        if self.channel is not None:
            self.channel.abort()
            self._on_lost(reason)

    def check_silence(self, time: float) -> None:
        """Ask whether the connection works if an answer is late."""
        if self.channel is None or not self.calls:
            return
        if self.pinged_at is not None:
            if time - self.pinged_at > PING_TIMEOUT_S:
                self._give_up(f"silent for {time - self.heard_at:.3f} s")
            return
        oldest = next(iter(self.calls.values()))
        if time - max(self.heard_at, oldest.started) > SILENT_S:
            self.pinged_at = time
            self.channel.send(encode(Ping()) + b"\r\n")

    async def reachable(self) -> bool:
        """Tell whether the gateway accepts a connection or has one open."""
        return not is_failure(await self.connect())

    def close(self) -> None:
        """Close the connection and stop trying."""
        if self.trial is not None:
            self.trial.cancel()
        if self.channel is not None:
            self.channel.close()
            self.channel = None
