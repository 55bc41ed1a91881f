"""Warnings about a valid sheet: what has no effect or contradicts itself."""

import msgspec

from chivescale.messages import WorkspaceRecord
from chivescale.sheet._model import Sheet


class SheetWarning(msgspec.Struct, frozen=True):
    """Part of a valid sheet that its author hardly means.

    Attributes
    ----------
    kind : str
        ``unused`` for an entry that can never match, ``contradiction`` for
        limits of which one can never be reached.
    place : str
        Row kind and name; ``workspace/service`` for a binding.
    reason : str
        Description on one line.
    """

    kind: str
    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.place}: {self.reason}"


def find_warnings(sheet: Sheet) -> list[SheetWarning]:
    """Return the warnings about a sheet, sorted by place.

    Examples
    --------
    >>> from chivescale.messages import ServiceRecord
    >>> [str(w) for w in find_warnings(Sheet((ServiceRecord("ledger"),)))]
    ['unused: service ledger: no workspace is bound to it']
    """
    bound = {b.service for w in sheet.workspaces for b in w.bindings}
    warnings = [
        SheetWarning(
            "unused",
            f"service {service.service}",
            "no workspace is bound to it",
        )
        for service in sheet.services
        if service.service not in bound
    ]
    for workspace in sheet.workspaces:
        place = f"workspace {workspace.name}"
        if not workspace.bindings:
            reason = "it is bound to no service"
            warnings.append(SheetWarning("unused", place, reason))
        warnings += [
            SheetWarning("contradiction", place, reason)
            for reason in _contradictions(workspace)
        ]
    return sorted(warnings, key=lambda w: (w.place, w.kind, w.reason))


def _contradictions(workspace: WorkspaceRecord) -> list[str]:
    reasons = []
    connections = workspace.max_connections
    concurrent, rate = workspace.max_concurrent, workspace.max_rate
    if connections and concurrent > connections:
        # A connection runs one statement at a time.
        reasons.append(
            f"max_concurrent {concurrent} is never reached with"
            f" max_connections {connections}"
        )
    if rate and concurrent > rate:
        reasons.append(
            f"max_concurrent {concurrent} is never reached with max_rate"
            f" {rate:g} unless statements take over a second"
        )
    if 0 < rate < 1:
        reasons.append(f"max_rate {rate:g} allows no statement in a second")
    return reasons
