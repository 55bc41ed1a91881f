"""Randomized tests of the fair queue and of connection leases."""

import random

from chivescale.limits import HOST_LEASE_FRACTION, FairQueue, LeaseManager
from chivescale.messages import Lease

LEASE_S = 3.0
BUDGET = 20


def run_queue(seed: int, steps: int) -> dict[str, int]:
    """Check that one workspace with ten times the load starves no other.

    A workspace that has one statement queued must be served within two
    rounds over all workspaces.
    """
    rng = random.Random(seed)
    queue = FairQueue(per_workspace=50, total=10000)
    light_workspaces = [f"m{number}" for number in range(rng.randint(1, 6))]
    served = dict.fromkeys(["greedy", *light_workspaces], 0)
    overtaken = dict.fromkeys(light_workspaces, 0)
    now = 0.0
    for _ in range(steps):
        now += 0.01
        for _ in range(10):
            queue.offer("greedy", "greedy", now + 1000.0, now)
        for name in light_workspaces:
            if rng.random() < 0.3 and name not in queue.lengths:
                assert queue.offer(name, name, now + 1000.0, now) is None
                overtaken[name] = 0
        name = queue.take(now)
        served[name] += 1
        for other in queue.lengths:
            if other != "greedy" and other != name:
                overtaken[other] += 1
                bound = 2 * (len(light_workspaces) + 1)
                assert overtaken[other] <= bound, f"{other} starves"
    return served


class _Host:
    def __init__(self):
        self.lease = 0
        self.until = 0.0

    def held(self, now):
        return self.lease if now < self.until else 0


def run_leases(seed: int, steps: int) -> int:
    """Check the budget while replies get lost, hosts crash, leaders change."""
    rng = random.Random(seed)
    hosts = {f"h{number}": _Host() for number in range(5)}
    leases = LeaseManager(LEASE_S, started_at=-LEASE_S)
    now, max_total, excess = 0.0, 0, 0
    for _ in range(steps):
        now += rng.choice((0.01, 0.1, 0.5))
        if rng.random() < 0.01:
            leases = LeaseManager(LEASE_S, started_at=now)
            # Hosts without a lease may get their minimum beyond the budget.
            excess = sum(1 for each in hosts.values() if not each.held(now))
        name, host = rng.choice(list(hosts.items()))
        if rng.random() < 0.02:
            hosts[name] = _Host()
            excess += int(now < leases.started_at + LEASE_S)
        wanted = rng.choice((0, 1, 5, 30))
        sent_at = now
        now += rng.choice((0.0, 0.05))
        (lease,) = leases.heartbeat(
            name,
            (Lease("e", host.held(sent_at)),),
            (Lease("e", wanted),),
            {"e": BUDGET},
            now,
        )
        if rng.random() < 0.8:
            host.lease = lease.connections
            host.until = sent_at + LEASE_S * HOST_LEASE_FRACTION
        if now >= leases.started_at + 2 * LEASE_S:
            excess = 0
        total = sum(each.held(now) for each in hosts.values())
        assert total <= BUDGET + excess, f"{total} of {BUDGET} + {excess}"
        assert leases.granted("e", now) <= BUDGET
        max_total = max(max_total, total)
    return max_total


def run_random(seed: int, steps: int) -> None:
    """Run both tests with one seed."""
    run_queue(seed, steps)
    run_leases(seed, steps)
