"""Encoded form of the whole state."""

import msgspec

from chivescale.messages import (
    EndpointRecord,
    HostRecord,
    ServiceRecord,
    SheetRecord,
    WorkspaceRecord,
)


class Image(msgspec.Struct):
    """Content of a `ClusterState`; each record with its change index."""

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
    def of(cls, state) -> "Image":
        """Return the image of a state."""
        rows = {kind: _rows(table) for kind, table in state.tables.items()}
        return cls(
            index=state.index,
            sheet=state.sheet,
            sheet_index=state.sheet_index,
            oldest_index=state.oldest_index,
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

    def fill(self, state) -> None:
        """Fill an empty state."""
        state.index = self.index
        state.sheet = self.sheet
        state.sheet_index = self.sheet_index
        state.oldest_index = self.oldest_index
        state.retired = {record.service: record for record in self.retired}
        for kind, name, index in self.removals:
            state.removals[kind, name] = index
        for kind, rows, field in (
            ("workspace", self.workspaces, "name"),
            ("service", self.services, "service"),
            ("host", self.hosts, "host"),
            ("endpoint", self.endpoints, "endpoint"),
        ):
            # A table keeps the order of the changes.
            for index, record in sorted(rows, key=lambda row: row[0]):
                name = getattr(record, field)
                state.tables[kind].put(name, record, index)


def _rows(table) -> tuple:
    """Return (index of the last change, record), ascending by index."""
    return tuple(
        (index, table.records[name]) for name, index in table.changed.items()
    )
