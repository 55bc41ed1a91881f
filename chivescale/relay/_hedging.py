"""Offers a read to one candidate after the other."""

import asyncio
import collections.abc
import typing

from chivescale.errors import Failure, is_failure
from chivescale.relay._work import Outcome
from chivescale.retry import RetryBudget

# Share of reads that may be offered twice at a time, and how many at once.
HEDGE_SHARE = 0.1
HEDGE_BURST = 10.0

T = typing.TypeVar("T")


class Offers:
    """Runs reads; a candidate that is slow is not waited for alone.

    Attributes
    ----------
    retries : RetryBudget
        Bounds how many reads run at two candidates at a time.
    tasks : set of asyncio.Task
        Attempts whose answer is not needed any more.
    """

    def __init__(self):
        self.retries = RetryBudget(HEDGE_SHARE, HEDGE_BURST)
        self.tasks: set[asyncio.Task] = set()

    async def first_answer(
        self,
        choose: collections.abc.Callable[[], T | None],
        offer: collections.abc.Callable[
            [T], tuple[collections.abc.Awaitable[Outcome], float] | Failure
        ],
        may_repeat: collections.abc.Callable[[Failure], bool],
        exhausted: collections.abc.Callable[
            [Failure], collections.abc.Awaitable[Failure | None]
        ],
        failure: Failure,
    ) -> Outcome:
        """Return the first answer that ends the read.

        Parameters
        ----------
        choose : callable
            Returns the next candidate; None if there is none.
        offer : callable
            Returns an attempt at a candidate and the time in seconds after
            which another candidate gets the read too, or why it is not
            offered.
        may_repeat : callable
            Tells whether a failure leaves the read to other candidates.
        exhausted : callable
            Called with the last failure when no candidate is left; returns
            None to choose again, or what the caller is told.
        failure : Failure
            Last failure if there is no candidate at all.
        """
        running: set[asyncio.Task] = set()
        while True:
            candidate = choose()
            wait_s = None
            if candidate is not None and (
                not running or self.retries.try_retry()
            ):
                offered = offer(candidate)
                if is_failure(offered):
                    failure = offered
                    continue
                attempt, wait_s = offered
                running.add(asyncio.ensure_future(attempt))
            if not running:
                final = await exhausted(failure)
                if final is not None:
                    return final
                continue
            done, running = await asyncio.wait(
                running,
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                outcome = task.result()
                if not is_failure(outcome) or not may_repeat(outcome):
                    self._keep_running(running)
                    return outcome
                failure = outcome

    def _keep_running(self, tasks: set[asyncio.Task]) -> None:
        """Let attempts end whose answer is not needed any more."""
        self.tasks |= tasks
        for task in tasks:
            task.add_done_callback(self.tasks.discard)
