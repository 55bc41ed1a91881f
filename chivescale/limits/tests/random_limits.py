"""Random runs of the fair queue and the lease book."""

import random

from chivescale.limits import HOST_LEASE_SHARE, FairQueue, LeaseBook
from chivescale.messages import Lease

LEASE_S = 3.0
BUDGET = 20


def run_queue(seed: int, steps: int) -> dict[str, int]:
    """Offer ten times the load of others from one workspace.

    A modest workspace with one statement waiting must be served within one
    round of the workspaces, and a backlogged one within its share.
    """
    rng = random.Random(seed)
    queue = FairQueue(per_workspace=50, total=10000)
    modest = [f"m{number}" for number in range(rng.randint(1, 6))]
    served = dict.fromkeys(["greedy", *modest], 0)
    passed = dict.fromkeys(modest, 0)
    now = 0.0
    for _ in range(steps):
        now += 0.01
        for _ in range(10):
            queue.offer("greedy", "greedy", now + 1000.0, now)
        for name in modest:
            if rng.random() < 0.3 and name not in queue.lengths:
                assert queue.offer(name, name, now + 1000.0, now) is None
                passed[name] = 0
        name = queue.take(now)
        served[name] += 1
        for other in queue.lengths:
            if other != "greedy" and other != name:
                passed[other] += 1
                bound = 2 * (len(modest) + 1)
                assert passed[other] <= bound, f"{other} starves"
    return served


class _Host:
    def __init__(self):
        self.lease = 0
        self.until = 0.0

    def held(self, now):
        return self.lease if now < self.until else 0


def run_leases(seed: int, steps: int) -> int:
    """Lose heartbeats, crash hosts and change leaders; check the budget."""
    rng = random.Random(seed)
    hosts = {f"h{number}": _Host() for number in range(5)}
    book = LeaseBook(LEASE_S, started_at=-LEASE_S)
    now, most, fresh = 0.0, 0, 0
    for _ in range(steps):
        now += rng.choice((0.01, 0.1, 0.5))
        if rng.random() < 0.01:
            book = LeaseBook(LEASE_S, started_at=now)
            # Floors of hosts without a lease may come on top.
            fresh = sum(1 for each in hosts.values() if not each.held(now))
        name, host = rng.choice(list(hosts.items()))
        if rng.random() < 0.02:
            hosts[name] = _Host()
            fresh += int(now < book.started_at + LEASE_S)
        wanted = rng.choice((0, 1, 5, 30))
        sent_at = now
        now += rng.choice((0.0, 0.05))
        (lease,) = book.heartbeat(
            name,
            (Lease("e", host.held(sent_at)),),
            (Lease("e", wanted),),
            {"e": BUDGET},
            now,
        )
        if rng.random() < 0.8:
            host.lease = lease.connections
            host.until = sent_at + LEASE_S * HOST_LEASE_SHARE
        if now >= book.started_at + 2 * LEASE_S:
            fresh = 0
        total = sum(each.held(now) for each in hosts.values())
        assert total <= BUDGET + fresh, f"{total} of {BUDGET} + {fresh}"
        assert book.granted("e", now) <= BUDGET
        most = max(most, total)
    return most


def run_random(seed: int, steps: int) -> None:
    """Run both."""
    run_queue(seed, steps)
    run_leases(seed, steps)
