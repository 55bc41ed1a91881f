"""Replication from the primary of the followed term."""

import asyncio
import collections
import pathlib
import sqlite3
import time

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.telemetry import log_event
from chivescale.transport import Client
from chivescale_standin._faults import Faults
from chivescale_standin._group import REPLICA, Group
from chivescale_standin._messages import LogEntry, ReplicateReply
from chivescale_standin._store import Store, common_prefix

# Short polls keep the age of the last contact well under the silence that
# counts against a primary (350 ms).
POLL_WAIT_MS = 100
# A connection that went silent is replaced after this time. With 0.5 s, both
# replicas reported no contact for 600 ms and the watchers took the primary
# for detached, although it answered on new connections.
POLL_TIMEOUT_S = 0.35
RETRY_S = 0.05
BATCH_BYTES = 256 << 10
MAX_BUFFERED = 2000
REBUILD_BATCH = 200


def serve(group: Group, faults: Faults):
    """Return the handler with which a primary feeds its replicas."""

    async def replicate(request) -> ReplicateReply | Failure:
        try:
            term = int(request.query["term"])
            held = Position(
                int(request.query["last_term"]), int(request.query["position"])
            )
            wait_s = int(request.query["wait_ms"]) / 1000
        except (KeyError, ValueError) as err:
            return Failure(ErrorKind.BAD_REQUEST, f"query: {err!r}")
        endpoint = request.query.get("endpoint", "")
        deadline = min(request.deadline, time.monotonic() + wait_s)
        await faults.travel()
        while True:
            await faults.gate()
            if faults.note(request.connection) or faults.is_cut(endpoint):
                await asyncio.sleep(request.deadline - time.monotonic())
            reply = _reply(group, term, held)
            if is_failure(reply) or reply.entries or reply.diverged:
                break
            if not await group.wait(deadline):
                break
        await faults.travel()
        return reply

    return replicate


def _reply(group: Group, term: int, held: Position):
    if not group.is_primary() or term != group.promised_term:
        return Failure(ErrorKind.STALE_TERM, "not primary of this term")
    store = group.store
    if held.position and store.term_at(held.position) != held.term:
        return ReplicateReply(
            term, store.last, (), True, tuple(store.term_starts)
        )
    entries = store.entries_after(held.position, BATCH_BYTES)
    return ReplicateReply(term, store.last, tuple(entries))


class Puller:
    """Keeps a replica's log equal to that of its primary.

    Entries are fetched by one task and applied by another, so that a
    replica that lags stays in contact with its primary.
    """

    def __init__(self, group: Group, faults: Faults, client: Client):
        self.group = group
        self.faults = faults
        self.client = client
        self.buffer: collections.deque[tuple[float, LogEntry]] = (
            collections.deque()
        )
        self.following = None
        self.fetching: asyncio.Task | None = None
        self.failed = False
        self.tasks: list[asyncio.Task] = []
        group.on_fence.append(self._abandon)

    def start(self) -> None:
        """Start both tasks."""
        self.tasks = [
            asyncio.create_task(self._repeat(self._pull)),
            asyncio.create_task(self._repeat(self._apply)),
        ]

    async def close(self) -> None:
        """Stop both tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _repeat(self, step) -> None:
        while True:
            try:
                await step()
            except Exception as err:  # replication must not end
                log_event("replication_error", "error", error=repr(err))
                await asyncio.sleep(RETRY_S)

    def _current(self):
        """Return the followed primary; forget entries of another one."""
        group = self.group
        following = group.following if group.kind == REPLICA else None
        if following != self.following:
            self.buffer.clear()
            self.following = following
        return following

    async def _pull(self) -> None:
        await self.faults.gate()
        following = self._current()
        if following is None:
            await self.group.wait(time.monotonic() + 1.0)
            return
        if self.faults.is_cut(following.primary):
            await asyncio.sleep(RETRY_S)
            return
        reply = await self._fetch_abandonable(following)
        self.failed = reply is None or is_failure(reply)
        await self.faults.gate()
        if self._current() != following:
            return
        if reply is None or is_failure(reply):
            await asyncio.sleep(RETRY_S)
            return
        self.group.contact = time.monotonic()
        if reply.diverged:
            await self._rebuild(following, reply)
            return
        received = time.monotonic()
        self.buffer.extend((received, entry) for entry in reply.entries)
        if reply.entries:
            self.group.notify()
        elif len(self.buffer) >= MAX_BUFFERED:
            await asyncio.sleep(POLL_WAIT_MS / 1000)

    async def _fetch_abandonable(self, following):
        """Return the primary's answer; None if the role changed meanwhile.

        The request to a primary that was cut off hangs until its timeout,
        and the new primary's marker would wait for that.
        """
        self.fetching = asyncio.ensure_future(self._fetch(following))
        try:
            await asyncio.wait({self.fetching})
            cancelled = self.fetching.cancelled()
            return None if cancelled else self.fetching.result()
        finally:
            self.fetching.cancel()

    def _abandon(self) -> None:
        if self.fetching is not None:
            self.fetching.cancel()

    def _held(self) -> Position:
        if self.buffer:
            entry = self.buffer[-1][1]
            return Position(entry.term, entry.position)
        return self.group.store.last

    async def _fetch(self, following):
        held = self._held()
        # After a failure an answer at once renews the contact.
        at_once = self.failed or len(self.buffer) >= MAX_BUFFERED
        wait_ms = 0 if at_once else POLL_WAIT_MS
        return await self._ask(following, held, wait_ms)

    async def _ask(self, following, held: Position, wait_ms: int):
        path = (
            f"/v1/replicate?endpoint={self.group.name}&term={following.term}"
            f"&last_term={held.term}&position={held.position}"
            f"&wait_ms={wait_ms}"
        )
        return await self.client.call(
            following.address,
            "GET",
            path,
            ReplicateReply,
            timeout_s=POLL_TIMEOUT_S + 4 * self.faults.delay_s,
        )

    async def _apply(self) -> None:
        await self.faults.gate()
        following = self._current()
        if following is None or not self.buffer or self.group.rebuilding:
            await self.group.wait(time.monotonic() + 1.0)
            return
        now, lag_s = time.monotonic(), self.faults.lag_s
        wait_s = self.buffer[0][0] + lag_s - now
        if wait_s > 0:
            # A changed lag takes effect soon.
            await asyncio.sleep(min(wait_s, RETRY_S))
            return
        entries = []
        # The same sum as above: with another rounding, nothing might be due
        # and the loop would spin.
        while (
            self.buffer
            and self.buffer[0][0] + lag_s - now <= 0
            and len(entries) < REBUILD_BATCH
        ):
            entries.append(self.buffer.popleft()[1])
        try:
            self.group.store.apply(entries)
        except sqlite3.Error as err:
            self.buffer.clear()
            log_event("apply_failed", "error", error=repr(err))
            await asyncio.sleep(RETRY_S)
        self.group.notify()
        await asyncio.sleep(0)

    async def _rebuild(self, following, reply: ReplicateReply) -> None:
        """Build the data anew up to the primary's log, then swap it in.

        Applied statements cannot be undone, so the shared part of the log
        runs again in another file. Until the swap the old log stands for
        promises. No statement is served until the swap or a change of role,
        also when an attempt fails and another one follows.
        """
        group, store = self.group, self.group.store
        shared = common_prefix(
            store.term_starts,
            store.last.position,
            reply.term_starts,
            reply.last.position,
        )
        log_event(
            "rebuild_started",
            endpoint=group.name,
            position=store.last.position,
            shared=shared,
        )
        group.rebuilding = True
        fresh = _fresh_store(store)
        try:
            if await self._copy(following, fresh, shared):
                fresh.set_incarnation(group.file.role.incarnation)
                store.replace_with(fresh)
                group.rebuilding = False
                log_event("rebuild_done", position=store.last.position)
        finally:
            fresh.close()
            group.notify()

    async def _copy(self, following, fresh: Store, shared: int) -> bool:
        """Fill the new store; False if another primary was followed."""
        store = self.group.store
        while fresh.last.position < shared:
            entries = store.entries_after(
                fresh.last.position, BATCH_BYTES, shared
            )
            for start in range(0, len(entries), REBUILD_BATCH):
                fresh.apply(entries[start : start + REBUILD_BATCH])
                await asyncio.sleep(0)
                await self.faults.gate()
                if self._current() != following:
                    return False
        while True:
            reply = await self._ask(following, fresh.last, 0)
            await self.faults.gate()
            if self._current() != following:
                return False
            if is_failure(reply) or reply.diverged:
                if is_failure(reply) and reply.kind is not (
                    ErrorKind.STALE_TERM
                ):
                    await asyncio.sleep(RETRY_S)
                    continue
                return False
            self.group.contact = time.monotonic()
            if not reply.entries:
                return True
            for start in range(0, len(reply.entries), REBUILD_BATCH):
                fresh.apply(list(reply.entries[start : start + REBUILD_BATCH]))
                await asyncio.sleep(0)


def _fresh_store(store: Store) -> Store:
    """Return an empty store beside the present one."""
    folder: pathlib.Path = store.path.parent
    for path in folder.glob("rebuild.db*"):
        path.unlink()
    return Store(folder, "rebuild.db", synced=False)
