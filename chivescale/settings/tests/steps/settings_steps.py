"""Steps for settings."""

import json
import pathlib
import shutil
import tempfile

import hypothesis
import msgspec
import trustme
from behave import given, then, when
from hypothesis import strategies

from chivescale.errors import ErrorKind, is_failure
from chivescale.settings import Settings, load_settings, parse_settings
from chivescale.settings._rules import RANGES

EXAMPLE = """
[host]
name = 'c1'
zone = 'a'
roles = ['entry', 'control']
data_dir = 'data'
[listen]
api = '127.0.0.1:7001'
mysql = '127.0.0.1:7002'
control_api = '127.0.0.1:7003'
metrics = '127.0.0.1:7004'
[cluster]
secret_file = 'secret'
endpoint_secret_file = 'endpoint'
control = [
  {name='c1', address='127.0.0.1:7003'},
  {name='c2', address='127.0.0.2:7003'},
]
[tls]
api_key = ''
[agreement]
heartbeat_ms = 50
[failover]
silence_floor_ms = 350
[pool]
idle_s = 30.0
"""


@given("the example settings")
def example_settings(context):
    context.content = EXAMPLE


@then("they are accepted")
def accepted(context):
    settings = parse_settings(context.content)
    assert isinstance(settings, Settings), settings


@when('the line "{old}" becomes "{new}"')
def edit_line(context, old, new):
    assert context.content.count(old) == 1, old
    new = new.replace("\\n", "\n")
    context.content = context.content.replace(old, new)


@when('the line "{old}" becomes ""')
def remove_line(context, old):
    edit_line(context, old, "")


@then('the only error is "{error}"')
def only_error(context, error):
    failure = parse_settings(context.content)
    assert is_failure(failure), failure
    assert failure.kind is ErrorKind.SETTINGS_INVALID
    lines = failure.reason.split("\n")
    assert len(lines) == 1, lines
    assert lines[0].startswith(error), lines


@then("there are {count:d} errors")
def count_errors(context, count):
    lines = parse_settings(context.content).reason.split("\n")
    assert len(lines) == count, lines


@then("each numeric setting and no other key is in the table of ranges")
def every_number_has_range(context):
    numbers = {
        f"{section.name}.{field.name}"
        for section in msgspec.structs.fields(Settings)
        for field in msgspec.structs.fields(section.type)
        if field.type in (int, float)
    }
    assert numbers == RANGES.keys(), numbers ^ RANGES.keys()


@then("the page has a row with default and range for each setting")
def page_states_settings(context):
    page = pathlib.Path(__file__).parents[4] / "docs" / "OPERATIONS.md"
    rows = {}
    for line in page.read_text().splitlines():
        if line.startswith("| `"):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            rows[cells[0].strip("`")] = cells
    for section in msgspec.structs.fields(Settings):
        for field in msgspec.structs.fields(section.type):
            key = f"{section.name}.{field.name}"
            assert key in rows, key
            check_row(key, field, rows[key])


def check_row(key, field, row):
    expected = ""
    if not field.required:
        default = field.default
        if isinstance(default, tuple):
            default = list(default)
        expected = f"`{json.dumps(default)}`"
    assert row[1] == expected, (key, row[1], expected)
    if key in RANGES:
        low, high = RANGES[key]
        assert row[2] == f"{low} to {high}", (key, row[2])


@given("the example settings in a file")
def example_file(context):
    context.folder = pathlib.Path(tempfile.mkdtemp()).resolve()
    context.add_cleanup(shutil.rmtree, context.folder)
    files = "caller_certificate = 'cert'\ncaller_key = 'key'\napi_ca = 'ca'\n"
    text = EXAMPLE.replace("[tls]\n", "[tls]\n" + files)
    (context.folder / "settings").write_text(text)
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(context.folder / "key")
    issued.cert_chain_pems[0].write_to_path(context.folder / "cert")
    authority.cert_pem.write_to_path(context.folder / "ca")
    (context.folder / "secret").write_bytes(b"s" * 16 + b"\n")
    (context.folder / "endpoint").write_bytes(b"e" * 8)


@when("its file {name} is missing")
def file_missing(context, name):
    (context.folder / name).unlink()


@when("its file {name} is a folder")
def file_is_folder(context, name):
    (context.folder / name).unlink()
    (context.folder / name).mkdir()


@when("its file {name} is not UTF-8")
def file_not_utf8(context, name):
    (context.folder / name).write_bytes(b"\xff\xfe")


@when("its file {name} is no certificate")
def file_no_certificate(context, name):
    (context.folder / name).write_text("text")


@when("its file {name} is of another one")
def file_of_other_certificate(context, name):
    issued = trustme.CA().issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(context.folder / name)


@when("its file {name} has {count:d} bytes")
def file_of_size(context, name, count):
    (context.folder / name).write_bytes(b"x" * count + b" \n")


@then('loading gives the error "{error}"')
def loading_fails(context, error):
    path = context.folder / "settings"
    failure = load_settings(path)
    assert is_failure(failure), failure
    error = error.replace("{folder}", str(context.folder))
    assert failure.reason.startswith(f"{path}: "), failure
    assert error in failure.reason, failure
    assert "\n" not in failure.reason, failure


@then("loading gives absolute names below that folder")
def absolute_names(context):
    settings = load_settings(context.folder / "settings")
    assert isinstance(settings, Settings), settings
    assert settings.cluster.secret_file == str(context.folder / "secret")
    assert settings.host.data_dir == str(context.folder / "data")
    assert settings.tls.api_key == ""


@then("any text gives settings or a failure of kind settings_invalid")
def any_text(context):
    places = strategies.integers(0, len(EXAMPLE))

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(places, places, strategies.text(max_size=8))
    def check(start, end, inserted):
        for text in (inserted, EXAMPLE[:start] + inserted + EXAMPLE[end:]):
            outcome = parse_settings(text)
            if is_failure(outcome):
                assert outcome.kind is ErrorKind.SETTINGS_INVALID
                for line in outcome.reason.split("\n"):
                    assert line.startswith("settings: "), outcome
            else:
                assert isinstance(outcome, Settings)

    check()
