"""Commands that drain entry hosts and replace control hosts."""

import argparse
import asyncio

from chivescale import clock
from chivescale.cli._report import ExitCode, Report, report_failure
from chivescale.cli._status import query_entry_hosts
from chivescale.cli._system import System
from chivescale.errors import is_failure
from chivescale.messages import Accepted, DrainRequest, ReplaceRequest

POLL_INTERVAL_S = 0.2


async def drain(system: System, options: argparse.Namespace) -> Report:
    """Drain an entry host; the command is idempotent."""
    answer = await system.leader.call(
        "POST",
        "/v1/hosts/drain",
        Accepted,
        DrainRequest(options.host),
        timeout_s=system.timeout_s,
    )
    report = _report_outcome(answer, f"host {options.host} drains")
    if report.code == ExitCode.OK and options.wait:
        await _wait_drained(system, options.host, options.wait, report)
    return report


async def replace(system: System, options: argparse.Namespace) -> Report:
    """Readmit a control host that lost its disk; idempotent."""
    answer = await system.leader.call(
        "POST",
        "/v1/members/replace",
        Accepted,
        ReplaceRequest(options.name),
        timeout_s=system.timeout_s,
    )
    return _report_outcome(answer, f"control host {options.name} is admitted")


async def _wait_drained(
    system: System, name: str, seconds: float, report: Report
) -> None:
    """Wait until the host serves no caller or has stopped."""
    deadline = clock.now() + seconds
    while clock.now() < deadline:
        answers = await query_entry_hosts(system)
        if not is_failure(answers) and _is_drained(answers, name):
            report.data["drained"] = True
            report.lines.append(f"host {name} serves no caller")
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    report.code = ExitCode.REFUSED
    report.data["drained"] = False
    report.errors.append(f"host {name} still serves after {seconds:g} s")


def _is_drained(answers: list, name: str) -> bool:
    for host, status in answers:
        if host.host == name:
            if is_failure(status):
                return True
            if status.drained is not None:
                return status.drained
            return status.draining and not status.callers
    return True


def _report_outcome(answer, line: str) -> Report:
    if is_failure(answer):
        return report_failure(answer)
    code = ExitCode.OK if answer.ok else ExitCode.REFUSED
    reason = f": {answer.reason}" if answer.reason else ""
    if not answer.ok:
        return Report(
            code, {"reason": answer.reason}, errors=[f"refused{reason}"]
        )
    return Report(code, {"reason": answer.reason}, [line + reason])
