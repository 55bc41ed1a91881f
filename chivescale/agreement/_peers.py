"""Sends messages to the other members."""

import asyncio
import collections.abc
import typing

import msgspec

from chivescale.agreement._events import Event, Received, Timing, Undelivered
from chivescale.agreement._limits import (
    entries_bytes,
    snapshot_bytes,
    transfer_time_s,
)
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


class Peer(msgspec.Struct):
    """State of the calls to one member.

    Attributes
    ----------
    active_calls : int
        Calls in progress, except snapshots.
    timed_out : bool
        Whether the last call timed out. If so, only one call is made at a
        time, over a new connection, since pooled connections may be dead
        while new ones work.
    reachable : bool
        Whether the last call succeeded.
    """

    active_calls: int = 0
    timed_out: bool = False
    reachable: bool = True


class Peers:
    """Sends messages and passes on the replies.

    Parameters
    ----------
    client : Client
        Transport.
    timing : Timing
        A call other than a snapshot times out one heartbeat interval before
        the election timeout, so that another message can still arrive in
        time over a new connection.
    on_event : callable
        Receives the events for the state machine that result from a call.
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
        """Send a message without delivery guarantee."""
        peer = self.peers.setdefault(address, Peer())
        # A snapshot transfer is slow and must not block heartbeats.
        limited = not isinstance(message, SnapshotRequest)
        if limited and peer.timed_out and peer.active_calls:
            asyncio.get_running_loop().call_soon(
                self._report_undelivered, message
            )
            return
        peer.active_calls += limited
        task = asyncio.ensure_future(self._call(address, peer, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _report_undelivered(self, message: AgreementMessage) -> None:
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
                fresh=peer.timed_out,
            )
        finally:
            peer.active_calls -= not isinstance(message, SnapshotRequest)
        failed = is_failure(answer)
        peer.timed_out = failed and answer.kind is ErrorKind.TIMEOUT
        if failed == peer.reachable:
            peer.reachable = not failed
            reason = answer.reason if failed else ""
            log_event(
                "peer", address=address, reachable=not failed, reason=reason
            )
        if failed:
            self._report_undelivered(message)
        else:
            self.on_event(Received(answer))

    def _timeout_s(self, message: AgreementMessage) -> float:
        if isinstance(message, SnapshotRequest):
            size = snapshot_bytes(message.snapshot)
            return SNAPSHOT_TIMEOUT_S + transfer_time_s(size)
        size = 0
        if isinstance(message, AppendRequest):
            size = entries_bytes(message.entries)
        return self.timeout_s + transfer_time_s(size)

    async def close(self) -> None:
        """Cancel all calls in progress."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
