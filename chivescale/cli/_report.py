"""Result of a command and its output."""

import collections.abc
import enum
import json
import sys
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    IN_DOUBT = 4


class Report(msgspec.Struct):
    """Result of a command.

    Attributes
    ----------
    code : ExitCode
        Exit code.
    data : dict
        Output with ``--json``.
    lines : list of str
        Text output.
    errors : list of str
        Error messages, written to standard error.
    """

    code: ExitCode = ExitCode.OK
    data: dict[str, typing.Any] = msgspec.field(default_factory=dict)
    lines: list[str] = msgspec.field(default_factory=list)
    errors: list[str] = msgspec.field(default_factory=list)


_USAGE_KINDS = (ErrorKind.SETTINGS_INVALID, ErrorKind.BAD_REQUEST)
_UNREACHABLE_KINDS = (
    ErrorKind.UNREACHABLE,
    ErrorKind.NOT_LEADER,
    ErrorKind.NOT_READY,
    ErrorKind.NO_QUORUM,
)


def report_failure(failure: Failure, *, reads_only: bool = False) -> Report:
    """Create the report of a failed command.

    Parameters
    ----------
    failure : Failure
        Cause of the failure.
    reads_only : bool
        Whether the command changes nothing, so that a lost response leaves
        no doubt about the outcome.
    """
    if failure.kind in _USAGE_KINDS:
        code = ExitCode.USAGE
    elif failure.kind in _UNREACHABLE_KINDS:
        code = ExitCode.UNREACHABLE
    elif failure.may_have_run:
        code = ExitCode.UNREACHABLE if reads_only else ExitCode.IN_DOUBT
    else:
        code = ExitCode.REFUSED
    reasons = failure.reason.split("\n")
    return Report(
        code,
        {"kind": failure.kind.value, "reasons": reasons},
        errors=[f"{failure.kind.value}: {reason}" for reason in reasons],
    )


def print_report(report: Report, as_json: bool) -> None:
    """Write a report to standard output and standard error."""
    if as_json:
        data = {"ok": report.code == ExitCode.OK, **report.data}
        print(json.dumps(msgspec.to_builtins(data), sort_keys=True))
        return
    for line in report.lines:
        print(line)
    for line in report.errors:
        print(line, file=sys.stderr)


def format_table(
    header: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> list[str]:
    """Format rows as aligned columns with a header."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    if len(cells) == 1:
        return []
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
