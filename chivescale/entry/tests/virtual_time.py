"""Event loop with a virtual clock that advances to the next timer."""

import asyncio
import contextlib
import random
import selectors
import time
import uuid
from unittest import mock


class _Selector(selectors.SelectSelector):
    """Selector that advances the clock of the loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout=None):
        """Advance the clock by `timeout` and return no events."""
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled")
        # Like a real clock, this one always advances; otherwise the loop
        # could spin forever on two roundings of the same due time.
        self.loop.now += timeout + 1e-9
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting.

    Executor functions run synchronously.
    """

    def __init__(self):
        self.now = 1000.0
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def run_in_executor(self, executor, func, *args):
        """Call `func` synchronously and return a completed future."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as err:
            future.set_exception(err)
        return future


@contextlib.contextmanager
def virtual_time(seed: int):
    """Run the block in virtual time with seeded random numbers.

    Parameters
    ----------
    seed : int
        Seed of all random numbers and identifiers.

    Yields
    ------
    VirtualLoop
        Loop whose clock replaces the monotonic clocks of the process.
    """
    loop = VirtualLoop()
    source = random.Random(seed)
    real_random = random.Random

    def seeded(value=None):
        return real_random(source.random() if value is None else value)

    def token_hex(size=16):
        return source.randbytes(size).hex()

    def uuid4():
        return uuid.UUID(bytes=source.randbytes(16), version=4)

    # The functions of the module `random` share one global generator.
    state = random.getstate()
    random.seed(seed)
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "clock_gettime", lambda _: loop.time()),
        mock.patch.object(random, "Random", seeded),
        mock.patch("secrets.token_hex", token_hex),
        mock.patch("uuid.uuid4", uuid4),
    ):
        try:
            yield loop
        finally:
            _cancel_tasks(loop)
            random.setstate(state)


def _cancel_tasks(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()
