"""Command-line interface of ``chivescale``."""

import argparse
import asyncio
import collections.abc
import inspect

import chivescale
from chivescale.cli import _control, _data, _fleet, _local, _sheet, _status
from chivescale.cli._report import print_report
from chivescale.cli._system import (
    Command,
    add_access_options,
    positive_seconds,
    run_with_system,
)

EXIT_CODES = (
    "Exit codes: 0 ok; 1 refused or unhealthy; 2 wrong usage or settings; "
    "3 unreachable, nothing was changed; 4 in doubt, repeat the command."
)
MAX_SHEET_NUMBER = (1 << 53) - 1
FLEET_TIMEOUT_S = 2.0


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    report = options.run(options)
    if inspect.isawaitable(report):
        report = asyncio.run(_await_report(report))
    print_report(report, options.json)
    return int(report.code)


async def _await_report(report: collections.abc.Awaitable):
    return await report


def _with_system(command: Command):
    def run(options: argparse.Namespace):
        return run_with_system(command, options)

    return run


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="chivescale",
        description="Operate a chivescale system.",
        epilog=EXIT_CODES,
    )
    parser.add_argument(
        "--version", action="version", version=chivescale.__version__
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_local(commands)
    _add_sheet(
        _add_group(commands, "sheet", "check, compare and apply sheets")
    )
    status = _add_command(
        commands,
        "status",
        "show the system",
        _with_system(_status.show_status),
    )
    add_access_options(status)
    status.add_argument("--service", help="only this service")
    fleet = _add_command(
        commands,
        "fleet",
        "sum up the metrics of many processes and name outliers",
        _fleet.show_fleet,
    )
    fleet.add_argument(
        "file", metavar="FILE", help="ip:port/path of metrics, one a line"
    )
    fleet.add_argument(
        "--timeout",
        type=positive_seconds,
        default=FLEET_TIMEOUT_S,
        metavar="S",
        help="give up a process after S seconds",
    )
    drain = _add_command(
        commands, "drain", "drain an entry host", _with_system(_control.drain)
    )
    add_access_options(drain)
    drain.add_argument("host", metavar="HOST")
    _add_wait(drain, "until the host serves no caller")
    control = _add_group(commands, "control", "change control hosts")
    replace = _add_command(
        control,
        "replace",
        "admit a control host that lost its disk",
        _with_system(_control.replace),
    )
    add_access_options(replace)
    replace.add_argument("name", metavar="NAME")
    _add_data(
        _add_group(commands, "data", "examine a data folder of a control host")
    )
    return parser


def _add_local(commands) -> None:
    check = _add_command(
        commands,
        "check-settings",
        "check settings files",
        _local.check_settings,
    )
    check.add_argument("files", nargs="+", metavar="FILE")
    _add_command(
        commands,
        "hash-secret",
        "hash a workspace secret from standard input",
        _local.hash_secret,
    )


def _add_sheet(sheet) -> None:
    check = _add_command(sheet, "check", "check a file", _sheet.check)
    check.add_argument("file", metavar="FILE")
    check.add_argument(
        "--strict", action="store_true", help="refuse a sheet with warnings"
    )
    former = check.add_mutually_exclusive_group()
    former.add_argument(
        "--old", metavar="FILE", help="also show what differs from this file"
    )
    former.add_argument(
        "--in-force",
        action="store_true",
        help="also show what differs from the sheet in force",
    )
    add_access_options(check)
    compare = _add_command(
        sheet,
        "diff",
        "show what a file changes in the sheet in force",
        _sheet.compare,
    )
    compare.add_argument("file", metavar="FILE")
    compare.add_argument(
        "--old", metavar="FILE", help="compare with this file instead"
    )
    add_access_options(compare)
    apply = _add_command(sheet, "apply", "put a sheet in force", _sheet.apply)
    apply.add_argument("file", metavar="FILE")
    number = apply.add_mutually_exclusive_group(required=True)
    number.add_argument(
        "--number", type=_parse_sheet_number, help="number of the sheet"
    )
    number.add_argument(
        "--next",
        action="store_true",
        help="use the number after the one in force",
    )
    add_access_options(apply)
    _add_wait(apply, "until it is in force on every entry host")
    show = _add_command(
        sheet, "show", "show the sheet in force", _with_system(_sheet.show)
    )
    show.add_argument(
        "--csv", action="store_true", help="write it as a sheet file"
    )
    add_access_options(show)


def _add_data(data) -> None:
    for name, text, command in (
        ("check", "check the files of a folder", _data.check),
        ("snapshot", "show the state that a folder holds", _data.snapshot),
    ):
        parser = _add_command(data, name, text, command)
        parser.add_argument("folder", metavar="FOLDER")
        if name == "snapshot":
            parser.add_argument(
                "--csv", action="store_true", help="write its sheet"
            )


def _add_wait(parser: argparse.ArgumentParser, text: str) -> None:
    parser.add_argument(
        "--wait",
        type=positive_seconds,
        metavar="S",
        help=f"wait up to S seconds {text}",
    )


def _add_group(commands, name: str, text: str):
    parser = commands.add_parser(name, help=text, epilog=EXIT_CODES)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def _add_command(
    commands, name: str, text: str, run
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name, help=text, description=text.capitalize(), epilog=EXIT_CODES
    )
    parser.add_argument(
        "--json", action="store_true", help="write one JSON object"
    )
    parser.set_defaults(run=run)
    return parser


def _parse_sheet_number(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise argparse.ArgumentTypeError("expected a whole number")
    if not 1 <= int(text[:20]) <= MAX_SHEET_NUMBER:
        raise argparse.ArgumentTypeError(f"expected 1 to {MAX_SHEET_NUMBER}")
    return int(text)
