"""Local requests that wait for their results."""

import asyncio
import typing

import msgspec

from chivescale.agreement._messages import Entry
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure


class Outcome(msgspec.Struct):
    """Log index of a committed command and the result of applying it."""

    index: int
    result: typing.Any = None


class PendingEntry(msgspec.Struct):
    """A caller that waits for an entry with a given term."""

    term: int
    future: asyncio.Future


class PendingRequests:
    """Futures of pending requests, by request and by log index.

    Attributes
    ----------
    requests : dict of int to list of Future
        Requests that the state machine has not yet accepted or rejected.
    entries : dict of int to PendingEntry
        Appended commands that are not yet applied, by log index.
    """

    def __init__(self):
        self.last_request_id = 0
        self.requests: dict[int, list[asyncio.Future]] = {}
        self.entries: dict[int, PendingEntry] = {}

    def register(self, futures: list[asyncio.Future]) -> int:
        """Register a request and return its identifier."""
        self.last_request_id += 1
        self.requests[self.last_request_id] = futures
        return self.last_request_id

    def complete(self, request_id: int, value: typing.Any) -> None:
        """Complete all futures of a request."""
        set_results(self.requests.pop(request_id), value)

    def track_entries(
        self, request_id: int, first_index: int, term: int
    ) -> None:
        """Move the futures of a request to its log entries.

        A future that still waits at one of these indexes belongs to an entry
        that was truncated here. Its outcome is unknown, since another member
        may hold that entry and be elected.
        """
        futures = self.requests.pop(request_id)
        for index, future in enumerate(futures, first_index):
            replaced = self.entries.get(index)
            if replaced is not None:
                set_results(
                    [replaced.future],
                    _outcome_unknown(
                        "another leader replaced the entry of the command"
                    ),
                )
            self.entries[index] = PendingEntry(term, future)

    def complete_entry(
        self, entry: Entry, result: typing.Any, leader_address: str
    ) -> None:
        """Complete the future of an applied entry."""
        pending = self.entries.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            set_results([pending.future], Outcome(entry.index, result))
        else:
            # Another entry is committed at this index, so the command will
            # never be committed.
            reason = "a later leader discarded the command"
            failure = Failure(
                ErrorKind.NOT_LEADER, reason, leader_address=leader_address
            )
            set_results([pending.future], failure)

    def complete_through(self, index: int) -> None:
        """Complete the futures of entries that a snapshot includes."""
        unknown = _outcome_unknown(
            "a snapshot replaced the entry of the command"
        )
        for position in [i for i in self.entries if i <= index]:
            set_results([self.entries.pop(position).future], unknown)

    def fail_all(self, failure: Failure) -> None:
        """Complete all futures with an unknown outcome."""
        unknown = _outcome_unknown(failure.reason)
        for pending in self.entries.values():
            set_results([pending.future], unknown)
        for futures in self.requests.values():
            set_results(futures, unknown)
        self.entries.clear()
        self.requests.clear()


def _outcome_unknown(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def set_results(futures: list[asyncio.Future], value: typing.Any) -> None:
    """Set the result of all futures that are not done."""
    for future in futures:
        if not future.done():
            future.set_result(value)


async def wait_until(
    future: asyncio.Future, deadline: float, timeout_result: Failure
):
    """Wait for a future; return `timeout_result` at the deadline."""
    try:
        async with asyncio.timeout(max(0.0, deadline - now())):
            return await future
    except TimeoutError:
        return timeout_result
