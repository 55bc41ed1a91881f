"""Snapshot encoding of the replicated state."""

import msgspec

from chivescale.messages import (
    EndpointRecord,
    HostRecord,
    ServiceRecord,
    SheetRecord,
    WorkspaceRecord,
)


class StateSnapshot(msgspec.Struct):
    """Snapshot of a `ClusterState`.

    Attributes
    ----------
    index : int
        Log index of the last applied command.
    sheet : SheetRecord or None
        Current sheet.
    sheet_index : int
        Log index at which the sheet became current.
    oldest_index : int
        Highest log index of the discarded removals.
    retired : tuple of ServiceRecord
        Records of services that the sheet no longer contains.
    removals : tuple of (str, str, int)
        Table, name and log index of each removal.
    workspaces, services, hosts, endpoints : tuple
        Records, each with the log index of its last change.
    """

    index: int
    sheet: SheetRecord | None
    sheet_index: int
    oldest_index: int
    retired: tuple[ServiceRecord, ...]
    removals: tuple[tuple[str, str, int], ...]
    workspaces: tuple[tuple[int, WorkspaceRecord], ...]
    services: tuple[tuple[int, ServiceRecord], ...]
    hosts: tuple[tuple[int, HostRecord], ...]
    endpoints: tuple[tuple[int, EndpointRecord], ...]

    @classmethod
    def from_state(cls, state) -> "StateSnapshot":
        """Create a snapshot of a state."""
        rows = {kind: _rows(table) for kind, table in state.tables.items()}
        return cls(
            index=state.index,
            sheet=state.sheet,
            sheet_index=state.sheet_index,
            oldest_index=state.compacted_index,
            retired=tuple(
                state.retired[name] for name in sorted(state.retired)
            ),
            removals=tuple(
                (kind, name, index)
                for (kind, name), index in state.removals.items()
            ),
            workspaces=rows["workspace"],
            services=rows["service"],
            hosts=rows["host"],
            endpoints=rows["endpoint"],
        )

    def restore(self, state) -> None:
        """Copy the snapshot into an empty state."""
        state.index = self.index
        state.sheet = self.sheet
        state.sheet_index = self.sheet_index
        state.compacted_index = self.oldest_index
        state.retired = {record.service: record for record in self.retired}
        for kind, name, index in self.removals:
            state.removals[kind, name] = index
        for kind, rows, field in (
            ("workspace", self.workspaces, "name"),
            ("service", self.services, "service"),
            ("host", self.hosts, "host"),
            ("endpoint", self.endpoints, "endpoint"),
        ):
            # A table orders its records by the index of their last change.
            for index, record in sorted(rows, key=lambda row: row[0]):
                name = getattr(record, field)
                state.tables[kind].put(name, record, index)


def _rows(table) -> tuple:
    """Return (index of the last change, record), in ascending index order."""
    return tuple(
        (index, table.records[name])
        for name, index in table.changed_at.items()
    )
