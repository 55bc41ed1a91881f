"""Steps for zone_share.feature."""

import random

from behave import given, then, when

from chivescale.routing import ZoneShare

STEP_S = 0.02
HISTORY_S = 10.0
WAY_S = 0.003


@given("answers take {home:d} ms at home and {away:d} ms in other zones")
def answers_take(context, home, away):
    context.share, context.time = ZoneShare(), 0.0
    context.home_s, context.away_s = home / 1000, away / 1000


def pass_time(context, seconds, with_away=True) -> None:
    end = context.time + seconds
    while context.time < end:
        context.time += STEP_S
        context.share.record(False, context.home_s, context.time)
        if with_away:
            context.share.record(True, context.away_s, context.time)
        context.share.update(context.time)


@when("{seconds:d} s pass")
def seconds_pass(context, seconds):
    if hasattr(context, "zones"):
        for _ in range(round(seconds / STEP_S)):
            context.zones.step()
    else:
        pass_time(context, seconds)


@when("nothing is heard from other zones for {seconds:d} s")
def nothing_heard(context, seconds):
    pass_time(context, seconds, with_away=False)


@then("the share that leaves becomes {share}")
def share_leaves(context, share):
    expected = {"none": 0.0, "all": 1.0}[share]
    assert context.share.share == expected, context.share.share


@then("the share that leaves is below a tenth")
def less_than_tenth(context):
    assert context.share.share < 0.1, context.share.share


@then("at most {percent:d} percent leave")
def at_most(context, percent):
    assert context.share.share * 100 <= percent + 1e-6, context.share.share


class Zones:
    """Zones whose endpoints are queues with slots, in small time steps."""

    def __init__(self, count: int, slots: int, work_s: float):
        self.rng = random.Random(7)
        self.capacity = slots / work_s
        self.work_s = work_s
        self.shares = [ZoneShare() for _ in range(count)]
        self.queued = [0.0] * count
        self.loads = [0.0] * count
        self.time = 0.0
        self.times: list[tuple[float, float]] = []
        self.history: list[list[float]] = []
        self.left = [0.0] * count

    def answer_s(self, zone: int) -> float:
        return self.work_s + self.queued[zone] / self.capacity

    def step(self) -> None:
        """Let reads arrive and be served for one step."""
        self.time += STEP_S
        arrivals = [0.0] * len(self.shares)
        for zone, share in enumerate(self.shares):
            for _ in range(
                round(self.loads[zone] * STEP_S + self.rng.random() - 0.5)
            ):
                # Another zone has to be faster; the choice is noisy.
                target = zone
                if share.leaves(self.rng.random(), self.time):
                    target = min(
                        range(len(self.shares)),
                        key=lambda z: (
                            self.answer_s(z) * self.rng.uniform(0.95, 1.05)
                            + (WAY_S if z != zone else 0.0)
                        ),
                    )
                seconds = self.answer_s(target)
                seconds += WAY_S if target != zone else 0.0
                arrivals[target] += 1
                share.record(target != zone, seconds, self.time)
                self.times.append((self.time, seconds))
        for zone, count in enumerate(arrivals):
            served = self.capacity * STEP_S
            self.queued[zone] = max(0.0, self.queued[zone] + count - served)
        self.history.append([share.share for share in self.shares])

    def recent(self) -> list[list[float]]:
        return self.history[-round(HISTORY_S / STEP_S) :]


@given("{count:d} zones, each with {slots:d} slots and reads of {ms:d} ms")
def zones(context, count, slots, ms):
    context.zones = Zones(count, slots, ms / 1000)


@given("the zones are asked for {loads} reads per second")
@when("the zones are asked for {loads} reads per second")
def asked_for(context, loads):
    context.zones.loads = [float(load) for load in loads.split(", ")]


@then("the mean time to an answer is at most {ms:d} ms")
def mean_time(context, ms):
    zones = context.zones
    times = [s for at, s in zones.times if at > zones.time - HISTORY_S]
    mean = sum(times) / len(times)
    assert mean * 1000 <= ms, mean


@then("{least:d} to {most:d} percent of the reads of zone {zone:d} leave")
def percent_leave(context, least, most, zone):
    recent = [shares[zone] for shares in context.zones.recent()[-100:]]
    mean = 100 * sum(recent) / len(recent)
    assert least <= mean <= most, mean


@then(
    "no zone changes its share by more than {percent:d} percent in the last"
    " 10 s"
)
def settled(context, percent):
    for shares in zip(*context.zones.recent(), strict=True):
        swing = 100 * (max(shares) - min(shares))
        assert swing <= percent, (swing, shares[-1])
