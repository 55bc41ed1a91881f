"""Callers that wait for the outcome of their requests."""

import asyncio
import typing

import msgspec

from chivescale.agreement._messages import Entry
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure


class Outcome(msgspec.Struct):
    """A committed command: its log index and the result of its apply."""

    index: int
    result: typing.Any = None


class Waiter(msgspec.Struct):
    """A caller that waits for the entry of one term."""

    term: int
    future: asyncio.Future


class Waiters:
    """Maps requests to their callers.

    Attributes
    ----------
    tickets : dict of int to list of Future
        Requests that the state machine has not yet taken or refused.
    entries : dict of int to Waiter
        Appended commands by log index.
    """

    def __init__(self):
        self.last_ticket = 0
        self.tickets: dict[int, list[asyncio.Future]] = {}
        self.entries: dict[int, Waiter] = {}

    def ticket(self, futures: list[asyncio.Future]) -> int:
        """Return the number of a new request."""
        self.last_ticket += 1
        self.tickets[self.last_ticket] = futures
        return self.last_ticket

    def answer(self, ticket: int, value: typing.Any) -> None:
        """End a request."""
        resolve(self.tickets.pop(ticket), value)

    def appended(self, ticket: int, first_index: int, term: int) -> None:
        """Let the callers of a request wait for their entries.

        The entry of a caller that still waits at an index is gone here,
        but another member may hold it and be elected.
        """
        futures = self.tickets.pop(ticket)
        for index, future in enumerate(futures, first_index):
            former = self.entries.get(index)
            if former is not None:
                resolve([former.future], _unknown("another leader followed"))
            self.entries[index] = Waiter(term, future)

    def applied(
        self, entry: Entry, result: typing.Any, leader_address: str
    ) -> None:
        """End the wait for an entry."""
        waiter = self.entries.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            resolve([waiter.future], Outcome(entry.index, result))
        else:
            # The index is committed with another entry, so this command
            # can never be.
            reason = "a later leader replaced the command"
            failure = Failure(
                ErrorKind.NOT_LEADER, reason, redirect=leader_address
            )
            resolve([waiter.future], failure)

    def covered(self, index: int) -> None:
        """End the wait for entries that a snapshot covers."""
        unknown = _unknown("a snapshot replaced the entry of the command")
        for position in [i for i in self.entries if i <= index]:
            resolve([self.entries.pop(position).future], unknown)

    def end(self, failure: Failure) -> None:
        """End every wait when the host stops."""
        unknown = _unknown(failure.reason)
        for waiter in self.entries.values():
            resolve([waiter.future], unknown)
        for futures in self.tickets.values():
            resolve(futures, unknown)
        self.entries.clear()
        self.tickets.clear()


def _unknown(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def resolve(futures: list[asyncio.Future], value: typing.Any) -> None:
    """Set the result of futures that nobody has set or cancelled."""
    for future in futures:
        if not future.done():
            future.set_result(value)


async def until(future: asyncio.Future, deadline: float, late: Failure):
    """Wait for a future; return `late` at the deadline."""
    try:
        async with asyncio.timeout(max(0.0, deadline - now())):
            return await future
    except TimeoutError:
        return late
