"""Copy of the replicated state on an entry host."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale.errors import is_failure
from chivescale.messages import WatchReply
from chivescale.state import ClusterState
from chivescale.telemetry import log_event
from chivescale.transport import Client

FIRST_ASK_S = 0.5
RETRY_PAUSE_S = 0.2
# Two watches on different control hosts: one that went silent delays a
# change by its own timeout only if the other fails as well.
PARALLEL_WATCHES = 2
WATCH_MARGIN_S = 0.5


class StateWatch:
    """Keeps a `ClusterState` current by long polls.

    Parameters
    ----------
    client : Client
        Transport.
    control : list of str
        API addresses of the control hosts.
    on_change : callable
        Called without arguments after each merged change.
    wait_ms : int
        How long a control host may hold a poll.

    Attributes
    ----------
    state : ClusterState
        The copy; its index never decreases.
    ready : asyncio.Event
        Set once the copy may be served from.
    """

    def __init__(
        self,
        client: Client,
        control: list[str],
        on_change: collections.abc.Callable[[], None],
        wait_ms: int,
    ):
        self.client = client
        self.control = control
        self.on_change = on_change
        self.wait_ms = wait_ms
        self.state = ClusterState()
        self.ready = asyncio.Event()
        self.lagging = asyncio.Event()

    async def first_sync(self, grace_s: float) -> None:
        """Fill the copy at start.

        Every reachable control host and every entry host named by them is
        asked, because a restarted host must not serve an older state than
        it, or a host it can ask, has served. Without an answer backed by a
        control quorum, the highest state found is used after `grace_s`.
        """
        started = clock.now()
        while True:
            replies = await self._ask_all("/v1/watch", self.control)
            self._merge_all(replies)
            peers = [host.api_address for host in self.state.hosts.values()]
            self._merge_all(await self._ask_all("/v1/state", peers))
            quorum = any(reply.authoritative for reply in replies)
            waited = clock.now() - started
            if quorum or (self.state.index > 0 and waited >= grace_s):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        log_event("state_synced", index=self.state.index, authoritative=quorum)
        self.ready.set()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for offset in range(min(PARALLEL_WATCHES, len(self.control))):
                group.create_task(self._follow(offset))

    def note_index(self, index: int) -> None:
        """Renew the watches if the leader is ahead of this copy."""
        if index > self.state.index:
            self.lagging.set()

    async def _follow(self, offset: int) -> None:
        turn = offset
        while True:
            address = self.control[turn % len(self.control)]
            reply = await self._poll(address)
            if is_failure(reply):
                turn += PARALLEL_WATCHES
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._merge(reply)

    async def _poll(self, address: str):
        path = f"/v1/watch?after={self.state.index}&wait_ms={self.wait_ms}"
        return await self.client.call(
            address,
            "GET",
            path,
            WatchReply,
            timeout_s=self.wait_ms / 1000 + WATCH_MARGIN_S,
        )

    async def catch_up(self) -> None:
        """Ask all control hosts at once when the watches seem silent."""
        while True:
            await self.lagging.wait()
            # The watches get a moment to deliver the change themselves.
            await asyncio.sleep(RETRY_PAUSE_S)
            before = self.state.index
            replies = await self._ask_all("/v1/watch", self.control)
            self._merge_all(replies)
            if self.state.index > before:
                log_event("watch_lagged", "warning", index=self.state.index)
            self.lagging.clear()

    async def _ask_all(self, path: str, addresses: list[str]):
        query = f"{path}?after={self.state.index}&wait_ms=0"
        calls = [
            self.client.call(
                address,
                "GET",
                query,
                WatchReply,
                timeout_s=FIRST_ASK_S,
                fresh=True,
            )
            for address in addresses
        ]
        replies = await asyncio.gather(*calls)
        return [reply for reply in replies if not is_failure(reply)]

    def _merge_all(self, replies: list[WatchReply]) -> None:
        for reply in sorted(replies, key=lambda reply: reply.index):
            self._merge(reply)

    def _merge(self, reply: WatchReply) -> None:
        before = self.state.index
        self.state.merge(reply)
        if self.state.index > before:
            self.on_change()
