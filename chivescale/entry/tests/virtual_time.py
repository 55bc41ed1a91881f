"""Event loop whose clock jumps to the next timer."""

import asyncio
import contextlib
import random
import selectors
import time
import uuid
from unittest import mock


class _Selector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout=None):
        """Return no events after moving the clock by `timeout`."""
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the run is stuck")
        # Like a real clock, this one never stands still; otherwise two
        # roundings of one due time could alternate for ever.
        self.loop.now += timeout + 1e-9
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; executors run inline."""

    def __init__(self):
        self.now = 1000.0
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return virtual seconds."""
        return self.now

    def run_in_executor(self, executor, func, *args):
        """Call `func` at once."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as err:
            future.set_exception(err)
        return future


@contextlib.contextmanager
def virtual_time(seed: int):
    """Run the block with virtual time and seeded randomness.

    Yields
    ------
    VirtualLoop
        Loop whose clock the clocks of the process follow.
    """
    loop = VirtualLoop()
    source = random.Random(seed)
    real_random = random.Random

    def seeded(value=None):
        return real_random(source.random() if value is None else value)

    def token(size=16):
        return source.randbytes(size).hex()

    def identifier():
        return uuid.UUID(bytes=source.randbytes(16), version=4)

    # The functions of the module `random` share one generator.
    state = random.getstate()
    random.seed(seed)
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "clock_gettime", lambda _: loop.time()),
        mock.patch.object(random, "Random", seeded),
        mock.patch("secrets.token_hex", token),
        mock.patch("uuid.uuid4", identifier),
    ):
        try:
            yield loop
        finally:
            _finish(loop)
            random.setstate(state)


def _finish(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()
