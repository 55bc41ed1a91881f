"""Records of one kind with the log index of their last change."""

import typing

import msgspec

Record = typing.TypeVar("Record", bound=msgspec.Struct)


class Table(typing.Generic[Record]):
    """Maps names to records and remembers when each changed.

    Parameters
    ----------
    kind : str
        Name of the table in `WatchReply.removed`.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.records: dict[str, Record] = {}
        self.changed: dict[str, int] = {}

    def put(self, name: str, record: Record, index: int) -> bool:
        """Store a record; tell whether it differs from the one before."""
        if self.records.get(name) == record:
            return False
        self.records[name] = record
        # Reinserted, so that the order is that of the indexes.
        self.changed.pop(name, None)
        self.changed[name] = index
        return True

    def remove(self, name: str) -> bool:
        """Remove a record; tell whether there was one."""
        self.changed.pop(name, None)
        return self.records.pop(name, None) is not None

    def since(self, index: int) -> tuple[Record, ...]:
        """Return the records changed after `index`, sorted by name."""
        names = []
        for name, at in reversed(self.changed.items()):
            if at <= index:
                break
            names.append(name)
        return tuple(self.records[name] for name in sorted(names))

    def load(self, records: dict[str, Record], index: int) -> None:
        """Replace all records."""
        for name in set(self.records) - set(records):
            self.remove(name)
        for name, record in records.items():
            self.put(name, record, index)
