"""Steps for the calculation of larger sizes."""

import collections

import msgspec
from behave import given, then, use_step_matcher, when

from benchmarks.capacity import _page
from benchmarks.capacity._clock import point
from benchmarks.capacity._fit import fit_all, fit_line
from benchmarks.capacity._model import Row
from benchmarks.capacity._tables import make_tables

# Another processor or numpy build may round the last digits differently.
TOLERANCE = 1e-4


@given("the committed summary and points")
def committed(context):
    context.lines = _page.read_lines()
    context.points = _page.read_points(_page.RESULTS / "points.jsonl")


@when("the tables are made from the summary")
def make(context):
    context.tables = make_tables(context.lines)


@then("the page holds exactly these tables")
def page_holds(context):
    shown = _page.tables_of(_page.PAGE.read_text())
    assert set(shown) == set(context.tables), set(shown) ^ set(context.tables)
    for name, table in context.tables.items():
        assert shown[name] == table, f"{name} differs; run the page command"


@when("lines are fitted to the points")
def fit(context):
    context.fitted = fit_all(context.points)


@then("they equal the summary")
def equal_summary(context):
    assert set(context.fitted) == set(context.lines)
    for name, line in context.fitted.items():
        stored = msgspec.structs.asdict(context.lines[name])
        for key, value in msgspec.structs.asdict(line).items():
            if isinstance(value, float):
                scale = max(abs(value), abs(stored[key]), 1.0)
                assert abs(value - stored[key]) <= TOLERANCE * scale, name
            else:
                assert value == stored[key], (name, key)


@then("each series that was varied has at least {least:d} points")
def enough_points(context, least):
    counts = collections.Counter(each.series for each in context.points)
    few = {n: c for n, c in counts.items() if 1 < c < least}
    # A question over an open and over a new connection: two cases.
    few = {n: c for n, c in few.items() if "transport.position" not in n}
    assert not few, few


@then("the table of slopes names every series")
def names_every_series(context):
    table = make_tables(context.lines)["slopes"]
    missing = [n for n in context.lines if f"| {n} |" not in table]
    assert not missing, missing


@given("the points {text}")
def some_points(context, text):
    pairs = [pair.split(":") for pair in text.split()]
    context.line = fit_line(
        [point("a.b", "n", float(x), "us", [float(y)]) for x, y in pairs]
    )


@then("the slope is {slope:g} and the value at zero is {intercept:g}")
def line_is(context, slope, intercept):
    assert abs(context.line.slope - slope) < 1e-6, context.line
    assert abs(context.line.intercept - intercept) < 1e-6, context.line


@then("the residual is {residual:g} of the largest value")
def residual_is(context, residual):
    assert abs(context.line.residual - residual) < 1e-3, context.line


@given("a line of values {first:g} and {second:g} against {budget:g}")
def row_of(context, first, second, budget):
    context.row = Row("", "", "", (first, second), budget)


use_step_matcher("re")


@then('its verdict is "(?P<verdict>.*)"')
def verdict_is(context, verdict):
    assert context.row.verdict == verdict, context.row.verdict


use_step_matcher("parse")
