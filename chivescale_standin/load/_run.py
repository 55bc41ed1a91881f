"""Runs a plan and checks what is in the table afterwards."""

import asyncio
import collections
import contextlib
import pathlib
import uuid

import msgspec

from chivescale_standin.load._link import Link, StatementError
from chivescale_standin.load._plan import (
    Latency,
    LoadPlan,
    LoadReport,
    Record,
)
from chivescale_standin.load._session import Board, Session, make_uid

WRITES = ("write", "transaction", "keyed")
SETUP_PAUSE_S = 0.1
PAGE_ROWS = 5000


async def run_load(plan: LoadPlan) -> LoadReport:
    """Run a plan.

    Parameters
    ----------
    plan : LoadPlan
        What to do.

    Returns
    -------
    report : LoadReport
        Counts, latencies and violations.

    Raises
    ------
    TimeoutError
        If the table cannot be created in ``plan.check_s``.
    """
    await _create_table(plan)
    board = Board(plan, uuid.uuid4().hex[:12])
    sessions = [Session(board, number) for number in range(plan.sessions)]
    await asyncio.gather(*(session.work() for session in sessions))
    report = summarize(board.records)
    report.seconds = board.now_s()
    present = await _read_table(plan, board.run)
    if present is not None:
        report.checked = True
        check_rows(report, board.records, present)
    if plan.records:
        _write_records(plan.records, board.records)
    return report


async def _create_table(plan: LoadPlan) -> None:
    statements = (
        f"CREATE TABLE IF NOT EXISTS {plan.table} (run VARCHAR(16) NOT NULL,"
        " uid VARCHAR(40) NOT NULL, session INT NOT NULL,"
        " sequence INT NOT NULL)",
        f"CREATE INDEX {plan.table}_last ON {plan.table}"
        " (run, session, sequence)",
    )
    link = Link(plan, 0)
    async with asyncio.timeout(plan.check_s):
        for sql in statements:
            while True:
                try:
                    await link.run(sql)
                    break
                except StatementError as err:
                    # The index exists from an earlier run.
                    if (
                        "CREATE INDEX" in sql
                        and not err.ran
                        and (err.text in ("1061", "[statement_failed]"))
                    ):
                        break
                await asyncio.sleep(SETUP_PAUSE_S)
    link.close()


async def _read_table(plan: LoadPlan, run: str):
    """Return how often each row is present; None if it stayed unreadable."""
    link = Link(plan, 0)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(plan.check_s):
            while True:
                try:
                    return await _read_pages(plan, link, run)
                except StatementError:
                    await asyncio.sleep(SETUP_PAUSE_S)
    return None


async def _read_pages(plan, link, run) -> collections.Counter:
    present = collections.Counter()
    for session in range(plan.sessions):
        after = 0
        while True:
            # A page ends with whole sequences: the last one may go on.
            rows, _ = await link.run(
                f"SELECT uid, sequence FROM {plan.table} WHERE run = '{run}'"
                f" AND session = {session} AND sequence > {after}"
                f" AND sequence <= {after + PAGE_ROWS}"
            )
            present.update(row[0] for row in rows)
            after += PAGE_ROWS
            if not rows and not await _has_more(
                plan, link, run, session, after
            ):
                break
    link.close()
    return present


async def _has_more(plan, link, run, session, after) -> bool:
    rows, _ = await link.run(
        f"SELECT COUNT(*) FROM {plan.table} WHERE run = '{run}'"
        f" AND session = {session} AND sequence > {after}"
    )
    return rows[0][0] > 0


def summarize(records: list[Record]) -> LoadReport:
    """Count operations, errors, latencies, stale reads and gaps."""
    report = LoadReport()
    counts = collections.Counter(f"{r.kind} {r.outcome}" for r in records)
    report.operations = dict(sorted(counts.items()))
    errors = collections.Counter(r.error for r in records if r.error)
    report.errors = dict(errors.most_common())
    for kind in sorted({record.kind for record in records}):
        good = [
            (record.end_s - record.start_s) * 1000
            for record in records
            if record.kind == kind and record.outcome in ("confirmed", "ok")
        ]
        if good:
            report.latency[kind] = _latency(sorted(good))
    for record in records:
        if record.outcome == "stale":
            text = f"session {record.session} at {record.start_s:.3f} s:"
            stale = f"{text} {record.detail}"
            if record.kind == "own_read":
                report.stale_own_reads.append(stale)
            else:
                report.stale_browses.append(stale)
    _find_gap(report, records)
    return report


def _latency(sorted_ms: list[float]) -> Latency:
    count = len(sorted_ms)
    return Latency(
        count,
        round(sorted_ms[count // 2], 3),
        round(sorted_ms[min(count - 1, count * 99 // 100)], 3),
        round(sorted_ms[-1], 3),
    )


def _find_gap(report: LoadReport, records: list[Record]) -> None:
    times = sorted(r.end_s for r in records if r.outcome == "confirmed")
    for before, after in zip(times, times[1:], strict=False):
        gap_ms = (after - before) * 1000
        if gap_ms > report.longest_gap_ms:
            report.longest_gap_ms = round(gap_ms, 3)
            report.gap_at_s = round(before, 3)


def check_rows(report, records: list[Record], present) -> None:
    """Compare what callers were told with the rows that are there."""
    for record in records:
        if record.kind not in WRITES:
            continue
        uids = [
            make_uid(record.session, record.sequence, part)
            for part in range(record.rows)
        ]
        name = f"{record.kind} {uids[0]}"
        found = [present.get(uid, 0) for uid in uids]
        if max(found) > 1:
            report.doubled.append(name)
        if min(found) == 0 < max(found):
            report.torn.append(name)
        if record.outcome == "confirmed" and min(found) == 0:
            report.lost.append(name)
        if record.outcome == "did_not_run" and max(found) > 0:
            report.ran_although_denied.append(name)
        if record.outcome == "unknown":
            report.unknown_present += int(max(found) > 0)
            report.unknown_absent += int(max(found) == 0)


def _write_records(path: str, records: list[Record]) -> None:
    lines = [msgspec.json.encode(record) for record in records]
    pathlib.Path(path).write_bytes(b"\n".join(lines) + b"\n")
