"""Steps for statistics, records and report."""

import json
import pathlib
import re
import tempfile

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks import report
from benchmarks.__main__ import NAMES
from benchmarks.records import IncompleteRun, Recorder
from benchmarks.stats import latest_at, longest_gap, percentile

FILE = "trial.jsonl"


def numbers(text):
    return [] if text == "none" else [float(part) for part in text.split()]


@then("percentile {rank:d} of {values} is refused")
def percentile_refused(context, values, rank):
    try:
        percentile(numbers(values), rank)
    except ValueError:
        return
    raise AssertionError("not refused")


@then("percentile {rank:d} of {values} is {result:g}")
def percentile_is(context, values, rank, result):
    assert percentile(numbers(values), rank) == result


@then("any percentile of any values has its share at or below it")
def percentile_share(context):
    finite = st.floats(allow_nan=False, allow_infinity=False)

    @settings(derandomize=True)
    @for_all(st.lists(finite, min_size=1), st.integers(1, 100))
    def check(values, rank):
        found = percentile(values, rank)
        assert found in values
        below = sum(value <= found for value in values)
        assert below * 100 >= rank * len(values)
        smaller = sum(value < found for value in values)
        assert smaller * 100 < rank * len(values)

    check()


@when("writes are accepted at {times}")
def accepted_at(context, times):
    context.times = numbers(times)


@then("the longest gap between {start:g} and {end:g} is {gap}")
def gap_is(context, start, end, gap):
    found = longest_gap(context.times, start, end)
    if gap == "none":
        assert found is None, found
    else:
        assert abs(found[1] - found[0] - float(gap)) < 1e-9, found


@when("positions 10, 20 and 30 are reached at 1, 2 and 3 s")
def positions_reached(context):
    context.series = [(1.0, 10), (2.0, 20), (3.0, 30)]


@then("the position at {at:g} s is {position}")
def position_is(context, at, position):
    wanted = None if position == "none" else int(position)
    assert latest_at(context.series, at) == wanted


def new_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    return context.folder / FILE


@given(
    "a complete run with figure gap of {value:g} from {count:d} of {need:d}"
    " measurements"
)
def complete_run(context, value, count, need):
    with Recorder(new_folder(context), "trial", False, 7) as recorder:
        recorder.row(gap_ms=value)
        recorder.row(gap_ms=value)
        recorder.figure("gap", value, count, need)


@given("a run that fails after its first row")
def failing_run(context):
    try:
        with Recorder(new_folder(context), "trial", False, 7) as recorder:
            recorder.row(gap_ms=1.0)
            raise OSError("stopped")
    except OSError:
        pass


@given("the run is changed: {change}")
def change_run(context, change):
    path = context.folder / FILE
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    match change:
        case "quick":
            lines[0]["quick"] = True
        case "no end":
            lines.pop()
        case "row removed":
            lines.pop(1)
        case "no value":
            lines[3]["value"] = None
    text = "".join(json.dumps(line) + "\n" for line in lines)
    path.write_text(text[:-5] if change == "torn line" else text)
    if change == "file removed":
        path.unlink()


@then('the template "{template}" gives "{text}"')
def template_gives(context, template, text):
    assert report.fill(template, context.folder) == text


@then('the template "{template}" is refused with "{reason}"')
def template_refused(context, template, reason):
    try:
        page = report.fill(template, context.folder)
    except IncompleteRun as err:
        assert reason in str(err), err
        return
    raise AssertionError(page)


@then("the template of the page names known benchmarks only")
def known_benchmarks(context):
    names = re.findall(r"\{\{([^:}]*)", report.TEMPLATE.read_text())
    assert names and set(names) <= set(NAMES), set(names) - set(NAMES)


@then("the page without a run shows no figure")
def page_without_run(context):
    page = report.fill_empty(report.TEMPLATE.read_text())
    assert "{{" not in page and report.NOT_RUN in page
