"""Commands that inspect the data folder of a control host."""

import argparse
import pathlib

from chivescale.agreement import Recovered, check_folder, read_folder
from chivescale.cli._report import ExitCode, Report, report_failure
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Command, decode
from chivescale.sheet import digest, format_sheet, make_sheet
from chivescale.state import ClusterState

# Kind of log entries that change the state.
COMMAND_KIND = "command"


def check(options: argparse.Namespace) -> Report:
    """Verify every record of a folder without modifying it.

    The host should be stopped, since a record that is being written appears
    torn.
    """
    folder = pathlib.Path(options.folder)
    if not folder.is_dir():
        reason = f"{folder}: no such folder"
        return report_failure(Failure(ErrorKind.SETTINGS_INVALID, reason))
    found = check_folder(folder)
    data = {
        "incarnation": found.incarnation,
        "term": found.term,
        "entries": found.entries,
        "last_index": found.last_index,
        "snapshot_index": found.snapshot_index,
        "torn_bytes": found.torn_bytes,
    }
    lines = [f"{name:<15} {value}" for name, value in data.items()]
    if found.torn_bytes:
        lines.append("the next start removes the torn record at the end")
    if found.error is not None:
        report = report_failure(found.error)
        return Report(
            ExitCode.REFUSED, data | report.data, lines, report.errors
        )
    if not found.incarnation:
        reason = f"{folder}: holds no control data"
        return Report(
            ExitCode.REFUSED,
            data | {"reasons": [reason]},
            errors=[reason],
        )
    return Report(ExitCode.OK, data, lines)


def snapshot(options: argparse.Namespace) -> Report:
    """Show the state in a folder, rebuilt from its snapshot and log.

    Intended for recovery after the loss of all control hosts. The last
    entries of the log may be uncommitted.
    """
    content = read_folder(options.folder)
    if content.error is not None:
        report = report_failure(content.error)
        report.code = ExitCode.REFUSED
        return report
    if not content.exists:
        reason = f"{options.folder}: holds no control data"
        return report_failure(Failure(ErrorKind.SETTINGS_INVALID, reason))
    recovered = content.recovered()
    state = _replay(recovered)
    if is_failure(state):
        report = report_failure(state)
        report.code = ExitCode.REFUSED
        return report
    return _describe(state, recovered, options.csv)


def _replay(recovered: Recovered) -> ClusterState | Failure:
    state = ClusterState()
    if recovered.snapshot is not None:
        state = ClusterState.from_bytes(recovered.snapshot.data)
    for entry in recovered.entries:
        if is_failure(state):
            break
        if entry.kind != COMMAND_KIND:
            continue
        command = decode(entry.data, Command)
        if is_failure(command):
            reason = f"entry {entry.index}: {command.reason}"
            return Failure(ErrorKind.STORAGE_CORRUPT, reason)
        state.apply(entry.index, command)
    return state


def _describe(
    state: ClusterState, recovered: Recovered, as_csv: bool
) -> Report:
    sheet = make_sheet(state.services.values(), state.workspaces.values())
    data = {
        "index": state.index,
        "incarnation": recovered.incarnation,
        "log_entries": len(recovered.entries),
        "sheet_number": state.sheet.number if state.sheet else 0,
        "digest": digest(sheet),
        "services": len(state.services),
        "workspaces": len(state.workspaces),
        "hosts": len(state.hosts),
        "endpoints": len(state.endpoints),
    }
    if as_csv:
        lines = format_sheet(sheet).splitlines()
    else:
        lines = [f"{name:<13} {value}" for name, value in data.items()]
    return Report(ExitCode.OK, data | {"sheet": sheet}, lines)
