"""In-memory part of the log."""

import msgspec

from chivescale.agreement._limits import entry_bytes
from chivescale.agreement._messages import (
    CONFIGURATION,
    Configuration,
    Entry,
    Snapshot,
)

_configuration_decoder = msgspec.msgpack.Decoder(Configuration)


def check_invariant(condition: bool, message: str) -> None:
    """Raise ``AssertionError`` if an invariant does not hold.

    An assert statement would be removed by ``python -O``. The check must run
    in production too, where it stops a member before it replicates invalid
    state.
    """
    if not condition:
        raise AssertionError(message)


def configuration_entry(
    index: int, term: int, configuration: Configuration
) -> Entry:
    """Return the log entry that sets a configuration."""
    data = msgspec.msgpack.encode(configuration)
    return Entry(index, term, CONFIGURATION, data)


class MemoryLog:
    """Log entries after a snapshot, and the configurations they set.

    Parameters
    ----------
    initial : Configuration
        Configuration before the first entry.
    snapshot : Snapshot or None
        Snapshot that `entries` follow.
    entries : tuple of Entry
        Entries in log order.
    """

    def __init__(
        self,
        initial: Configuration,
        snapshot: Snapshot | None,
        entries: tuple[Entry, ...],
    ):
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self.entries: list[Entry] = []
        first = snapshot.configuration if snapshot else initial
        self.configurations = [(self.base_index, first)]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Latest configuration, committed or not."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the latest configuration."""
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in effect after the entry at `index`."""
        found = self.configurations[0][1]
        for position, configuration in self.configurations:
            if position <= index:
                found = configuration
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the entry is not in memory."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return an entry that is in memory."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """Return the entries in memory after `index`."""
        return tuple(self.entries[max(0, index - self.base_index) :])

    def slice(self, first: int, count: int, size: int) -> tuple[Entry, ...]:
        """Return entries from `first`, limited by count and encoded size.

        The first entry is returned even if it exceeds `size`.
        """
        start = first - self.base_index - 1
        chosen = []
        for entry in self.entries[start : start + count]:
            size -= entry_bytes(entry)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: Entry) -> None:
        """Append an entry.

        A configuration takes effect immediately, before it is committed.
        """
        check_invariant(
            entry.index == self.last_index + 1,
            "entry index does not follow the last one",
        )
        check_invariant(
            entry.term >= self.last_term, "entry term is below the last one"
        )
        self.entries.append(entry)
        if entry.kind == CONFIGURATION:
            decoded = _configuration_decoder.decode(entry.data)
            self.configurations.append((entry.index, decoded))

    def truncate_from(self, index: int, commit: int) -> None:
        """Remove all entries from `index` onwards."""
        check_invariant(
            index > commit, "truncation would remove a committed entry"
        )
        del self.entries[index - self.base_index - 1 :]
        while self.configuration_index >= index:
            self.configurations.pop()

    def compact(self, snapshot: Snapshot, keep_after: int) -> None:
        """Store a snapshot of the local state and discard older entries.

        Entries after `keep_after` are retained, so that a follower that lags
        only slightly does not need the snapshot.
        """
        self.snapshot = snapshot
        base = max(self.base_index, min(keep_after, snapshot.index))
        term = self.term_at(base)
        check_invariant(
            term is not None, "compaction before the first entry in memory"
        )
        configuration = self.configuration_at(base)
        later = [pair for pair in self.configurations if pair[0] > base]
        del self.entries[: base - self.base_index]
        self.base_index, self.base_term = base, term
        self.configurations = [(base, configuration), *later]

    def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot of the leader.

        Entries after the snapshot are retained if the log contains its last
        entry.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, snapshot.index)
            return
        self.__init__(snapshot.configuration, snapshot, ())
