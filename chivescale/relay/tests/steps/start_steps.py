"""Steps for the start of an entry host, with a fake HTTP client."""

import asyncio
import random
import zlib

from behave import given, then

from chivescale.catalog import Catalog
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure
from chivescale.messages import WatchAnswer, encode
from chivescale.relay import RelayHost, RelaySettings
from chivescale.relay._coordinator_watcher import first_poll_pacing

ROUND_TRIP_S = 0.005
SEEDS = ("c1", "c2", "c3")


def answer(age_s: float) -> WatchAnswer:
    catalog = encode(Catalog(1, (), ()))
    return WatchAnswer(
        "b1", 1, zlib.compress(catalog), (), {}, "", age_s, 1, (), ()
    )


class FakeClient:
    """HTTP client whose servers behave as named."""

    def __init__(self, behaviour: dict[str, str]):
        self.behaviour = behaviour

    async def call(
        self,
        address,
        method,
        path,
        reply_type,
        body,
        *,
        timeout_s,
        connect_timeout_s=0.5,
        transfer_s=0.0,
    ):
        behaviour = self.behaviour[address]
        if behaviour == "lose packets":
            await asyncio.sleep(min(timeout_s, connect_timeout_s))
            return Failure(ErrorKind.UNREACHABLE, "no answer")
        await asyncio.sleep(ROUND_TRIP_S)
        if behaviour == "refuse":
            return Failure(ErrorKind.UNREACHABLE, "refused")
        return answer(10.0 if behaviour == "answer uncertain" else 0.0)


@given("coordinators that {first}, {second} and {third}")
def coordinators(context, first, second, third):
    context.client = FakeClient(
        dict(zip(SEEDS, (first, second, third), strict=True))
    )


@then("a host that starts applies a configuration within {ms:d} ms")
def applies(context, ms):
    async def work(seed: int) -> float:
        settings = RelaySettings("h1", "z1", "", SEEDS, 6.0)
        host = RelayHost(
            settings, context.client, None, None, random.Random(seed)
        )
        started = now()
        task = asyncio.ensure_future(host.follower.run())
        async with asyncio.timeout(5.0):
            while host.catalog is None:
                await asyncio.sleep(0.001)
        task.cancel()
        return now() - started

    # The order in which coordinators are asked is random.
    times = [asyncio.run(work(seed)) for seed in range(6)]
    assert max(times) * 1000 <= ms, times


@then(
    "a host without a configuration polls at most {count:d} times in"
    " {seconds:d} s"
)
def polls_at_most(context, count, seconds):
    elapsed_s, polls = 0.0, 0
    while elapsed_s < seconds:
        polls += 1
        timeout_s, _ = first_poll_pacing(polls - 1)
        _, pause_s = first_poll_pacing(polls)
        elapsed_s += timeout_s + pause_s
    assert polls <= count, polls
