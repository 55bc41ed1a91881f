"""Cost of one HTTP exchange between own processes, on each side."""

import asyncio
import threading
import time

import msgspec

from benchmarks.capacity import _records as records
from benchmarks.capacity._clock import point
from chivescale.messages import EndpointStatus
from chivescale.transport import Client, Route, Server

SECRET = b"a secret that is long enough for tests"
SIZES = (0, 1_000, 4_000, 16_000, 64_000)
CALLS = 300
REPEATS = 5


class Blob(msgspec.Struct, frozen=True):
    """A body of some size."""

    data: str = ""


class ServerThread:
    """A `Server` with its own event loop, so that its time is apart."""

    def __init__(self, build):
        self.build = build
        self.address = ""
        self.started = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        self.started.wait(10)

    def _run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stop = asyncio.Event()
        self.address, close = await self.build()
        self.started.set()
        await self.stop.wait()
        await close()

    async def used_s(self) -> float:
        """Return the processor time of the server's thread."""

        async def read() -> float:
            return time.thread_time()

        future = asyncio.run_coroutine_threadsafe(read(), self.loop)
        return await asyncio.wrap_future(future)

    def close(self) -> None:
        """End the server."""
        self.loop.call_soon_threadsafe(self.stop.set)
        self.thread.join(10)


async def _server():
    async def echo(request):
        return request.body

    async def position(request):
        return records.status(1)

    routes = [
        Route("POST", "/v1/hosts/heartbeat", echo, Blob),
        Route("GET", "/v1/position", position),
    ]
    server = Server(SECRET, routes)
    await server.start("127.0.0.1:0")
    port = server.runner.addresses[0][1]
    return f"127.0.0.1:{port}", server.close


async def _exchange(thread, method, path, reply_type, body, fresh):
    """Return time of the client and the server and bytes of one call."""
    sizes = {"out": 0, "in": 0}

    def count(direction, size):
        sizes[direction] += size

    client = Client(SECRET, None, count)

    async def call():
        answer = await client.call(
            thread.address,
            method,
            path,
            reply_type,
            body,
            timeout_s=5,
            fresh=fresh,
        )
        assert isinstance(answer, reply_type), answer

    for _ in range(20):
        await call()
    sizes.update({"out": 0, "in": 0})
    before, mine = await thread.used_s(), time.thread_time()
    for _ in range(CALLS):
        await call()
    mine = time.thread_time() - mine
    theirs = await thread.used_s() - before
    await client.close()
    size = (sizes["out"] + sizes["in"]) / CALLS
    return mine / CALLS * 1e6, theirs / CALLS * 1e6, size


async def _measure():
    thread = ServerThread(_server)
    points = []
    for size in SIZES:
        body = Blob("x" * size)
        arguments = ("POST", "/v1/hosts/heartbeat", Blob, body, False)
        runs = [await _exchange(thread, *arguments) for _ in range(REPEATS)]
        points += _points("transport", "bytes", size, runs)
    for fresh in (0, 1):
        arguments = ("GET", "/v1/position", EndpointStatus, None, bool(fresh))
        runs = [await _exchange(thread, *arguments) for _ in range(REPEATS)]
        points += _points("transport.position", "fresh", fresh, runs)
    thread.close()
    return points


def _points(name, x_name, x, runs):
    units = (("client", "us"), ("server", "us"), ("bytes", "B"))
    for column, (key, unit) in enumerate(units):
        values = [run[column] for run in runs]
        separator = "." if "." not in name else "_"
        series = f"{name}{separator}{key}"
        yield point(series, x_name, x, unit, values)


def measure():
    """Return cost by body size, and of a position question."""
    return asyncio.run(_measure())
