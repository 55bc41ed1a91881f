"""Long polls that keep the replicated state of an entry host up to date."""

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
# Number of control hosts that are polled at the same time. With two, a watch
# that stopped responding delays a change by its timeout only if the other
# watch fails as well.
PARALLEL_WATCHES = 2
WATCH_TIMEOUT_MARGIN_S = 0.5


class StateWatch:
    """Keeps a `ClusterState` up to date with long polls.

    Parameters
    ----------
    client : Client
        Transport.
    control : list of str
        API addresses of the control hosts.
    on_change : callable
        Called without arguments after each merged change.
    wait_ms : int
        Maximum time for which a control host holds a poll.

    Attributes
    ----------
    state : ClusterState
        Local copy of the state; its index never decreases.
    ready : asyncio.Event
        Set once callers may be served from the copy.
    behind : asyncio.Event
        Set while the leader is known to have a newer state.
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
        self.behind = asyncio.Event()

    async def initial_sync(self, grace_s: float) -> None:
        """Synchronize the copy at startup.

        All control hosts and all entry hosts known to them are queried,
        because a restarted host must not serve an older state than it, or any
        reachable host, has served before. If no reply is authoritative, that
        is, backed by a quorum of the control hosts, the newest state found is
        used after `grace_s`.
        """
        started_at = clock.now()
        while True:
            replies = await self._request_all("/v1/watch", self.control)
            self._merge_all(replies)
            peers = [host.api_address for host in self.state.hosts.values()]
            self._merge_all(await self._request_all("/v1/state", peers))
            has_quorum = any(reply.authoritative for reply in replies)
            elapsed_s = clock.now() - started_at
            if has_quorum or (self.state.index > 0 and elapsed_s >= grace_s):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        log_event(
            "state_synced", index=self.state.index, authoritative=has_quorum
        )
        self.ready.set()

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for offset in range(min(PARALLEL_WATCHES, len(self.control))):
                group.create_task(self._run_watch(offset))

    def note_index(self, index: int) -> None:
        """Request an update if the leader is ahead of this copy."""
        if index > self.state.index:
            self.behind.set()

    async def _run_watch(self, offset: int) -> None:
        host_index = offset
        while True:
            address = self.control[host_index % len(self.control)]
            reply = await self._poll(address)
            if is_failure(reply):
                host_index += PARALLEL_WATCHES
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
            timeout_s=self.wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S,
        )

    async def catch_up(self) -> None:
        """Query all control hosts when the watches miss a change."""
        while True:
            await self.behind.wait()
            # The watches may still deliver the change themselves.
            await asyncio.sleep(RETRY_PAUSE_S)
            old_index = self.state.index
            replies = await self._request_all("/v1/watch", self.control)
            self._merge_all(replies)
            if self.state.index > old_index:
                log_event("watch_lagged", "warning", index=self.state.index)
            self.behind.clear()

    async def _request_all(self, path: str, addresses: list[str]):
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
        old_index = self.state.index
        self.state.merge(reply)
        if self.state.index > old_index:
            self.on_change()
