"""Formatting of a sheet as CSV text."""

import csv
import io

from chivescale.sheet._model import COLUMNS, Sheet


def format_sheet(sheet: Sheet) -> str:
    """Format a sheet as CSV; parsing the result gives an equal sheet."""
    target = io.StringIO(newline="")
    writer = csv.DictWriter(target, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    for service in sheet.services:
        writer.writerow(
            {
                "kind": "service",
                "name": service.service,
                "group_size": service.group_size,
            }
        )
    for workspace in sheet.workspaces:
        writer.writerow(
            {
                "kind": "workspace",
                "name": workspace.name,
                "secret_hash": workspace.secret_hash,
                "max_connections": workspace.max_connections,
                "max_concurrent": workspace.max_concurrent,
                "max_rate": _format_decimal(workspace.max_rate),
            }
        )
        for binding in workspace.bindings:
            writer.writerow(
                {
                    "kind": "binding",
                    "name": workspace.name,
                    "service": binding.service,
                    "staleness_ms": binding.staleness_ms,
                    "session_scope": binding.session_scope,
                }
            )
    return target.getvalue()


def _format_decimal(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")
