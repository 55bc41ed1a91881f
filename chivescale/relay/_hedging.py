"""Hedged execution of reads."""

import asyncio
import collections.abc
import typing

from chivescale.errors import Failure, is_failure
from chivescale.relay._request import Outcome
from chivescale.retry import RetryBudget

# Fraction of reads that may be hedged, and the allowed burst of hedges.
HEDGE_FRACTION = 0.1
HEDGE_BURST = 10.0

T = typing.TypeVar("T")


class HedgedReads:
    """Runs reads and sends slow ones to a second candidate.

    Attributes
    ----------
    hedge_budget : RetryBudget
        Limits the number of reads that run at two candidates at once.
    detached : set of asyncio.Task
        Running attempts whose result is no longer needed.
    """

    def __init__(self):
        self.hedge_budget = RetryBudget(HEDGE_FRACTION, HEDGE_BURST)
        self.detached: set[asyncio.Task] = set()

    async def first_result(
        self,
        next_candidate: collections.abc.Callable[[], T | None],
        start_attempt: collections.abc.Callable[
            [T], tuple[collections.abc.Awaitable[Outcome], float] | Failure
        ],
        is_retryable: collections.abc.Callable[[Failure], bool],
        on_exhausted: collections.abc.Callable[
            [Failure], collections.abc.Awaitable[Failure | None]
        ],
        failure: Failure,
    ) -> Outcome:
        """Return the first success or non-retryable failure.

        Parameters
        ----------
        next_candidate : callable
            Returns the next candidate, or None if there is none.
        start_attempt : callable
            Returns an attempt at a candidate and the delay in seconds after
            which the read is hedged, or a failure if the candidate is
            skipped.
        is_retryable : callable
            Returns whether another candidate may be tried after a failure.
        on_exhausted : callable
            Called with the last failure when no candidate is left. Returns
            None to ask for candidates again, or the final failure.
        failure : Failure
            Failure to report if there is no candidate at all.
        """
        running: set[asyncio.Task] = set()
        while True:
            candidate = next_candidate()
            hedge_delay_s = None
            if candidate is not None and (
                not running or self.hedge_budget.try_retry()
            ):
                started = start_attempt(candidate)
                if is_failure(started):
                    failure = started
                    continue
                attempt, hedge_delay_s = started
                running.add(asyncio.ensure_future(attempt))
            if not running:
                final = await on_exhausted(failure)
                if final is not None:
                    return final
                continue
            done, running = await asyncio.wait(
                running,
                timeout=hedge_delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                outcome = task.result()
                if not is_failure(outcome) or not is_retryable(outcome):
                    self._detach(running)
                    return outcome
                failure = outcome

    def _detach(self, tasks: set[asyncio.Task]) -> None:
        """Let attempts finish in the background and ignore their results."""
        self.detached |= tasks
        for task in tasks:
            task.add_done_callback(self.detached.discard)
