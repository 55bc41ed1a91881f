"""Role of an endpoint in its database group: promise, promote, follow."""

import asyncio
import time

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import (
    Accepted,
    Follow,
    Position,
    Promise,
    PromiseReply,
    Promote,
    PromoteReply,
)
from chivescale.telemetry import log_event
from chivescale_standin._state import Following, RoleFile
from chivescale_standin._store import Store

PRIMARY, REPLICA, FENCED = "primary", "replica", "fenced"


class Group:
    """Decides which term, primary and log this endpoint accepts.

    Attributes
    ----------
    kind : str
        ``primary``, ``replica`` or ``fenced``.
    rebuilding : bool
        Whether the log diverged and the data must not be served.
    contact : float, optional
        Monotonic time in seconds of the last answer of the primary.
    on_fence : list of callable
        Called when writes are no longer allowed.
    """

    def __init__(self, name: str, service: str, store: Store, file: RoleFile):
        self.name = name
        self.service = service
        self.store = store
        self.file = file
        incarnation = store.incarnation(file.role.incarnation)
        if incarnation != file.role.incarnation:
            # The data is new, so nothing that it followed applies.
            file.change(incarnation=incarnation, following=None)
        # Only a promotion makes a primary: a restarted one may have been
        # replaced in the meantime.
        self.kind = REPLICA if file.role.following else FENCED
        self.rebuilding = False
        self.contact: float | None = None
        self.on_fence = []
        # In the order of their arrival, so that seeded runs repeat.
        self.waiters: dict[asyncio.Future, None] = {}

    @property
    def following(self) -> Following | None:
        """Followed primary."""
        return self.file.role.following

    @property
    def promised_term(self) -> int:
        """Highest term promised."""
        return self.file.role.promised_term

    def is_primary(self) -> bool:
        """Whether writes are allowed."""
        return self.kind == PRIMARY

    def notify(self) -> None:
        """Wake everyone who waits for a change of log or role."""
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, deadline: float) -> bool:
        """Wait for a change; False if `deadline` came first."""
        left = deadline - time.monotonic()
        if left <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = None
        try:
            async with asyncio.timeout(left):
                await waiter
            return True
        except TimeoutError:
            return False
        finally:
            self.waiters.pop(waiter, None)

    async def wait_position(self, wanted: Position, deadline: float) -> None:
        """Wait until `wanted` is held or the promised term moves."""
        promised = self.promised_term
        while self.store.last < wanted and self.promised_term == promised:
            if not await self.wait(deadline):
                return

    def _fence(self, kind: str, **fields) -> None:
        """Give up writing, then change role; order matters for promises."""
        for action in self.on_fence:
            action()
        self.kind = kind
        self.rebuilding = False
        self.file.change(**fields)
        self.notify()

    def promise(self, request: Promise, status) -> PromiseReply | Failure:
        """Refuse every term below the requested one from now on."""
        if request.service != self.service:
            return _wrong_service(request.service)
        granted = request.term > self.promised_term
        if granted:
            self._fence(FENCED, promised_term=request.term, following=None)
            log_event("promised", endpoint=self.name, term=request.term)
        # The same attempt may ask again after a lost answer.
        repeated = request.term == self.promised_term and self.kind == FENCED
        return PromiseReply(granted or repeated, status())

    def promote(self, request: Promote, status) -> PromoteReply | Failure:
        """Become primary of the promised term."""
        if request.service != self.service:
            return _wrong_service(request.service)
        if request.term != self.promised_term or self.kind == REPLICA:
            return PromoteReply(False, Position(0, 0), status())
        if self.kind == FENCED:
            if self.store.last.term >= request.term:
                # A restarted primary of the same term must not resume it.
                return PromoteReply(False, Position(0, 0), status())
            self.store.append_marker(request.term)
            self.kind = PRIMARY
            self.notify()
            log_event("promoted", endpoint=self.name, term=request.term)
        start = self.store.term_starts[-1]
        return PromoteReply(
            True, Position(start.term, start.position), status()
        )

    def follow(self, request: Follow) -> Accepted | Failure:
        """Replicate from a primary of the promised or a higher term."""
        if request.service != self.service:
            return _wrong_service(request.service)
        if request.term < self.promised_term:
            reason = f"promised term {self.promised_term}"
            return Failure(ErrorKind.STALE_TERM, reason)
        if self.kind == PRIMARY and request.term == self.promised_term:
            return Failure(ErrorKind.STALE_TERM, "primary of this term")
        wanted = Following(
            request.term, request.primary, request.primary_admin_address
        )
        if self.kind == REPLICA and self.following == wanted:
            return Accepted()
        self.contact = None
        self._fence(REPLICA, promised_term=request.term, following=wanted)
        log_event(
            "following",
            endpoint=self.name,
            primary=request.primary,
            term=request.term,
        )
        return Accepted()

    def leave(self) -> Accepted:
        """Ask for no new work."""
        self.file.change(leaving=True)
        self.notify()
        return Accepted()


def _wrong_service(service: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, f"not of service {service!r}")
