"""Steps for the operator's command line."""

import contextlib
import io
import os
import pathlib
import shlex
import shutil
import sys
import tempfile
from unittest import mock

from behave import given, then, when
from control_stub import ControlStub
from mysql_mimic.auth import NativePasswordAuthPlugin

from chivescale import cli
from chivescale.agreement import Configuration as Members
from chivescale.agreement import DurableLog, Entry, HardState, Snapshot
from chivescale.cli import _leader
from chivescale.messages import AcceptSheet, encode
from chivescale.sheet import COLUMNS, digest, format_sheet, parse_sheet
from chivescale.state import ClusterState

SECRET = b"s" * 32
GOOD = (
    ",".join(COLUMNS) + "\nservice,ledger,,,,,,,,3\n"
    f"workspace,mill-1,,{'a' * 40},,,,,,\nbinding,mill-1,ledger,,,,,,,\n"
)
OTHER = GOOD.replace("a,,,,,,", "a,,,,,7,")
ODD = GOOD.replace("a,,,,,,", "a,,,4,9,,") + "service,creel,,,,,,,,3\n"
BAD = GOOD.replace("aaaa", "zaaa", 1)
SETTINGS = """
[host]
name = 'entry-1'
zone = 'a'
[listen]
api = '127.0.0.1:7001'
mysql = '127.0.0.1:7002'
[cluster]
secret_file = 'secret'
control = [{name='c1', address='127.0.0.1:7003'}]
"""
FILES = {
    "good.csv": GOOD,
    "other.csv": OTHER,
    "odd.csv": ODD,
    "bad.csv": BAD,
    "good.toml": SETTINGS,
    "copy.toml": SETTINGS,
    "bad.toml": SETTINGS.replace("host", "hosts"),
    "secret": SECRET.decode(),
    "short": "short",
    "words.txt": "# metrics\nhello\n",
    "nobody.txt": "127.0.0.1:1\n",
}
ACCESS = "--control 127.0.0.1:1 --secret-file secret --timeout 0.3"


@given("a folder with the usual files")
def usual_files(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    previous = os.getcwd()
    context.add_cleanup(os.chdir, previous)
    os.chdir(folder)
    for name, content in FILES.items():
        (folder / name).write_text(content)
    context.folder = folder
    context.control = ""


def run_command(context, arguments, standard_input=b""):
    output, errors = io.StringIO(), io.StringIO()
    source = io.TextIOWrapper(io.BytesIO(standard_input))
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
        mock.patch.object(sys, "stdin", source),
    ):
        try:
            context.code = cli.main(arguments)
        except SystemExit as end:  # raised by argparse on wrong usage
            context.code = end.code
    context.output = output.getvalue()
    context.printed = context.output + errors.getvalue()


@when('the operator runs "{command}"')
def operator_runs(context, command):
    command = command.replace("{access}", ACCESS)
    command = command.replace("{control}", context.control)
    run_command(context, shlex.split(command))


@when("the secret {secret} is hashed")
def hash_secret(context, secret):
    data = secret.replace("\\n", "\n").replace("\\r", "\r").encode()
    run_command(context, ["hash-secret"], data)


@then('the exit code is {code:d} and "{text}" is printed')
def exit_code(context, code, text):
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed


@then('the exit code is {code:d} and "" is printed')
def exit_code_only(context, code):
    exit_code(context, code, "")


@then("the hash is that of the server's mysql_native_password")
def hash_matches_login(context):
    run_command(context, ["hash-secret"], b"other")
    expected = NativePasswordAuthPlugin.create_auth_string("other")
    assert context.output.strip() == expected.lower()


@given("control hosts of which {leader:d} leads and the operator knows {n:d}")
def control_hosts(context, leader, n):
    usual_files(context)
    # Shortens the time-out per attempt; the retry loop is unchanged.
    patch = mock.patch.object(_leader, "ATTEMPT_TIMEOUT_S", 0.25)
    patch.start()
    context.add_cleanup(patch.stop)
    context.stub = ControlStub(SECRET, leader)
    context.stub.start()
    context.add_cleanup(context.stub.stop)
    address = context.stub.addresses[n - 1]
    context.control = f"--control {address} --secret-file secret --timeout 1.5"


@given("the leader works")
def leader_works(context):
    pass


@given("the leader loses its first answer")
def loses_first(context):
    context.stub.responses_to_drop = 1


@given("the leader is deposed during the upload")
def deposed(context):
    context.stub.unknown_outcomes = 1


@given("the leader loses every answer")
def loses_every(context):
    context.stub.responses_to_drop = 1_000_000


@given("the leader has another sheet of number {number:d}")
@given("the leader has a sheet of number {number:d}")
def has_sheet(context, number):
    context.stub.upload(number, OTHER)


@given("the leader has another secret")
def another_secret(context):
    (context.folder / "secret").write_text("t" * 32)


@then("the leader holds {count:d} sheets")
def leader_holds(context, count):
    assert context.stub.accepted == count, context.stub.accepted


def accept(number, text):
    sheet = parse_sheet(text)
    return AcceptSheet(number, digest(sheet), sheet.services, sheet.workspaces)


@given("a data folder with a snapshot and later entries")
def data_folder(context):
    usual_files(context)
    state = ClusterState()
    state.apply(2, accept(1, OTHER))
    log = DurableLog(context.folder / "folder")
    log.open()
    entries = (Entry(3, 1, "command", encode(accept(2, GOOD))),)
    image = Snapshot(2, 1, Members(()), state.to_bytes())
    assert log.snapshot(image, HardState(1), entries) is None
    log.close()


@given("a damaged byte in its first record")
def damaged_byte(context):
    path = context.folder / "folder" / "agreement.log"
    content = bytearray(path.read_bytes())
    content[20] ^= 0xFF
    path.write_bytes(content)


@then("the output is the sheet of the last entry")
def output_is_sheet(context):
    assert context.output == format_sheet(parse_sheet(GOOD))
