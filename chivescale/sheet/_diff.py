"""Difference between two sheets."""

import msgspec

from chivescale.messages import ServiceBinding, WorkspaceRecord
from chivescale.sheet._model import Sheet


class Change(msgspec.Struct, frozen=True):
    """Difference in one row.

    Attributes
    ----------
    action : str
        ``added``, ``removed`` or ``changed``.
    kind : str
        ``service``, ``workspace`` or ``binding``.
    name : str
        Name of the row; ``workspace/service`` for a binding.
    fields : tuple of (str, str, str)
        Name, old and new value of each changed field; hashes are omitted.
    """

    action: str
    kind: str
    name: str
    fields: tuple[tuple[str, str, str], ...] = ()


def diff(old: Sheet, new: Sheet) -> list[Change]:
    """Return the changes from `old` to `new`, sorted by kind and name."""
    changes = _compare_rows("service", _services(old), _services(new))
    changes += _compare_rows("workspace", _workspaces(old), _workspaces(new))
    changes += _compare_rows("binding", _bindings(old), _bindings(new))
    return changes


def _compare_rows(kind: str, old: dict, new: dict) -> list[Change]:
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(Change("added", kind, name))
        elif name not in new:
            changes.append(Change("removed", kind, name))
        elif old[name] != new[name]:
            fields = _changed_fields(old[name], new[name])
            changes.append(Change("changed", kind, name, fields))
    return changes


def _changed_fields(old, new) -> tuple[tuple[str, str, str], ...]:
    fields = []
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        if name == "secret_hash":
            before, after = "(old)", "(new)"
        fields.append((name, str(before), str(after)))
    return tuple(fields)


def _services(sheet: Sheet) -> dict:
    return {item.service: item for item in sheet.services}


def _workspaces(sheet: Sheet) -> dict[str, WorkspaceRecord]:
    # Bindings are compared separately.
    return {
        item.name: msgspec.structs.replace(item, bindings=())
        for item in sheet.workspaces
    }


def _bindings(sheet: Sheet) -> dict[str, ServiceBinding]:
    return {
        f"{workspace.name}/{binding.service}": binding
        for workspace in sheet.workspaces
        for binding in workspace.bindings
    }
