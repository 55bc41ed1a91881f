"""Restarts a permanent task after an unexpected error."""

import asyncio
import collections.abc

from chivescale.telemetry import COUNTERS, log_event

# Delay before the task starts again.
RETRY_DELAY_S = 0.25


async def run_supervised(
    name: str,
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    retry_delay_s: float = RETRY_DELAY_S,
) -> None:
    """Run a permanent task and start it again after an unexpected error.

    Without this, an error ends the task only, and the process goes on
    without the function that the task has.

    Parameters
    ----------
    name : str
        Name of the task in logs and metrics.
    run : callable
        Coroutine function without arguments. The task ends when it returns
        or is cancelled.
    retry_delay_s : float
        Delay before it starts again, in seconds.
    """
    while True:
        try:
            await run()
            return
        except Exception as err:
            COUNTERS.count("task_failures", name)
            log_event("task_failed", "error", task=name, error=repr(err))
        await asyncio.sleep(retry_delay_s)
