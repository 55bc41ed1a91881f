"""Tokens of the rate limits that one host holds for a short time."""

import collections
import collections.abc

# Tokens that were not used within this time expire. Limits count operations
# in windows of seconds, which this shifts by a twentieth.
TOKEN_LIFETIME_S = 0.25
# A host with fewer operations of a workspace asks for each one.
MIN_AHEAD_RATE_PER_S = 8.0
# Time in which the measured rate follows a change.
RATE_WINDOW_S = 2.0
# Without any coordinator, a host goes on at its recent rate for this time.
ALONE_S = 3.0


class _Use:
    """Tokens of one workspace and its recent rate at this host."""

    __slots__ = (
        "alone_tokens",
        "alone_until",
        "rate_per_s",
        "seen_at",
        "stock",
    )

    def __init__(self, time: float):
        self.stock: collections.deque[float] = collections.deque()
        self.rate_per_s = 0.0
        self.seen_at = time
        self.alone_until = 0.0
        self.alone_tokens = 0.0

    def note(self, time: float) -> None:
        elapsed_s = max(0.0, time - self.seen_at)
        keep = max(0.0, 1.0 - elapsed_s / RATE_WINDOW_S)
        self.rate_per_s = self.rate_per_s * keep + 1.0 / RATE_WINDOW_S
        self.seen_at = max(time, self.seen_at)


class TokenStock:
    """Tokens of a host by workspace, each with the time of its expiry.

    Examples
    --------
    >>> stock = TokenStock()
    >>> stock.add("mill", 1, 10.0)
    >>> stock.spend("mill", 10.1), stock.spend("mill", 10.1)
    (True, False)
    """

    def __init__(self):
        self.uses: dict[str, _Use] = {}
        self.debts: collections.Counter[str] = collections.Counter()

    def _use(self, workspace: str, time: float) -> _Use:
        use = self.uses.get(workspace)
        if use is None:
            use = self.uses[workspace] = _Use(time)
        while use.stock and use.stock[0] <= time:
            use.stock.popleft()
        return use

    def add(self, workspace: str, count: int, time: float) -> None:
        """Add tokens that were taken from a coordinator at `time`."""
        use = self._use(workspace, time)
        use.stock.extend([time + TOKEN_LIFETIME_S] * count)

    def spend(self, workspace: str, time: float) -> bool:
        """Use a token for an operation; return False if there is none."""
        use = self._use(workspace, time)
        if not use.stock:
            return False
        use.stock.popleft()
        use.note(time)
        return True

    def refund(self, workspace: str, time: float) -> None:
        """Return the token of an operation that did not run."""
        self.add(workspace, 1, time)

    def record_grant(self, workspace: str, time: float) -> None:
        """Record an operation whose token was used as it arrived."""
        self._use(workspace, time).note(time)

    def ahead(self, workspace: str, time: float) -> int:
        """Return how many tokens to ask for in advance."""
        use = self._use(workspace, time)
        if use.rate_per_s < MIN_AHEAD_RATE_PER_S:
            return 0
        expected = int(use.rate_per_s * TOKEN_LIFETIME_S)
        return max(0, expected - len(use.stock))

    def spend_alone(
        self, workspace: str, last_contact_at: float, time: float
    ) -> bool:
        """Use a token although no coordinator answers.

        The host goes on at the rate at which it was allowed to run before,
        for a limited time.
        """
        use = self._use(workspace, time)
        if time - last_contact_at > ALONE_S:
            return False
        if last_contact_at > use.alone_until - ALONE_S:
            use.alone_until = last_contact_at + ALONE_S
            # A host that runs few operations of a workspace may run one.
            recent = time - use.seen_at < RATE_WINDOW_S + ALONE_S
            least = 1.0 if use.rate_per_s and recent else 0.0
            use.alone_tokens = max(least, use.rate_per_s * ALONE_S)
        if use.alone_tokens < 1.0:
            return False
        use.alone_tokens -= 1.0
        return True

    def owe(self, workspace: str, count: int) -> None:
        """Record attempts that have run without a token."""
        if count > 0:
            self.debts[workspace] += count

    def take_debts(self) -> dict[str, int]:
        """Return and clear what was recorded by `owe`."""
        debts, self.debts = dict(self.debts), collections.Counter()
        return debts

    def keep_only(self, workspaces: collections.abc.Collection[str]) -> None:
        """Forget other workspaces."""
        for name in [n for n in self.uses if n not in workspaces]:
            del self.uses[name]
