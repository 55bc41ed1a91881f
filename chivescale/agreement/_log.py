"""The part of the log that is kept in memory."""

import msgspec

from chivescale.agreement._messages import (
    CONFIGURATION,
    Configuration,
    Entry,
    Snapshot,
)

_configuration_decoder = msgspec.msgpack.Decoder(Configuration)


def require(condition: bool, text: str) -> None:
    """Raise ``AssertionError`` if an invariant does not hold.

    Not an assert statement, since these checks also stop a member in
    production before it spreads a wrong state.
    """
    if not condition:
        raise AssertionError(text)


def configuration_entry(
    index: int, term: int, configuration: Configuration
) -> Entry:
    """Return the entry that puts a configuration in use."""
    data = msgspec.msgpack.encode(configuration)
    return Entry(index, term, CONFIGURATION, data)


class MemoryLog:
    """Entries after a snapshot, and the configurations among them.

    Parameters
    ----------
    initial : Configuration
        Configuration before the first entry.
    snapshot : Snapshot or None
        State that precedes `entries`.
    entries : tuple of Entry
        Entries in order.
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
        """Return the configuration in use after `index`."""
        found = self.configurations[0][1]
        for position, configuration in self.configurations:
            if position <= index:
                found = configuration
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not kept."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return a kept entry."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """Return the kept entries after `index`."""
        return tuple(self.entries[max(0, index - self.base_index) :])

    def slice(self, first: int, count: int, size: int) -> tuple[Entry, ...]:
        """Return entries from `first`, up to `count` and `size` bytes.

        At least one entry is returned if there is one.
        """
        start = first - self.base_index - 1
        chosen = []
        for entry in self.entries[start : start + count]:
            size -= len(entry.data)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        require(entry.index == self.last_index + 1, "log has a gap")
        require(entry.term >= self.last_term, "log terms decrease")
        self.entries.append(entry)
        if entry.kind == CONFIGURATION:
            decoded = _configuration_decoder.decode(entry.data)
            self.configurations.append((entry.index, decoded))

    def truncate_from(self, index: int, commit: int) -> None:
        """Remove the entries at and after `index`."""
        require(index > commit, "committed entry would change")
        del self.entries[index - self.base_index - 1 :]
        while self.configuration_index >= index:
            self.configurations.pop()

    def compact(self, snapshot: Snapshot, keep_after: int) -> None:
        """Take over a snapshot of own state.

        Entries after `keep_after` stay, so that a member that is only a
        little behind does not need the snapshot.
        """
        self.snapshot = snapshot
        base = max(self.base_index, min(keep_after, snapshot.index))
        term = self.term_at(base)
        require(term is not None, "compaction before the first kept entry")
        configuration = self.configuration_at(base)
        later = [pair for pair in self.configurations if pair[0] > base]
        del self.entries[: base - self.base_index]
        self.base_index, self.base_term = base, term
        self.configurations = [(base, configuration), *later]

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot of the leader.

        Entries after it stay if the log agrees with it.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, snapshot.index)
            return
        self.__init__(snapshot.configuration, snapshot, ())
