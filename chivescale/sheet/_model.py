"""Data model of a sheet."""

import collections.abc
import hashlib

import msgspec

from chivescale.messages import ServiceRecord, WorkspaceRecord

COLUMNS = (
    "kind",
    "name",
    "service",
    "secret_hash",
    "staleness_ms",
    "session_scope",
    "max_connections",
    "max_concurrent",
    "max_rate",
    "group_size",
)


class Sheet(msgspec.Struct, frozen=True):
    """Normalised content, built by `make_sheet` or `parse_sheet`.

    Attributes
    ----------
    services : tuple of ServiceRecord
        Sorted by name; only `service` and `group_size` are set.
    workspaces : tuple of WorkspaceRecord
        Sorted by name, each with its bindings sorted by service.
    """

    services: tuple[ServiceRecord, ...] = ()
    workspaces: tuple[WorkspaceRecord, ...] = ()


class Defect(msgspec.Struct, frozen=True):
    """Reason why a sheet is invalid.

    Attributes
    ----------
    row : int
        Line number in the file, from 1; the header is usually line 1.
    column : str
        Column name; empty if the defect concerns the whole row.
    reason : str
        Description on one line.
    """

    row: int
    column: str
    reason: str

    def __str__(self) -> str:
        column = f" column {self.column}" if self.column else ""
        return f"row {self.row}{column}: {self.reason}"


def make_sheet(
    services: collections.abc.Iterable[ServiceRecord],
    workspaces: collections.abc.Iterable[WorkspaceRecord],
) -> Sheet:
    """Build a sheet from records, for example those of the current state.

    Terms and voters of the services are omitted because the sheet does not
    define them.
    """
    return Sheet(
        services=tuple(
            ServiceRecord(item.service, item.group_size)
            for item in sorted(services, key=lambda item: item.service)
        ),
        workspaces=tuple(
            _sorted_bindings(item)
            for item in sorted(workspaces, key=lambda item: item.name)
        ),
    )


def digest(sheet: Sheet) -> str:
    """Return the hex SHA-256 of the normalised content.

    Row order, column order, quoting and number formats do not affect it, so
    an exported sheet has the same digest as the original.
    """
    content = (
        [(item.service, item.group_size) for item in sheet.services],
        sheet.workspaces,
    )
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


def _sorted_bindings(workspace: WorkspaceRecord) -> WorkspaceRecord:
    bindings = sorted(workspace.bindings, key=lambda item: item.service)
    return msgspec.structs.replace(workspace, bindings=tuple(bindings))
