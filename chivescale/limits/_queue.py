"""Fair queue of statements that wait for a slot of an endpoint."""

import heapq
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure

DEFAULT_PER_WORKSPACE = 256
DEFAULT_TOTAL = 4096
# Weight of the newest service interval in its moving average.
INTERVAL_WEIGHT = 0.1


class _Entry(msgspec.Struct, order=True):
    start: float
    sequence: int
    item: typing.Any
    workspace: str
    deadline: float
    gone: bool = False


class FairQueue:
    """Start-time fair queue over workspaces with equal weights.

    Each item has a start tag: the finish tag of the previous item of its
    workspace, but not below the virtual time (the start tag taken last).
    Items leave in order of start tags, so a workspace that offers ten times
    the load gets its share and no more, and an idle workspace saves up no
    credit.

    Parameters
    ----------
    per_workspace, total : int
        Most items that wait.
    """

    def __init__(
        self,
        per_workspace: int = DEFAULT_PER_WORKSPACE,
        total: int = DEFAULT_TOTAL,
    ):
        self.per_workspace = per_workspace
        self.total = total
        self.virtual_time = 0.0
        self.finish: dict[str, float] = {}
        self.lengths: dict[str, int] = {}
        self.heap: list[_Entry] = []
        self.by_deadline: list[tuple[float, int, _Entry]] = []
        self.entries: dict[int, _Entry] = {}
        self.sequence = 0
        # Moving average of the time between takes while items wait.
        self.interval_s = 0.0
        self.last_take: float | None = None

    def __len__(self) -> int:
        return len(self.entries)

    def offer(
        self, workspace: str, item: object, deadline: float, now: float
    ) -> Failure | None:
        """Queue an item.

        Parameters
        ----------
        workspace : str
            Whose share it uses.
        item : object
            Returned by `take` or `expire`.
        deadline, now : float
            Monotonic seconds.

        Returns
        -------
        Failure or None
            ``OVERLOADED`` if a bound is reached, ``DEADLINE_NOT_STARTED``
            if the item would not start in time; None if queued.
        """
        length = self.lengths.get(workspace, 0)
        if length >= self.per_workspace or len(self) >= self.total:
            return Failure(
                ErrorKind.OVERLOADED,
                f"{length} statements of {workspace} and {len(self)} in "
                "total wait for the endpoint",
            )
        wait_s = self.estimated_wait_s(workspace)
        if now + wait_s >= deadline:
            return Failure(
                ErrorKind.DEADLINE_NOT_STARTED,
                f"expected wait of {wait_s:.3f} s exceeds the deadline",
            )
        start = max(self.virtual_time, self.finish.get(workspace, 0.0))
        self.finish[workspace] = start + 1.0
        self.sequence += 1
        entry = _Entry(start, self.sequence, item, workspace, deadline)
        if not self.entries:
            # The time until now was idle, not service time.
            self.last_take = None
        self.entries[self.sequence] = entry
        self.lengths[workspace] = length + 1
        heapq.heappush(self.heap, entry)
        heapq.heappush(self.by_deadline, (deadline, self.sequence, entry))
        return None

    def estimated_wait_s(self, workspace: str) -> float:
        """Return the expected wait of a new item, in seconds."""
        own = self.lengths.get(workspace, 0)
        ahead = own + sum(
            min(length, own + 1)
            for name, length in self.lengths.items()
            if name != workspace
        )
        return ahead * self.interval_s

    def take(self, now: float) -> object | None:
        """Return the next item that can still start; None if there is none.

        Items past their deadline stay for `expire`.
        """
        late: list[_Entry] = []
        found = None
        while self.heap and found is None:
            entry = heapq.heappop(self.heap)
            if entry.gone:
                continue
            if entry.deadline <= now:
                late.append(entry)
                continue
            found = entry
        for entry in late:
            heapq.heappush(self.heap, entry)
        if found is None:
            return None
        self.virtual_time = max(self.virtual_time, found.start)
        self._remove(found)
        self._measure(now)
        return found.item

    def expire(self, now: float) -> list[tuple[object, Failure]]:
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self.by_deadline:
            deadline, _, entry = self.by_deadline[0]
            if not entry.gone and deadline > now:
                break
            heapq.heappop(self.by_deadline)
            if not entry.gone:
                self._remove(entry)
                failure = Failure(
                    ErrorKind.DEADLINE_NOT_STARTED,
                    "the deadline passed while waiting for the endpoint",
                )
                expired.append((entry.item, failure))
        return expired

    def cancel(self, item: object) -> bool:
        """Remove a waiting item, compared by identity."""
        for entry in self.entries.values():
            if entry.item is item:
                self._remove(entry)
                return True
        return False

    def next_deadline(self) -> float | None:
        """Return when `expire` is due next, in monotonic seconds."""
        while self.by_deadline and self.by_deadline[0][2].gone:
            heapq.heappop(self.by_deadline)
        return self.by_deadline[0][0] if self.by_deadline else None

    def _remove(self, entry: _Entry) -> None:
        entry.gone = True
        del self.entries[entry.sequence]
        self.lengths[entry.workspace] -= 1
        if not self.lengths[entry.workspace]:
            del self.lengths[entry.workspace]
        if not self.entries:
            self.heap.clear()
            self.by_deadline.clear()
            # An empty queue starts over; tags would grow without bound.
            self.finish.clear()
            self.virtual_time = 0.0

    def _measure(self, now: float) -> None:
        if self.last_take is not None:
            elapsed = max(0.0, now - self.last_take)
            weight = INTERVAL_WEIGHT if self.interval_s else 1.0
            self.interval_s += weight * (elapsed - self.interval_s)
        self.last_take = now
        if not self.entries:
            # The endpoint caught up. An interval kept from an earlier stall
            # would shed statements that could start at once.
            self.last_take = None
            self.interval_s = 0.0
