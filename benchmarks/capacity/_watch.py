"""From the commit of a change to every watching host."""

import asyncio
import tempfile
import time

from benchmarks.capacity import _records as records
from benchmarks.capacity._clock import point
from benchmarks.capacity._transport import SECRET, ServerThread
from chivescale.control import ControlHost
from chivescale.control.tests.control_system import free_address
from chivescale.errors import is_failure
from chivescale.messages import AcceptSheet, WatchReply, encode
from chivescale.settings import parse_settings
from chivescale.transport import Client

WATCHERS = (25, 50, 100, 200, 400)
CHANGES = 6
WARM_UP = 2
IDLE_S = 2.0

SETTINGS = """
[host]
name = "control-1"
zone = "zone-1"
roles = ["control"]
data_dir = "{folder}/data"
[listen]
control_api = "{address}"
[cluster]
secret_file = "{folder}/secret"
control = [{{ name = "control-1", address = "{address}" }}]
"""


class Followers:
    """Long polls that note when each new index arrived."""

    def __init__(self, address: str, count: int, wait_ms: int):
        self.client = Client(SECRET)
        self.address = address
        self.count = count
        self.wait_ms = wait_ms
        self.failures: list = []
        self.latest: dict[int, tuple[int, float]] = {}
        self.polls = 0

    async def follow(self, name: int, index: int) -> None:
        """Poll until a poll fails."""
        while True:
            reply = await self.client.call(
                self.address,
                "GET",
                f"/v1/watch?after={index}&wait_ms={self.wait_ms}",
                WatchReply,
                timeout_s=30,
            )
            if is_failure(reply):
                self.failures.append(reply)
                return
            self.polls += 1
            if reply.index > index:
                index = reply.index
                self.latest[name] = (index, time.monotonic())

    def all_have(self, index: int) -> bool:
        """Tell whether every follower has an index."""
        assert not self.failures, self.failures
        having = sum(at >= index for at, _ in self.latest.values())
        return having >= self.count


async def _measure(thread, host):
    points, turn = [], iter(range(1, 1 << 30))

    async def change() -> int:
        number = next(turn)
        sheet = AcceptSheet(number, "", (), (records.workspace(number),))
        data = encode(sheet)
        deadline = time.monotonic() + 5
        outcome = await asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(
                host.agreement.submit(data, deadline), thread.loop
            )
        )
        assert not is_failure(outcome), outcome
        return outcome.index

    while is_failure(await _leading(thread, host)):
        await asyncio.sleep(0.05)
    index = await change()
    for count in WATCHERS:
        followers = Followers(thread.address, count, 25_000)
        tasks = [
            asyncio.ensure_future(followers.follow(name, index))
            for name in range(count)
        ]
        await asyncio.sleep(0.5)
        cpu, last = [], []
        for number in range(CHANGES + WARM_UP):
            before = await thread.used_s()
            index = await change()
            committed = time.monotonic()
            while not followers.all_have(index):
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            if number >= WARM_UP:
                used = await thread.used_s() - before
                cpu.append(used * 1e6)
                arrived = max(at for _, at in followers.latest.values())
                late = arrived - committed
                last.append(late * 1000)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await followers.client.close()
        points.append(point("watch.change_cpu", "watches", count, "us", cpu))
        points.append(point("watch.last_ms", "watches", count, "ms", last))
        points.append(await _idle(thread, count, index))
    return points


async def _idle(thread, count: int, index: int):
    """Return processor time per second of polls that end without news."""
    followers = Followers(thread.address, count, 500)
    tasks = [
        asyncio.ensure_future(followers.follow(name, index))
        for name in range(count)
    ]
    await asyncio.sleep(0.6)
    used, polls = await thread.used_s(), followers.polls
    await asyncio.sleep(IDLE_S)
    used = await thread.used_s() - used
    polls = followers.polls - polls
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await followers.client.close()
    return point(
        "watch.idle_poll", "polls", polls / IDLE_S, "us", [used / IDLE_S * 1e6]
    )


async def _leading(thread, host):
    return None if host.leadership is not None else host.not_leader_failure()


def measure():
    """Return cost and delay of a change by the number of watches."""
    with tempfile.TemporaryDirectory() as folder:
        address = free_address()
        text = SETTINGS.format(folder=folder, address=address)
        settings = parse_settings(text)
        assert not is_failure(settings), settings
        hosts = []

        async def build():
            host = ControlHost(settings, SECRET)
            failure = await host.start()
            assert failure is None, failure
            hosts.append(host)
            return address, host.stop

        thread = ServerThread(build)
        try:
            return asyncio.run(_measure(thread, hosts[0]))
        finally:
            thread.close()
