"""Admits operations within the rate limits of their workspaces."""

import asyncio
import collections
import collections.abc

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.limits import TokenStock
from chivescale.messages import AllowanceAnswer, AllowanceRequest
from chivescale.relay._request import Outcome, StatementRequest
from chivescale.telemetry import COUNTERS, log_decision

# A coordinator may borrow from others, twice, before it answers.
REQUEST_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.1
# Coordinators that are asked one after the other; half of a group may be cut
# off.
MAX_COORDINATORS_ASKED = 5
# A coordinator that did not answer is asked last for this time. All operations
# of limited workspaces wait for each attempt, and a cut lasts for seconds.
SILENT_BACKOFF_S = 4.0
# A refused workspace is not asked for again sooner than this, so that a
# caller far above its limit does not cost a request per operation.
MIN_REFUSAL_S = 0.02


def order_coordinators(
    known: collections.abc.Sequence[str],
    first: str,
    silent_until: collections.abc.Mapping[str, float],
    time: float,
) -> list[str]:
    """Return coordinators in the order in which they are asked.

    Those that were silent a moment ago come last, otherwise `first` comes
    first and the others follow it in turn.

    Examples
    --------
    >>> order_coordinators(["a", "b", "c"], "b", {}, 1.0)
    ['b', 'c', 'a']
    >>> order_coordinators(["a", "b", "c"], "b", {"b": 3.0}, 1.0)
    ['c', 'a', 'b']
    """
    start = known.index(first) if first in known else 0
    order = [*known[start:], *known[:start]]
    return sorted(order, key=lambda a: silent_until.get(a, 0.0) > time)


class RateLimiter:
    """Asks coordinators for tokens and keeps them for a short time.

    Requests of all workspaces are collected while one is under way.

    Parameters
    ----------
    host : RelayHost
        Host whose operations are limited.

    Attributes
    ----------
    stock : TokenStock
        Tokens that arrived and were not used yet.
    refused_until : dict of str to float
        Time until which operations of a workspace are refused at once.
    waiting : dict of str to deque of asyncio.Future
        Operations that wait for a token, by workspace.
    """

    def __init__(self, host):
        self.host = host
        self.stock = TokenStock()
        self.refused_until: dict[str, float] = {}
        self.waiting: dict[str, collections.deque[asyncio.Future]] = {}
        self.sender: asyncio.Task | None = None
        self.silent_until: dict[str, float] = {}
        self.last_answering = ""
        self.last_contact_at = now()

    def forget_removed(self) -> None:
        """Forget the workspaces that a new configuration does not have."""
        names = self.host.access.callers.workspaces.keys()
        self.stock.keep_only(names)
        self.refused_until = {
            name: until
            for name, until in self.refused_until.items()
            if name in names
        }

    def _is_limited(self, name: str) -> bool:
        workspace = self.host.access.callers.workspaces.get(name)
        return workspace is not None and workspace.rate_per_s is not None

    async def admit(self, workspace: str) -> Failure | None:
        """Return a failure if an operation is beyond the limit."""
        if not workspace or not self._is_limited(workspace):
            return None
        time = now()
        if self.stock.spend(workspace, time):
            return None
        until = self.refused_until.get(workspace, 0.0)
        if time < until:
            return self._refuse(workspace, until - time)
        future = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(workspace, collections.deque()).append(future)
        if self.sender is None or self.sender.done():
            self.sender = asyncio.ensure_future(self._send())
        return await future

    def settle(self, request: StatementRequest, outcome: Outcome) -> None:
        """Account for what became of an admitted statement."""
        if not self._is_limited(request.workspace):
            return
        if is_failure(outcome):
            if not request.endpoint or outcome.kind is ErrorKind.OVERLOADED:
                self.refund(request.workspace)
        elif request.attempts > 1:
            self.stock.owe(request.workspace, request.attempts - 1)

    def refund(self, workspace: str) -> None:
        """Return the token of an operation that did not run."""
        if workspace and self._is_limited(workspace):
            self.stock.refund(workspace, now())

    def close(self) -> None:
        """Stop asking; operations that wait are refused."""
        if self.sender is not None:
            self.sender.cancel()
        for name in list(self.waiting):
            self._resolve(name, 0, MIN_REFUSAL_S)

    async def _send(self) -> None:
        while self.waiting:
            needed = {name: len(queue) for name, queue in self.waiting.items()}
            time = now()
            ahead = {name: self.stock.ahead(name, time) for name in needed}
            debts = self.stock.take_debts()
            request = AllowanceRequest(
                needed, {n: c for n, c in ahead.items() if c}, debts
            )
            answer = await self._ask(request)
            if is_failure(answer):
                for name, count in debts.items():
                    self.stock.owe(name, count)
                self._go_on_alone(needed)
            else:
                self._apply(needed, answer)

    async def _ask(
        self, request: AllowanceRequest
    ) -> AllowanceAnswer | Failure:
        answer: AllowanceAnswer | Failure = Failure(
            ErrorKind.UNREACHABLE, "no coordinator is known"
        )
        for address in self._coordinators()[:MAX_COORDINATORS_ASKED]:
            answer = await self.host.http_client.call(
                address,
                "POST",
                "/v1/allowance",
                AllowanceAnswer,
                request,
                timeout_s=REQUEST_TIMEOUT_S,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            if not is_failure(answer):
                self.last_contact_at = now()
                self.last_answering = address
                return answer
            self.silent_until[address] = now() + SILENT_BACKOFF_S
        return answer

    def _coordinators(self) -> list[str]:
        follower = self.host.follower
        known = follower.coordinators
        first = known[follower.current_index % len(known)]
        if not follower.connected:
            # The watcher tries one after the other meanwhile.
            first = self.last_answering
        return order_coordinators(known, first, self.silent_until, now())

    def _apply(self, needed: dict[str, int], answer: AllowanceAnswer) -> None:
        time = now()
        for name, count in needed.items():
            granted = answer.granted.get(name, 0)
            served = min(granted, count)
            wait_s = max(
                MIN_REFUSAL_S, answer.retry_after_s.get(name, MIN_REFUSAL_S)
            )
            for _ in range(served):
                self.stock.record_grant(name, time)
            self._resolve(name, served, wait_s, count)
            self.stock.add(name, granted - served, time)
            if served < count:
                self.refused_until[name] = time + wait_s

    def _go_on_alone(self, needed: dict[str, int]) -> None:
        """Decide without a coordinator by the recent rate of this host."""
        time = now()
        for name, count in needed.items():
            served = sum(
                self.stock.spend_alone(name, self.last_contact_at, time)
                for _ in range(count)
            )
            self._resolve(name, served, MIN_REFUSAL_S, count)

    def _resolve(
        self, name: str, served: int, wait_s: float, count: int | None = None
    ) -> None:
        """Admit the first operations that wait and refuse the next ones."""
        queue = self.waiting[name]
        for _ in range(len(queue) if count is None else count):
            future = queue.popleft()
            if not future.done():
                outcome = None if served > 0 else self._refuse(name, wait_s)
                future.set_result(outcome)
                served -= 1
            elif served > 0:
                # The caller has left; its token goes back.
                served -= 1
                self.stock.refund(name, now())
        if not queue:
            del self.waiting[name]

    def _refuse(self, workspace: str, wait_s: float) -> Failure:
        COUNTERS.count("rate_limited", workspace)
        limit = self.host.access.callers.workspaces.get(workspace)
        rate = limit.rate_per_s if limit else 0.0
        reason = (
            f"rate limit of {rate:g}/s reached by workspace {workspace};"
            f" retry in {wait_s * 1000:.0f} ms"
        )
        log_decision("rate_limited", workspace=workspace, retry_after_s=wait_s)
        return Failure(ErrorKind.RATE_LIMIT, reason)
