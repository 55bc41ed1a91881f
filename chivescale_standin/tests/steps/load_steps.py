"""Steps for the load tool."""

import asyncio

from behave import given, then, when

from chivescale_standin.load import (
    LoadPlan,
    LoadReport,
    Record,
    check_rows,
    run_load,
    summarize,
)
from chivescale_standin.load._link import Link, StatementError

FINDINGS = ("lost", "doubled", "torn", "ran_although_denied")


@given("a {kind} with outcome {outcome}")
def operation(context, kind, outcome):
    rows = 2 if kind == "transaction" else 1
    context.record = Record(
        kind, 3, 0.0, outcome=outcome, sequence=7, rows=rows
    )


@when("its rows are present {counts} times")
def rows_present(context, counts):
    present = {
        f"3-7-{part}": int(count)
        for part, count in enumerate(counts.split(","))
    }
    context.report = LoadReport(checked=True)
    check_rows(context.report, [context.record], present)


@then("the report names {finding}")
def report_names(context, finding):
    report = context.report
    found = [name for name in FINDINGS if getattr(report, name)]
    expected = [] if finding == "nothing" else sorted(finding.split(","))
    assert sorted(found) == expected, found
    assert report.sound == (not expected)


@when("the load tool reads from e0 and from e1, which is cut off")
def reads_from_cut(context):
    group = context.group
    plan = LoadPlan(
        tuple(endpoint.mysql_address for endpoint in group.endpoints),
        seconds=1.0,
        sessions=2,
        staleness_ms=50,
    )
    # The table has to exist on the replica as well.
    group.run(run_load(LoadPlan(plan.addresses[:1], seconds=0.1)))
    group.caught_up(1, 0)
    group.fault(1, cut_all=True)
    context.report = group.run(run_load(plan))


@then("it reports stale own reads and nothing else")
def reports_stale(context):
    report = context.report
    assert report.stale_own_reads, report
    assert not report.sound
    assert not (report.lost or report.doubled or report.torn)


@given("writes confirmed at {times} seconds")
def confirmed_at(context, times):
    numbers = times.replace(" and ", ", ").split(", ")
    context.records = [
        Record("write", 0, 0.0, float(number), "confirmed")
        for number in numbers
    ]


@then("the report gives a gap of {gap:d} ms at {at:g} s")
def gap(context, gap, at):
    report = summarize(context.records)
    assert round(report.longest_gap_ms) == gap, report
    assert report.gap_at_s == at


@when("a load connection fails by {event}")
def load_fails(context, event):
    group = context.group
    number = 1 if event == "a refused statement" else 0
    address = group.endpoints[number].mysql_address
    if event == "a refused connection":
        address = "127.0.0.1:1"
    link = Link(LoadPlan((address,), timeout_s=3.0), 0)

    async def run():
        if "loss" in event:
            await link.run("SELECT 1")
            session = next(iter(group.endpoints[0].server.sessions.values()))
            group.endpoints[0].faults.slow_s = 0.2
            write = asyncio.create_task(
                link.run("INSERT INTO t (v) VALUES ('x')")
            )
            await asyncio.sleep(0.05)
            assert session.executing
            link.connection._transport.abort()
        else:
            write = link.run("INSERT INTO t (v) VALUES ('x')")
        try:
            await write
        except StatementError as err:
            return err
        finally:
            link.close()

    context.error = group.run(run())


@then("the write may have run: {ran}")
def may_have_run(context, ran):
    assert context.error.ran == (ran == "yes"), context.error
