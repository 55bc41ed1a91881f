"""Table of records with the log index of their last change."""

import typing

import msgspec

Record = typing.TypeVar("Record", bound=msgspec.Struct)


class Table(typing.Generic[Record]):
    """Records by name, with the log index at which each last changed.

    Parameters
    ----------
    kind : str
        Name of the table in `WatchReply.removed`.

    Attributes
    ----------
    records : dict
        Records by name.
    changed_at : dict of str to int
        Log index of the last change of each record, in ascending order.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.records: dict[str, Record] = {}
        self.changed_at: dict[str, int] = {}

    def put(self, name: str, record: Record, index: int) -> bool:
        """Store a record; return whether it differs from the current one."""
        if self.records.get(name) == record:
            return False
        self.records[name] = record
        # Reinsertion keeps the dictionary in ascending order of the index.
        self.changed_at.pop(name, None)
        self.changed_at[name] = index
        return True

    def remove(self, name: str) -> bool:
        """Remove a record; return whether it existed."""
        self.changed_at.pop(name, None)
        return self.records.pop(name, None) is not None

    def changed_since(self, index: int) -> tuple[Record, ...]:
        """Return the records changed after `index`, sorted by name."""
        names = []
        for name, last_index in reversed(self.changed_at.items()):
            if last_index <= index:
                break
            names.append(name)
        return tuple(self.records[name] for name in sorted(names))

    def replace_all(self, records: dict[str, Record], index: int) -> None:
        """Replace the whole content of the table."""
        for name in set(self.records) - set(records):
            self.remove(name)
        for name, record in records.items():
            self.put(name, record, index)
