"""Commands that check, compare, apply and show sheets."""

import argparse
import asyncio

from chivescale import clock
from chivescale.cli._report import (
    ExitCode,
    Report,
    format_table,
    report_failure,
)
from chivescale.cli._status import query_entry_hosts
from chivescale.cli._system import System, read_file, run_with_system
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import SheetAnswer, SheetUpload
from chivescale.sheet import (
    Change,
    Sheet,
    check_sheet,
    diff,
    digest,
    find_warnings,
    format_sheet,
    make_sheet,
)

SHEET_PATH = "/v1/sheet"
POLL_INTERVAL_S = 0.1


async def check(options: argparse.Namespace) -> Report:
    """Check a sheet file; a running system is needed for `--in-force` only.

    Warnings do not refuse the sheet unless `--strict` is given.
    """
    sheet = _load_sheet(options.file)
    if isinstance(sheet, Report):
        return sheet
    report = _describe(sheet)
    if options.old is not None or options.in_force:
        compared = await compare(options)
        if compared.code != ExitCode.OK:
            return compared
        report.data |= compared.data
        report.lines += ["", *compared.lines]
    warnings = find_warnings(sheet)
    report.data["warnings"] = warnings
    report.lines += [str(warning) for warning in warnings]
    if warnings and options.strict:
        report.code = ExitCode.REFUSED
    return report


async def compare(options: argparse.Namespace) -> Report:
    """Compare a sheet file with another one or with the sheet in force."""
    new = _load_sheet(options.file)
    if isinstance(new, Report):
        return new
    if options.old is None:
        return await run_with_system(_compare_in_force(new), options)
    old = _load_sheet(options.old)
    if isinstance(old, Report):
        return old
    return _report_changes(diff(old, new))


async def apply(options: argparse.Namespace) -> Report:
    """Upload a sheet; idempotent for a given sheet number."""
    content = read_file(options.file)
    if is_failure(content):
        return report_failure(content)
    sheet = _parse_sheet(options.file, content)
    if isinstance(sheet, Report):
        return sheet
    return await run_with_system(_upload(content.decode("utf-8")), options)


async def show(system: System, options: argparse.Namespace) -> Report:
    """Show the sheet in force."""
    answer = await _fetch_sheet(system)
    if is_failure(answer):
        return report_failure(answer, reads_only=True)
    sheet = make_sheet(answer.services, answer.workspaces)
    if options.csv:
        report = Report(lines=format_sheet(sheet).splitlines())
    else:
        report = _describe(sheet)
        report.lines.insert(0, f"number      {answer.number}")
        report.lines += ["", *_binding_table(sheet)]
    report.data |= {
        "number": answer.number,
        "index": answer.index,
        "digest": answer.digest,
        "services": sheet.services,
        "workspaces": sheet.workspaces,
    }
    return report


def _upload(text: str):
    async def run(system: System, options: argparse.Namespace) -> Report:
        number = options.number
        if number is None:
            answer = await _fetch_sheet(system)
            if is_failure(answer):
                return report_failure(answer, reads_only=True)
            number = answer.number + 1
        answer = await system.leader.call(
            "POST",
            SHEET_PATH,
            SheetAnswer,
            SheetUpload(number, text),
            timeout_s=system.timeout_s,
        )
        if is_failure(answer):
            report = report_failure(answer)
            report.data["number"] = number
            if report.code == ExitCode.IN_DOUBT:
                report.errors.append(
                    f"repeat the command with --number {number} to learn "
                    "the outcome"
                )
            return report
        report = _report_accepted(answer)
        if options.wait:
            await _wait_in_force(system, answer.index, options.wait, report)
        return report

    return run


def _report_accepted(answer: SheetAnswer) -> Report:
    again = " (again)" if answer.repeated else ""
    return Report(
        ExitCode.OK,
        {
            "number": answer.number,
            "digest": answer.digest,
            "index": answer.index,
            "repeated": answer.repeated,
        },
        [f"sheet {answer.number} accepted{again} at index {answer.index}"],
    )


async def _wait_in_force(
    system: System, index: int, seconds: float, report: Report
) -> None:
    """Wait until every entry host has applied the index."""
    deadline = clock.now() + seconds
    while True:
        lagging = await _lagging_hosts(system, index)
        if lagging == []:
            report.data["late_hosts"] = []
            report.lines.append("in force on every entry host")
            return
        if clock.now() >= deadline:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    report.code = ExitCode.REFUSED
    if lagging is None:
        report.errors.append("no control host lists the entry hosts")
        return
    report.data["late_hosts"] = lagging
    report.errors += [f"not in force on {name}" for name in lagging]


async def _lagging_hosts(system: System, index: int) -> list[str] | None:
    answers = await query_entry_hosts(system)
    if is_failure(answers):
        return None
    return [
        host.host
        for host, status in answers
        if is_failure(status) or status.index < index
    ]


def _compare_in_force(new: Sheet):
    async def run(system: System, _options: argparse.Namespace) -> Report:
        answer = await _fetch_sheet(system)
        if is_failure(answer):
            return report_failure(answer, reads_only=True)
        old = make_sheet(answer.services, answer.workspaces)
        return _report_changes(diff(old, new))

    return run


async def _fetch_sheet(system: System) -> SheetAnswer | Failure:
    return await system.leader.call(
        "GET", SHEET_PATH, SheetAnswer, timeout_s=system.timeout_s
    )


def _load_sheet(path: str) -> Sheet | Report:
    content = read_file(path)
    if is_failure(content):
        return report_failure(content)
    return _parse_sheet(path, content)


def _parse_sheet(path: str, content: bytes) -> Sheet | Report:
    sheet, defects = check_sheet(content)
    if sheet is not None:
        return sheet
    return Report(
        ExitCode.REFUSED,
        {"kind": ErrorKind.SHEET_INVALID.value, "defects": defects},
        errors=[f"{path}: {defect}" for defect in defects],
    )


def _describe(sheet: Sheet) -> Report:
    bindings = sum(len(item.bindings) for item in sheet.workspaces)
    data = {
        "digest": digest(sheet),
        "service_count": len(sheet.services),
        "workspace_count": len(sheet.workspaces),
        "binding_count": bindings,
    }
    return Report(
        ExitCode.OK,
        data,
        [
            f"digest      {data['digest']}",
            f"services    {len(sheet.services)}",
            f"workspaces  {len(sheet.workspaces)}",
            f"bindings    {bindings}",
        ],
    )


def _binding_table(sheet: Sheet) -> list[str]:
    rows = [
        (
            workspace.name,
            binding.service,
            binding.staleness_ms,
            binding.session_scope,
            workspace.max_connections,
            workspace.max_concurrent,
            f"{workspace.max_rate:g}",
        )
        for workspace in sheet.workspaces
        for binding in workspace.bindings
    ]
    return format_table(
        (
            "workspace",
            "service",
            "staleness_ms",
            "session_scope",
            "connections",
            "concurrent",
            "rate",
        ),
        rows,
    )


def _report_changes(changes: list[Change]) -> Report:
    lines = []
    for change in changes:
        lines.append(f"{change.action} {change.kind} {change.name}")
        for field, old, new in change.fields:
            lines.append(f"    {field}: {old} -> {new}")
    return Report(ExitCode.OK, {"changes": changes}, lines or ["no changes"])
