"""Division of an endpoint's connections among entry hosts."""

import msgspec

from chivescale.messages import Lease

FLOOR_CONNECTIONS = 1
# A host treats a lease as expired after this share of the lease time, counted
# from the moment it sent the heartbeat: clock rates differ by up to 1%.
HOST_LEASE_SHARE = 0.98


class _Share(msgspec.Struct):
    """Leases of one host on one endpoint.

    A reduced lease may not have reached the host, so every grant counts
    until it expires.
    """

    grants: list[tuple[float, int]] = []
    wanted: int = 0

    def reserved(self) -> int:
        return max((count for _, count in self.grants), default=0)

    def expire(self, now: float) -> None:
        self.grants = [grant for grant in self.grants if grant[0] > now]


class LeaseBook:
    """Connection leases that the control leader grants with heartbeats.

    Invariant: the unexpired grants on an endpoint never exceed its budget.

    Parameters
    ----------
    lease_s : float
        Lease time in seconds. A host counts `HOST_LEASE_SHARE` of it from
        the moment it sent the heartbeat, so its view of a lease ends before
        the leader's.
    floor : int
        Connections that every host gets first.
    started_at : float, optional
        When this host became control leader, in monotonic seconds. Leases
        of the former leader may be in force for one lease time after it.
        Until then a host without a lease gets the floor, which may exceed
        the budget by that much; the endpoint's own connection limit is the
        safeguard.
    """

    def __init__(
        self,
        lease_s: float,
        *,
        floor: int = FLOOR_CONNECTIONS,
        started_at: float | None = None,
    ):
        self.lease_s = lease_s
        self.floor = floor
        self.started_at = started_at
        self.shares: dict[str, dict[str, _Share]] = {}

    def heartbeat(
        self,
        host: str,
        held: tuple[Lease, ...],
        wanted: tuple[Lease, ...],
        budgets: dict[str, int],
        now: float,
    ) -> tuple[Lease, ...]:
        """Grant leases to a host.

        Parameters
        ----------
        host : str
            Who asks.
        held : tuple of Lease
            Unexpired leases that the host holds.
        wanted : tuple of Lease
            Connections that it could use.
        budgets : dict
            Connections that each endpoint accepts.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of Lease
            One for every endpoint of `budgets`, in force for `lease_s`
            from the moment the host sent its heartbeat.
        """
        if self.started_at is None:
            self.started_at = now
        held_by = {lease.endpoint: lease.connections for lease in held}
        wanted_by = {lease.endpoint: lease.connections for lease in wanted}
        for name in list(self.shares):
            if name not in budgets:
                self._expire(name, now)
        return tuple(
            Lease(
                name,
                self._grant(
                    host,
                    name,
                    held_by.get(name, 0),
                    wanted_by.get(name, 0),
                    budget,
                    now,
                ),
            )
            for name, budget in sorted(budgets.items())
        )

    def granted(self, endpoint: str, now: float) -> int:
        """Return the connections in unexpired grants on an endpoint."""
        self._expire(endpoint, now)
        shares = self.shares.get(endpoint, {})
        return sum(share.reserved() for share in shares.values())

    def _expire(self, endpoint: str, now: float) -> None:
        shares = self.shares.get(endpoint, {})
        for host, share in list(shares.items()):
            share.expire(now)
            if not share.grants:
                del shares[host]
        if not shares:
            self.shares.pop(endpoint, None)

    def _grant(self, host, endpoint, held, wanted, budget, now) -> int:
        before = self.granted(endpoint, now)
        shares = self.shares.setdefault(endpoint, {})
        share = shares.setdefault(host, _Share([], 0))
        share.wanted = max(0, wanted)
        others = before - share.reserved()
        if now < self.started_at + self.lease_s:
            target = max(self.floor, held)
        else:
            demands = {name: each.wanted for name, each in shares.items()}
            target = max_min_shares(budget, self.floor, demands)[host]
        count = max(0, min(target, budget - others))
        share.grants.append((now + self.lease_s, count))
        after = others + share.reserved()
        assert after <= max(budget, before), (endpoint, after, budget)
        return count


def max_min_shares(
    budget: int, floor: int, demands: dict[str, int]
) -> dict[str, int]:
    """Divide `budget` among hosts, max-min fair by demand.

    Each host gets the floor; the rest goes one by one to the hosts with the
    fewest that still want more. Half of what nobody wants is spread as well,
    so that a host whose demand rises need not wait for a heartbeat.

    Examples
    --------
    >>> max_min_shares(10, 1, {"a": 1, "b": 20, "c": 20})
    {'a': 1, 'b': 5, 'c': 4}
    >>> max_min_shares(2, 1, {"a": 5, "b": 5, "c": 5})
    {'a': 1, 'b': 1, 'c': 0}
    """
    names = sorted(demands)
    shares = dict.fromkeys(names, 0)
    left = _fill(shares, dict.fromkeys(names, floor), budget)
    left = _fill(shares, demands, left)
    spare = left // 2
    _fill(shares, {name: shares[name] + spare for name in names}, spare)
    return shares


def _fill(shares: dict[str, int], wanted: dict[str, int], left: int) -> int:
    """Raise the lowest shares below `wanted` first; return what is left."""
    while left > 0:
        open_ = [name for name in shares if shares[name] < wanted[name]]
        if not open_:
            break
        lowest = min(shares[name] for name in open_)
        level = [name for name in open_ if shares[name] == lowest]
        for name in level[:left]:
            shares[name] += 1
        left -= min(left, len(level))
    return left
