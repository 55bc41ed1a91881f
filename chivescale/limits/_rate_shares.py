"""One coordinator's share of the rate limits of all workspaces."""

import collections.abc

import msgspec

# A share grows this long after the group has become smaller. The member that
# left may be cut off and still use its share until `LONGEST_ISOLATION_S`.
GROWTH_DELAY_S = 60.0
# A member without contact to a quorum for this long adds no tokens: it may
# have been removed from the group.
LONGEST_ISOLATION_S = 50.0
# Tokens kept for the own hosts when others borrow, in seconds of demand.
LENDING_RESERVE_S = 0.3
# Time in which the measured demand follows a change.
DEMAND_WINDOW_S = 1.0
# Longest time that a refused caller is asked to wait. The bucket may be
# filled sooner by a loan.
MAX_RETRY_AFTER_S = 0.5


class RateLimit(msgspec.Struct, frozen=True):
    """Limit of a workspace on all hosts together.

    Attributes
    ----------
    rate_per_s : float
        Operations per second.
    burst : float
        Operations above the rate that may run at once.
    """

    rate_per_s: float
    burst: float


class ShareSize:
    """Number of shares into which limits are divided.

    It follows the number of members: at once if it becomes larger, late if it
    becomes smaller, so that the shares in use never add up to more than the
    limit by more than what members behind a cut have not heard.

    Attributes
    ----------
    shares : int
        Number of shares; 0 while it is unknown.
    """

    __slots__ = ("shares", "smaller_since")

    def __init__(self):
        self.shares = 0
        self.smaller_since: float | None = None

    def update(self, members: int, time: float) -> None:
        """Apply the present number of members."""
        if members >= self.shares:
            self.shares = members
            self.smaller_since = None
        elif self.smaller_since is None:
            self.smaller_since = time
        elif time - self.smaller_since >= GROWTH_DELAY_S:
            self.shares = members
            self.smaller_since = None


class _Share:
    """Token bucket of one workspace at one coordinator."""

    __slots__ = (
        "burst",
        "demand_per_s",
        "next_return_at",
        "rate_per_s",
        "seen_at",
        "tokens",
        "updated_at",
    )

    def __init__(self, time: float):
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.updated_at = time
        self.demand_per_s = 0.0
        self.seen_at = time
        self.next_return_at = time

    def refill(self, time: float, adds: bool) -> None:
        elapsed_s = max(0.0, time - self.updated_at)
        self.updated_at = max(time, self.updated_at)
        if adds:
            self.tokens += elapsed_s * self.rate_per_s
        self.tokens = min(self.burst, self.tokens)

    def note_demand(self, count: float, time: float) -> None:
        elapsed_s = max(0.0, time - self.seen_at)
        keep = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        self.demand_per_s = self.demand_per_s * keep + count / DEMAND_WINDOW_S
        self.seen_at = max(time, self.seen_at)


class RateShares:
    """Shares of one coordinator in the limits of all workspaces.

    Each member of the group adds its share of the rate to its own buckets.
    Tokens are only moved, never created, between members and hosts.

    Parameters
    ----------
    spare_tokens : float
        Operations beyond rate and burst that are tolerated in any window, on
        all hosts together. Shares of small limits, which are below one token,
        are raised by it.

    Examples
    --------
    >>> shares = RateShares()
    >>> shares.configure({"mill": RateLimit(8.0, 8.0)}, 2, True, 0.0)
    >>> shares.take("mill", 3, 0.5), shares.take("mill", 3, 0.6)
    (2, 0)
    """

    def __init__(self, spare_tokens: float = 0.0):
        self.spare_tokens = spare_tokens
        self.limits: collections.abc.Mapping[str, RateLimit] = {}
        self.shares: dict[str, _Share] = {}
        self.known_since: dict[str, float] = {}
        self.members = 0
        self.adds = False
        self.adds_since = 0.0

    def configure(
        self,
        limits: collections.abc.Mapping[str, RateLimit],
        members: int,
        adds: bool,
        time: float,
    ) -> None:
        """Apply the limits in force and the size of the group.

        Parameters
        ----------
        limits : mapping of str to RateLimit
            Limits by workspace; others are not limited.
        members : int
            Number of shares, see `ShareSize`.
        adds : bool
            Whether this member may add tokens.
        time : float
            Monotonic seconds.
        """
        for name, share in list(self.shares.items()):
            share.refill(time, self.adds)
            if name not in limits:
                del self.shares[name]
        if adds and not self.adds:
            self.adds_since = time
        self.known_since = {
            name: self.known_since.get(name, time) for name in limits
        }
        self.limits, self.members, self.adds = limits, members, adds
        for name, share in self.shares.items():
            self._resize(share, limits[name])
            share.refill(time, False)

    def _resize(self, share: _Share, limit: RateLimit) -> None:
        if not self.members:
            share.rate_per_s = share.burst = 0.0
            return
        share.rate_per_s = limit.rate_per_s / self.members
        share.burst = (limit.burst + self.spare_tokens) / self.members

    def _share(self, workspace: str, time: float) -> _Share | None:
        limit = self.limits.get(workspace)
        if limit is None:
            return None
        share = self.shares.get(workspace)
        if share is None:
            share = self.shares[workspace] = _Share(time)
            self._resize(share, limit)
            share.tokens = self._first_tokens(workspace, share, time)
        share.refill(time, self.adds)
        return share

    def _first_tokens(
        self, workspace: str, share: _Share, time: float
    ) -> float:
        """Return the tokens of a workspace that is used for the first time.

        A bucket is empty when its limit becomes known, since this process may
        have spent all of it before a restart.
        """
        if not self.adds or not self.members:
            return 0.0
        since = max(self.known_since[workspace], self.adds_since)
        return share.rate_per_s * max(0.0, time - since)

    def take(self, workspace: str, wanted: int, time: float) -> int:
        """Take whole tokens for operations that wait at a host.

        Returns
        -------
        int
            Number of tokens taken, at most `wanted`.
        """
        share = self._share(workspace, time)
        if share is None:
            return wanted
        share.note_demand(wanted, time)
        count = max(0, min(wanted, int(share.tokens + 1e-9)))
        share.tokens -= count
        return count

    def take_ahead(self, workspace: str, wanted: int, time: float) -> int:
        """Take tokens for operations that a host expects soon.

        Only what exceeds the reserve for present demand is given.
        """
        share = self._share(workspace, time)
        if share is None:
            return wanted
        reserve = share.demand_per_s * LENDING_RESERVE_S
        count = max(0, min(wanted, int(share.tokens - reserve)))
        share.tokens -= count
        return count

    def deduct(self, workspace: str, count: int, time: float) -> None:
        """Deduct operations that have run without a token.

        The bucket may become negative, down to one burst.
        """
        share = self._share(workspace, time)
        if share is not None:
            floor = -max(1.0, share.burst)
            share.tokens = max(floor, share.tokens - count)

    def lend(self, workspace: str, wanted: float, time: float) -> float:
        """Remove tokens for another member and return their number."""
        share = self._share(workspace, time)
        if share is None:
            return 0.0
        reserve = share.demand_per_s * LENDING_RESERVE_S
        count = max(0.0, min(wanted, share.tokens - reserve))
        share.tokens -= count
        return count

    def receive(self, workspace: str, count: float, time: float) -> None:
        """Add borrowed tokens; those above the burst are lost."""
        share = self._share(workspace, time)
        if share is not None:
            share.tokens = min(
                max(share.burst, 1.0), share.tokens + max(0.0, count)
            )

    def missing(self, workspace: str, wanted: int, time: float) -> float:
        """Return how many tokens to borrow for operations that wait."""
        share = self._share(workspace, time)
        if share is None:
            return 0.0
        ahead = share.demand_per_s * LENDING_RESERVE_S
        room = max(share.burst, 1.0) - share.tokens
        return max(0.0, min(wanted + ahead - share.tokens, room))

    def retry_after_s(self, workspace: str, time: float) -> float:
        """Return when a refused caller can have a token, in seconds.

        Callers that are refused one after the other get consecutive times.
        """
        share = self._share(workspace, time)
        if share is None:
            return 0.0
        rate = self.limits[workspace].rate_per_s
        missing = max(0.0, 1.0 - share.tokens)
        first = time + missing / rate
        at = max(first, share.next_return_at + 1.0 / rate)
        if at - time > MAX_RETRY_AFTER_S:
            at = first
        share.next_return_at = at
        return min(MAX_RETRY_AFTER_S, at - time)
