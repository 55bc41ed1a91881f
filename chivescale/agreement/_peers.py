"""Delivery of messages to the other members."""

import asyncio
import collections.abc
import typing

import msgspec

from chivescale.agreement._events import Event, Received, Timing, Undelivered
from chivescale.agreement._messages import (
    AgreementMessage,
    AppendRequest,
    SnapshotRequest,
)
from chivescale.errors import ErrorKind, is_failure
from chivescale.telemetry import log_event

if typing.TYPE_CHECKING:
    from chivescale.transport import Client

SNAPSHOT_TIMEOUT_S = 5.0
# Transfer time that a batch is given beyond the usual timeout; 10 MB/s is
# far below what the hosts reach.
SECONDS_PER_BYTE = 1e-7


class Peer(msgspec.Struct):
    """Calls under way to one member.

    Attributes
    ----------
    silent : bool
        Whether the last call timed out. Then only one call is made at a
        time, over a fresh connection: the pooled ones may never answer
        again although new ones work.
    """

    calls: int = 0
    silent: bool = False
    reachable: bool = True


class Peers:
    """Sends messages and hands over the answers.

    Parameters
    ----------
    client : Client
        Transport.
    timing : Timing
        An ordinary message that is not answered within the election
        timeout less one heartbeat is given up, so that another one can
        arrive in time on another connection.
    on_event : callable
        Handles the events of the state machine that follow from a call.
    """

    def __init__(
        self,
        client: "Client",
        timing: Timing,
        on_event: collections.abc.Callable[[Event], None],
    ):
        self.client = client
        self.timeout_s = timing.election_timeout_s - timing.heartbeat_s
        self.on_event = on_event
        self.peers: dict[str, Peer] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, address: str, message: AgreementMessage) -> None:
        """Send a message; it may be lost."""
        peer = self.peers.setdefault(address, Peer())
        # A snapshot takes long; heartbeats must not wait for it.
        counted = not isinstance(message, SnapshotRequest)
        if counted and peer.silent and peer.calls:
            asyncio.get_running_loop().call_soon(self._report_loss, message)
            return
        peer.calls += counted
        task = asyncio.ensure_future(self._call(address, peer, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _report_loss(self, message: AgreementMessage) -> None:
        if isinstance(message, AppendRequest | SnapshotRequest):
            self.on_event(Undelivered(message))

    async def _call(
        self, address: str, peer: Peer, message: AgreementMessage
    ) -> None:
        try:
            answer = await self.client.call(
                address,
                "POST",
                "/v1/agreement",
                AgreementMessage,
                message,
                timeout_s=self._timeout_s(message),
                fresh=peer.silent,
            )
        finally:
            peer.calls -= not isinstance(message, SnapshotRequest)
        failed = is_failure(answer)
        peer.silent = failed and answer.kind is ErrorKind.TIMEOUT
        if failed == peer.reachable:
            peer.reachable = not failed
            reason = answer.reason if failed else ""
            log_event(
                "peer", address=address, reachable=not failed, reason=reason
            )
        if failed:
            self._report_loss(message)
        else:
            self.on_event(Received(answer))

    def _timeout_s(self, message: AgreementMessage) -> float:
        if isinstance(message, SnapshotRequest):
            return SNAPSHOT_TIMEOUT_S
        size = 0
        if isinstance(message, AppendRequest):
            size = sum(len(entry.data) for entry in message.entries)
        return self.timeout_s + size * SECONDS_PER_BYTE

    async def close(self) -> None:
        """Cancel the calls under way."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
