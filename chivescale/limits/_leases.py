"""Leases that divide the connections of an endpoint among entry hosts."""

import msgspec

from chivescale.messages import Lease

MIN_CONNECTIONS = 1
# Fraction of the lease time after which a host treats a lease as expired,
# counted from the moment it sent the heartbeat. The margin covers clock rates
# that differ by up to 1%.
HOST_LEASE_FRACTION = 0.98


class _HostLease(msgspec.Struct):
    """Grants to one host on one endpoint.

    The reply with a smaller grant may be lost, so each grant counts until it
    expires.
    """

    grants: list[tuple[float, int]] = []
    wanted: int = 0

    def reserved(self) -> int:
        return max((count for _, count in self.grants), default=0)

    def expire(self, now: float) -> None:
        self.grants = [grant for grant in self.grants if grant[0] > now]


class LeaseManager:
    """Connection leases that the control leader grants in heartbeat replies.

    Invariant: the sum of the unexpired grants on an endpoint does not exceed
    its budget.

    Parameters
    ----------
    lease_s : float
        Lease time in seconds. A host uses a lease for `HOST_LEASE_FRACTION` of
        this time after it sent the heartbeat, so the lease expires on the
        host before it expires on the leader.
    minimum : int
        Connections that each host gets before the rest is divided.
    started_at : float, optional
        When this host became control leader, in monotonic seconds; by
        default the time of the first heartbeat. Leases of the previous
        leader can be in force for one lease time after it. Until then a
        host without a lease gets `minimum` connections, which can exceed
        the budget; the endpoint's own connection limit is the safeguard.
    """

    def __init__(
        self,
        lease_s: float,
        *,
        minimum: int = MIN_CONNECTIONS,
        started_at: float | None = None,
    ):
        self.lease_s = lease_s
        self.minimum = minimum
        self.started_at = started_at
        self.shares: dict[str, dict[str, _HostLease]] = {}

    def heartbeat(
        self,
        host: str,
        held: tuple[Lease, ...],
        wanted: tuple[Lease, ...],
        budgets: dict[str, int],
        now: float,
    ) -> tuple[Lease, ...]:
        """Process a heartbeat of a host and return its leases.

        Parameters
        ----------
        host : str
            Name of the host.
        held : tuple of Lease
            Unexpired leases of the host.
        wanted : tuple of Lease
            Connections that the host could use.
        budgets : dict of str to int
            Number of connections to divide per endpoint.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of Lease
            One lease for each endpoint of `budgets`, in force for `lease_s`
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
        """Return the sum of the unexpired grants on an endpoint."""
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
        share = shares.setdefault(host, _HostLease([], 0))
        share.wanted = max(0, wanted)
        others = before - share.reserved()
        if now < self.started_at + self.lease_s:
            target = max(self.minimum, held)
        else:
            demands = {name: each.wanted for name, each in shares.items()}
            target = max_min_shares(budget, self.minimum, demands)[host]
        count = max(0, min(target, budget - others))
        share.grants.append((now + self.lease_s, count))
        total = others + share.reserved()
        assert total <= max(budget, before), (endpoint, total, budget)
        return count


def max_min_shares(
    budget: int, minimum: int, demands: dict[str, int]
) -> dict[str, int]:
    """Divide `budget` among hosts, max-min fair by demand.

    Each host first gets `minimum`. The rest is given out one by one
    to the hosts with the fewest connections whose demand is not met. Half of
    the surplus is divided as well, so that a host whose demand rises does not
    have to wait for its next heartbeat.

    Examples
    --------
    >>> max_min_shares(10, 1, {"a": 1, "b": 20, "c": 20})
    {'a': 1, 'b': 5, 'c': 4}
    >>> max_min_shares(2, 1, {"a": 5, "b": 5, "c": 5})
    {'a': 1, 'b': 1, 'c': 0}
    """
    names = sorted(demands)
    shares = dict.fromkeys(names, 0)
    remaining = _fill(shares, dict.fromkeys(names, minimum), budget)
    remaining = _fill(shares, demands, remaining)
    surplus = remaining // 2
    _fill(shares, {name: shares[name] + surplus for name in names}, surplus)
    return shares


def _fill(
    shares: dict[str, int], wanted: dict[str, int], remaining: int
) -> int:
    """Raise shares up to `wanted`, lowest first; return the remainder."""
    while remaining > 0:
        unsatisfied = [name for name in shares if shares[name] < wanted[name]]
        if not unsatisfied:
            break
        lowest = min(shares[name] for name in unsatisfied)
        lowest_hosts = [name for name in unsatisfied if shares[name] == lowest]
        for name in lowest_hosts[:remaining]:
            shares[name] += 1
        remaining -= min(remaining, len(lowest_hosts))
    return remaining
