"""Scarce connections: leases by demand against an equal split.

A simulation in virtual time drives `chivescale.limits.LeaseManager` with the
demand of 17 entry hosts for the 35 connections of one endpoint. Which hosts
are busy changes every few seconds, since a load balancer spreads callers
unevenly. One host crashes halfway.
"""

import collections
import heapq
import itertools
import pathlib
import random

from benchmarks import plots
from benchmarks.records import Recorder
from benchmarks.stats import percentile
from chivescale.limits import LeaseManager
from chivescale.messages import Lease

HOSTS = 17
CONNECTIONS = 35
ENDPOINT = "ledger-north-1"
LEASE_S = 3.0
HEARTBEAT_S = 1.0
CONNECT_S = 0.010
# Mean time for which a request keeps its connection: two statements and the
# delays between the zones.
HOLD_S = 0.02
# Offered load as a share of all connections.
LOADS = (0.15, 0.3, 0.45)
# A request that waited for longer is refused.
DEADLINE_S = 5.0
HOT_HOSTS = 3
HOT_SHARE = 0.6
SHIFT_S = 15.0
FULL_S, QUICK_S = 600.0, 60.0
FULL_REQUESTS, QUICK_REQUESTS = 100_000, 1000


def run(recorder: Recorder, out: pathlib.Path) -> None:
    """Simulate every load with both divisions."""
    seconds = QUICK_S if recorder.quick else FULL_S
    need = QUICK_REQUESTS if recorder.quick else FULL_REQUESTS
    series = {}
    for load in LOADS:
        for division in ("leases", "equal"):
            simulation = Simulation(division, load, seconds, recorder.seed)
            simulation.run()
            waits_ms = [wait * 1000 for wait in simulation.waits]
            name = f"{division}.{load:.0%}".replace("%", "_percent")
            figures = {
                "wait_p50_ms": percentile(waits_ms, 50),
                "wait_p99_ms": percentile(waits_ms, 99),
                "success": simulation.success,
                "use": simulation.use,
            }
            if division == "leases":
                figures["highest_granted"] = simulation.highest_granted
                figures["crash_reclaim_s"] = simulation.reclaim_s
            for key, value in figures.items():
                recorder.figure(f"{name}.{key}", value, len(waits_ms), need)
            recorder.row(division=division, load=load, **figures)
            series[f"{division}, load {load:.0%}"] = waits_ms[::10]
    plots.plot_distributions(
        out / "connections.png", series, "wait for a connection in ms"
    )


class _Host:
    """Pool of one entry host."""

    def __init__(self):
        self.limit = 1
        self.busy = 0
        self.idle = 0
        self.queue: collections.deque[float] = collections.deque()
        self.leased_until = 0.0
        self.crashed = False


class Simulation:
    """Requests of all hosts for the connections of one endpoint.

    Parameters
    ----------
    division : {"leases", "equal"}
        Leases by demand, or a fixed equal part for each host.
    load : float
        Offered load as a share of all connections.
    seconds : float
        Length in virtual time.
    seed : int
        Seed of arrivals and of the busy hosts.
    """

    def __init__(self, division: str, load: float, seconds: float, seed: int):
        self.by_demand = division == "leases"
        self.rate = load * CONNECTIONS / HOLD_S
        self.seconds = seconds
        # The same seed for both divisions: they meet the same requests.
        self.rng = random.Random(f"{seed}/{load}")
        self.holds = random.Random(f"{seed}/{load}/holds")
        self.book = LeaseManager(LEASE_S)
        self.hosts = {f"entry-{n + 1}": _Host() for n in range(HOSTS)}
        self.shares: dict[str, float] = {}
        self.events: list = []
        self.order = itertools.count()
        self.waits: list[float] = []
        self.late = 0
        self.busy_s = 0.0
        self.highest_granted = 0
        self.crashed_at = 0.0
        self.crashed_share = 0
        self.reclaim_s = float("nan")

    @property
    def use(self) -> float:
        """Share of the connections' time in which they were used."""
        return self.busy_s / (self.seconds * CONNECTIONS)

    @property
    def success(self) -> float:
        """Share of the requests that got a connection in time."""
        return len(self.waits) / (len(self.waits) + self.late)

    def run(self) -> None:
        """Run to the end."""
        self._shift(0.0)
        for number, name in enumerate(self.hosts):
            if self.by_demand:
                # Heartbeats of the hosts are spread over the interval.
                at = HEARTBEAT_S * number / HOSTS
                self._at(at, self._heartbeat, name)
            else:
                self.hosts[name].limit = CONNECTIONS // HOSTS
        self._at(self.rng.expovariate(self.rate), self._arrive)
        self._at(self.seconds / 2, self._crash)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.seconds:
                break
            action(now, *arguments)

    def _at(self, at: float, action, *arguments) -> None:
        entry = (at, next(self.order), action, arguments)
        heapq.heappush(self.events, entry)

    def _shift(self, now: float) -> None:
        """Choose the hosts that are busy next."""
        hot = set(self.rng.sample(sorted(self.hosts), HOT_HOSTS))
        cold = (1 - HOT_SHARE) / (HOSTS - HOT_HOSTS)
        self.shares = {
            name: HOT_SHARE / HOT_HOSTS if name in hot else cold
            for name in self.hosts
        }
        self._at(now + SHIFT_S, self._shift)

    def _arrive(self, now: float) -> None:
        names, weights = list(self.shares), list(self.shares.values())
        name = self.rng.choices(names, weights)[0]
        host = self.hosts[name]
        self._at(now + self.rng.expovariate(self.rate), self._arrive)
        if host.crashed:
            return
        host.queue.append(now)
        self._serve(now, name)

    def _serve(self, now: float, name: str) -> None:
        host = self.hosts[name]
        while host.queue and host.busy < host.limit:
            if now - host.queue[0] > DEADLINE_S:
                host.queue.popleft()
                self.late += 1
                continue
            fresh = host.idle == 0
            host.idle -= 0 if fresh else 1
            host.busy += 1
            begin = now + (CONNECT_S if fresh else 0.0)
            self.waits.append(begin - host.queue.popleft())
            hold_s = self.holds.expovariate(1 / HOLD_S)
            self.busy_s += min(hold_s, max(0.0, self.seconds - begin))
            self._at(begin + hold_s, self._release, name)

    def _release(self, now: float, name: str) -> None:
        host = self.hosts[name]
        if host.crashed:
            return
        host.busy -= 1
        if host.busy + host.idle < host.limit:
            host.idle += 1
        self._serve(now, name)

    def _heartbeat(self, now: float, name: str) -> None:
        host = self.hosts[name]
        if host.crashed:
            return
        wanted = host.busy + len(host.queue)
        (lease,) = self.book.heartbeat(
            name,
            (Lease(ENDPOINT, host.busy + host.idle),),
            (Lease(ENDPOINT, wanted),),
            {ENDPOINT: CONNECTIONS},
            now,
        )
        host.limit = max(1, lease.connections)
        host.idle = max(0, min(host.idle, host.limit - host.busy))
        granted = self.book.granted(ENDPOINT, now)
        self.highest_granted = max(self.highest_granted, granted)
        self._note_reclaim(now, granted)
        self._at(now + HEARTBEAT_S, self._heartbeat, name)
        self._serve(now, name)

    def _crash(self, now: float) -> None:
        """Crash the host that holds most."""
        name = max(self.hosts, key=lambda n: self.hosts[n].limit)
        host = self.hosts[name]
        host.crashed = True
        host.queue.clear()
        self.crashed_at, self.crashed_share = now, host.limit
        self.crashed = name

    def _note_reclaim(self, now: float, granted: int) -> None:
        """Note when the crashed host's grants are free for others."""
        if not self.crashed_at or self.reclaim_s == self.reclaim_s:
            return
        if self.crashed not in self.book.shares.get(ENDPOINT, {}):
            self.reclaim_s = now - self.crashed_at
