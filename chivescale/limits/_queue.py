"""Fair queue of statements waiting for a slot of an endpoint."""

import heapq
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure

DEFAULT_MAX_PER_WORKSPACE = 256
DEFAULT_MAX_TOTAL = 4096
# Weight of the newest service interval in the moving average.
INTERVAL_WEIGHT = 0.1


class _Entry(msgspec.Struct, order=True):
    start_tag: float
    sequence: int
    item: typing.Any
    workspace: str
    deadline: float
    removed: bool = False


class FairQueue:
    """Start-time fair queue (SFQ) over workspaces with equal weights.

    The start tag of an item is the finish tag of the previous item of its
    workspace, but at least the virtual time (the start tag of the item taken
    last). Items are taken in order of start tags, so a workspace that offers
    ten times the load still gets only its share, and an idle workspace does
    not accumulate credit.

    Parameters
    ----------
    per_workspace, total : int
        Maximum number of queued items per workspace and in total.
    """

    def __init__(
        self,
        per_workspace: int = DEFAULT_MAX_PER_WORKSPACE,
        total: int = DEFAULT_MAX_TOTAL,
    ):
        self.per_workspace = per_workspace
        self.total = total
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.lengths: dict[str, int] = {}
        self.heap: list[_Entry] = []
        self.deadlines: list[tuple[float, int, _Entry]] = []
        self.entries: dict[int, _Entry] = {}
        self.last_sequence = 0
        # Moving average of the time between two takes while items wait.
        self.interval_s = 0.0
        self.last_take_at: float | None = None

    def __len__(self) -> int:
        return len(self.entries)

    def offer(
        self, workspace: str, item: object, deadline: float, now: float
    ) -> Failure | None:
        """Queue an item.

        Parameters
        ----------
        workspace : str
            Workspace that the item is accounted to.
        item : object
            Value that `take` or `expire` returns.
        deadline, now : float
            Monotonic seconds.

        Returns
        -------
        Failure or None
            ``OVERLOADED`` if the queue is full, ``DEADLINE_NOT_STARTED`` if
            the item is not expected to start in time; None if it was queued.
        """
        length = self.lengths.get(workspace, 0)
        if length >= self.per_workspace or len(self) >= self.total:
            return Failure(
                ErrorKind.OVERLOADED,
                f"queue of the endpoint is full: {length} statements of "
                f"{workspace}, {len(self)} in total",
            )
        wait_s = self.estimated_wait_s(workspace)
        if now + wait_s >= deadline:
            return Failure(
                ErrorKind.DEADLINE_NOT_STARTED,
                f"estimated queueing time {wait_s:.3f} s exceeds the deadline",
            )
        start_tag = max(
            self.virtual_time, self.finish_tags.get(workspace, 0.0)
        )
        self.finish_tags[workspace] = start_tag + 1.0
        self.last_sequence += 1
        entry = _Entry(
            start_tag, self.last_sequence, item, workspace, deadline
        )
        if not self.entries:
            # The queue was empty: the time since the last take is idle time,
            # not a service interval.
            self.last_take_at = None
        self.entries[self.last_sequence] = entry
        self.lengths[workspace] = length + 1
        heapq.heappush(self.heap, entry)
        heapq.heappush(self.deadlines, (deadline, self.last_sequence, entry))
        return None

    def estimated_wait_s(self, workspace: str) -> float:
        """Return the expected queueing time of a new item, in seconds."""
        own = self.lengths.get(workspace, 0)
        ahead = own + sum(
            min(length, own + 1)
            for name, length in self.lengths.items()
            if name != workspace
        )
        return ahead * self.interval_s

    def take(self, now: float) -> object | None:
        """Remove and return the next item whose deadline has not passed.

        Returns None if there is none. Items past their deadline stay in the
        queue until `expire` is called.
        """
        expired_entries: list[_Entry] = []
        found = None
        while self.heap and found is None:
            entry = heapq.heappop(self.heap)
            if entry.removed:
                continue
            if entry.deadline <= now:
                expired_entries.append(entry)
                continue
            found = entry
        for entry in expired_entries:
            heapq.heappush(self.heap, entry)
        if found is None:
            return None
        self.virtual_time = max(self.virtual_time, found.start_tag)
        self._remove(found)
        self._update_interval(now)
        return found.item

    def expire(self, now: float) -> list[tuple[object, Failure]]:
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self.deadlines:
            deadline, _, entry = self.deadlines[0]
            if not entry.removed and deadline > now:
                break
            heapq.heappop(self.deadlines)
            if not entry.removed:
                self._remove(entry)
                failure = Failure(
                    ErrorKind.DEADLINE_NOT_STARTED,
                    "deadline exceeded while queued for the endpoint",
                )
                expired.append((entry.item, failure))
        return expired

    def cancel(self, item: object) -> bool:
        """Remove a queued item, compared by identity; False if not queued."""
        for entry in self.entries.values():
            if entry.item is item:
                self._remove(entry)
                return True
        return False

    def next_deadline(self) -> float | None:
        """Return when `expire` is due next, in monotonic seconds."""
        while self.deadlines and self.deadlines[0][2].removed:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None

    def _remove(self, entry: _Entry) -> None:
        entry.removed = True
        del self.entries[entry.sequence]
        self.lengths[entry.workspace] -= 1
        if not self.lengths[entry.workspace]:
            del self.lengths[entry.workspace]
        if not self.entries:
            self.heap.clear()
            self.deadlines.clear()
            # Reset the tags while the queue is empty; otherwise they would
            # grow without bound.
            self.finish_tags.clear()
            self.virtual_time = 0.0

    def _update_interval(self, now: float) -> None:
        if self.last_take_at is not None:
            elapsed_s = max(0.0, now - self.last_take_at)
            weight = INTERVAL_WEIGHT if self.interval_s else 1.0
            self.interval_s += weight * (elapsed_s - self.interval_s)
        self.last_take_at = now
        if not self.entries:
            # The endpoint caught up. An interval that still includes an
            # earlier stall would reject statements that could start at once.
            self.last_take_at = None
            self.interval_s = 0.0
