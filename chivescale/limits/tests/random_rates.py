"""Random histories of coordinators that share the limit of a workspace."""

import collections
import random

from chivescale.limits import RateLimit, RateShares, TokenStock

WORKSPACE = "mill"
WINDOW_S = 5.0
# Tokens at hosts may be used this long after they were taken.
TOKEN_LIFETIME_S = 0.25
OVERSHOOT = 0.1
SLACK = 20.0


class Group:
    """Coordinators with shares of one limit, and what they admitted."""

    def __init__(self, members: int, limit: RateLimit):
        self.limit = limit
        self.members = [self.start(members, 0.0) for _ in range(members)]
        self.admitted: collections.deque[float] = collections.deque()

    def start(self, count: int, time: float) -> RateShares:
        """Return a coordinator that has just been started."""
        shares = RateShares(SLACK / 2)
        shares.configure({WORKSPACE: self.limit}, count, True, time)
        return shares

    def configure(self, limit: RateLimit, time: float) -> None:
        """Put another limit in force."""
        self.limit = limit
        for shares in self.members:
            shares.configure({WORKSPACE: limit}, len(self.members), True, time)

    def borrow(self, number: int, wanted: int, time: float, lost=None) -> None:
        """Let a member borrow from the others; some answers are lost."""
        own = self.members[number]
        others = [m for m in self.members if m is not own]
        missing = own.missing(WORKSPACE, wanted, time)
        for other in others:
            count = other.lend(WORKSPACE, missing / len(others), time)
            if lost is None or not lost():
                own.receive(WORKSPACE, count, time)

    def request(self, number: int, wanted: int, time: float) -> int:
        """Let a host ask for tokens; borrow if they do not suffice."""
        shares = self.members[number]
        count = shares.take(WORKSPACE, wanted, time)
        if count < wanted:
            self.borrow(number, wanted - count, time)
            count += shares.take(WORKSPACE, wanted - count, time)
        return count

    def check(self, time: float, count: int) -> None:
        """Record operations and check the limit over the last window."""
        self.admitted.extend([time] * count)
        while self.admitted and self.admitted[0] <= time - WINDOW_S:
            self.admitted.popleft()
        limit = self.limit.rate_per_s * WINDOW_S + self.limit.burst
        bound = limit * (1 + OVERSHOOT) + SLACK
        assert len(self.admitted) <= bound, (len(self.admitted), bound)


def run_history(seed: int, members: int) -> int:
    """Check the limit over one random history; return what was admitted."""
    rng = random.Random(seed)
    rate = rng.choice((1.0, 7.5, 40.0, 186.0))
    group = Group(members, RateLimit(rate, rate))
    stocks = [TokenStock() for _ in range(8)]
    time, total = 0.0, 0
    for _ in range(1500):
        time += rng.choice((0.0, 0.001, 0.01, 0.05, 0.3))
        number = rng.randrange(members)
        kind = rng.random()
        if kind < 0.01:
            # Its disk and its memory are lost.
            group.members[number] = group.start(members, time)
        elif kind < 0.03:
            stocks[rng.randrange(len(stocks))] = TokenStock()
        elif kind < 0.1:
            lost = rng.random() < 0.5
            group.borrow(number, rng.randint(1, 50), time, lambda x=lost: x)
        else:
            stock = rng.choice(stocks)
            # A clock that was read before another one.
            read_at = time - rng.choice((0.0, 0.002))
            wanted = rng.choice((1, 1, 3, 40))
            if kind < 0.3:
                ahead = group.members[number].take_ahead(
                    WORKSPACE, stock.ahead(WORKSPACE, time), read_at
                )
                stock.add(WORKSPACE, ahead, time)
            count = 0
            while count < wanted and stock.spend(WORKSPACE, time):
                count += 1
            count += group.request(number, wanted - count, read_at)
            total += count
            group.check(time, count)
    return total


def run_steady(
    members: int, limit: RateLimit, per_s: float, hosts: str, seconds: float
) -> tuple[int, int]:
    """Return the operations that arrived and that were admitted.

    Parameters
    ----------
    hosts : str
        Number of coordinators that are asked; ``turns`` for another one each
        second.
    """
    rng = random.Random(1)
    group = Group(members, limit)
    time = start = limit.burst / limit.rate_per_s + 12.0
    asked = admitted = 0
    while time < start + seconds:
        time += rng.uniform(0.5, 1.5) / per_s
        number = int(time) % members
        if hosts != "turns":
            number = rng.randrange(int(hosts))
        asked += 1
        admitted += group.request(number, 1, time)
    return asked, admitted
