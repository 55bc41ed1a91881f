"""Steps for sheets."""

import csv
import io

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.sheet import (
    COLUMNS,
    MAX_SHEET_BYTES,
    MAX_SHEET_ROWS,
    Sheet,
    check_sheet,
    diff,
    digest,
    format_sheet,
    make_sheet,
    parse_sheet,
)

HEADER = ",".join(COLUMNS)
EXAMPLE = f"""{HEADER}
service,ledger,,,,,,,,3
service,lots,,,,,,,,
workspace,mill-1,,{"a" * 40},,,5,2,10.50,
workspace,mill-2,,{"B" * 40},,,,,,
binding,mill-1,ledger,,,,,,,
binding,mill-1,lots,,500,connection,,,,
binding,mill-2,ledger,,0,workspace,,,,
"""
PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


def rewrite(edit, **options):
    """Parse the example as CSV, edit its rows and write them again."""
    rows = edit(list(csv.reader(io.StringIO(EXAMPLE))))
    target = io.StringIO(newline="")
    csv.writer(target, **options).writerows(rows)
    return target.getvalue()


VARIANTS = {
    "a byte order mark": lambda: "\ufeff" + EXAMPLE,
    "Windows line endings": lambda: EXAMPLE.replace("\n", "\r\n"),
    "empty lines": lambda: EXAMPLE.replace("\n", "\n\n,,,\n"),
    "rows reversed": lambda: rewrite(lambda r: [r[0], *r[:0:-1]]),
    "columns reversed": lambda: rewrite(lambda r: [x[::-1] for x in r]),
    "all cells quoted": lambda: rewrite(lambda r: r, quoting=csv.QUOTE_ALL),
    "rate 10.50 written as 10.5": lambda: EXAMPLE.replace("10.50", "10.5"),
}

TEXTS = {
    "of no bytes": lambda: "",
    "of a header only": lambda: HEADER + "\n",
    "with a NUL in row 2": lambda: EXAMPLE.replace("ledger", "led\0ger", 1),
    "in Latin-1": lambda: EXAMPLE.replace("lots", "löts").encode("latin-1"),
    "of more bytes than allowed": lambda: "x" * (MAX_SHEET_BYTES + 1),
    "of more rows than allowed": lambda: (
        f"{HEADER}\n" + "x\n" * (MAX_SHEET_ROWS + 1)
    ),
}


@given("the example sheet")
def example_sheet(context):
    context.content = EXAMPLE


@when("it is parsed")
def parse_it(context):
    context.sheet = parse_sheet(context.content)
    assert not is_failure(context.sheet), context.sheet


@then("it has {services:d} services, {spaces:d} workspaces and {n:d} bindings")
def count_records(context, services, spaces, n):
    sheet = context.sheet
    assert len(sheet.services) == services
    assert len(sheet.workspaces) == spaces
    assert sum(len(item.bindings) for item in sheet.workspaces) == n
    assert sheet.workspaces[1].secret_hash == "b" * 40
    assert sheet.services[1] == ServiceRecord("lots", 3)


@then("its digest stays the same with {variant}")
def same_digest(context, variant):
    changed = VARIANTS[variant]()
    assert changed != EXAMPLE
    sheet = parse_sheet(changed)
    assert not is_failure(sheet), sheet
    assert digest(sheet) == digest(parse_sheet(EXAMPLE))


@when('"{old}" is replaced by "{new}"')
def replace_text(context, old, new):
    assert old in context.content
    context.content = context.content.replace(old, new, 1)


@when('"{old}" is replaced by ""')
def remove_text(context, old):
    replace_text(context, old, "")


@when("the sheet {text} is parsed")
def parse_text(context, text):
    context.content = TEXTS[text]()


@then('it is rejected in row {row:d} column "{column}" because "{reason}"')
def rejected(context, row, column, reason):
    sheet, defects = check_sheet(context.content)
    assert sheet is None
    found = [
        item
        for item in defects
        if (item.row, item.column) == (row, column) and reason in item.reason
    ]
    assert found, [str(item) for item in defects]
    failure = parse_sheet(context.content)
    assert failure.kind is ErrorKind.SHEET_INVALID
    assert str(found[0]) in failure.reason
    assert "\n" not in failure.reason


@then('it is rejected in row {row:d} column "" because "{reason}"')
def rejected_row(context, row, reason):
    rejected(context, row, "", reason)


@when("a sheet with {count:d} defective rows is parsed")
def many_defects(context, count):
    context.content = f"{HEADER}\n" + "x,,,,,,,,,\n" * count


@then("the reason names {count:d} defects and that there are more")
def bounded_reason(context, count):
    reason = parse_sheet(context.content).reason
    assert reason.count("column kind") == count
    assert reason.endswith(f"more than {count} defects")


@then('the reason does not contain "{text}"')
def reason_hides(context, text):
    failure = parse_sheet(context.content)
    assert failure.kind is ErrorKind.SHEET_INVALID
    assert text not in failure.reason


@then("a workspace name may have {spaces:d} characters and a service name {n}")
def longest_names(context, spaces, n):
    def parse(space, service):
        name, bound = "w" * space, "s" * service
        return parse_sheet(
            f"{HEADER}\nservice,{bound},,,,,,,,\n"
            f"workspace,{name},,{'a' * 40},,,,,,\n"
            f"binding,{name},{bound},,,,,,,\n"
        )

    assert not is_failure(parse(spaces, int(n)))
    assert is_failure(parse(spaces + 1, int(n)))
    assert is_failure(parse(spaces, int(n) + 1))


NAMES = strategies.from_regex(
    r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,8}", fullmatch=True
)
COUNTS = strategies.integers(0, 1_000_000)
RATES = strategies.integers(0, 10**15 - 1).map(lambda value: value / 10**6)


@strategies.composite
def sheets(draw):
    """Draw a valid sheet with at least one service."""
    services = draw(strategies.sets(NAMES, min_size=1, max_size=4))
    workspaces = []
    for name in draw(strategies.sets(NAMES, max_size=4)):
        bound = draw(strategies.sets(strategies.sampled_from(list(services))))
        bindings = [
            ServiceBinding(
                service,
                draw(strategies.integers(0, 86_400_000)),
                draw(strategies.sampled_from(("workspace", "connection"))),
            )
            for service in bound
        ]
        workspaces.append(
            WorkspaceRecord(
                name,
                draw(strategies.from_regex(r"[0-9a-f]{40}", fullmatch=True)),
                tuple(bindings),
                draw(COUNTS),
                draw(COUNTS),
                draw(RATES),
            )
        )
    sizes = strategies.integers(1, 9)
    return make_sheet(
        [ServiceRecord(name, draw(sizes)) for name in services], workspaces
    )


@then("any generated sheet survives formatting and parsing")
def survives_round_trip(context):
    @PROPERTY
    @hypothesis.given(sheets())
    def check(sheet):
        again = parse_sheet(format_sheet(sheet))
        assert again == sheet, again
        assert digest(again) == digest(sheet)
        assert diff(again, sheet) == []

    check()


def sheet_or_failure(content):
    outcome = parse_sheet(content)
    if is_failure(outcome):
        assert outcome.kind is ErrorKind.SHEET_INVALID
        assert outcome.reason.startswith("row ")
        assert len(outcome.reason.splitlines()) == 1
    else:
        assert isinstance(outcome, Sheet)


@then("any bytes give a sheet or a failure of kind sheet_invalid")
def any_bytes(context):
    @PROPERTY
    @hypothesis.given(strategies.binary(max_size=200) | strategies.text())
    def check(content):
        sheet_or_failure(content)

    check()


@then("any damage to the example sheet gives a sheet or a failure")
def any_damage(context):
    places = strategies.integers(0, len(EXAMPLE))

    @PROPERTY
    @hypothesis.given(places, places, strategies.text(max_size=6))
    def check(start, end, inserted):
        sheet_or_failure(EXAMPLE[:start] + inserted + EXAMPLE[end:])

    check()


@then('the changes are "{changes}"')
def changes_are(context, changes):
    new = parse_sheet(context.content)
    assert not is_failure(new), new
    found = [
        " ".join(
            [item.action, item.kind, item.name]
            + [text for field in item.fields for text in field]
        )
        for item in diff(parse_sheet(EXAMPLE), new)
    ]
    assert "; ".join(found) == changes, found


@then('the changes are ""')
def no_changes(context):
    changes_are(context, "")
