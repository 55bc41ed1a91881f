"""Steps for the example files."""

import pathlib
import subprocess
import sys

from behave import then
from mysql_mimic.auth import NativePasswordAuthPlugin

from chivescale.settings import Settings, parse_settings
from chivescale.sheet import Sheet, parse_sheet
from chivescale_standin import StandinSettings, load_settings

FOLDER = pathlib.Path(__file__).resolve().parents[2]


def read(operator, name):
    return (FOLDER / operator / name).read_text()


def sheet_of(operator):
    sheet = parse_sheet(read(operator, "sheet.csv"))
    assert isinstance(sheet, Sheet), sheet
    return sheet


@then("the settings of {operator} are valid for the roles entry and control")
def valid_settings(context, operator):
    files = {
        role: parse_settings(read(operator, f"{role}.toml"), role)
        for role in ("entry", "control")
    }
    for role, settings in files.items():
        assert isinstance(settings, Settings), settings
        assert settings.host.roles == (role,)
    assert files["entry"].cluster == files["control"].cluster
    assert len(files["entry"].cluster.control) == 5


@then(
    "the endpoint of {operator} has {slots:d} slots and {limit:d} connections"
)
def endpoint_sizes(context, operator, slots, limit):
    path = FOLDER / operator / "endpoint.toml"
    settings = load_settings(["--settings", str(path)])
    assert isinstance(settings, StandinSettings), settings
    assert (settings.slots, settings.connection_limit) == (slots, limit)
    assert settings.service in {
        item.service for item in sheet_of(operator).services
    }


@then("the sheet of {operator} has {count:d} services of {size:d} endpoints")
def sheet_sizes(context, operator, count, size):
    services = sheet_of(operator).services
    assert [item.group_size for item in services] == [size] * count


@then("the hashes of {operator} are those of the example secrets")
def example_secrets(context, operator):
    for workspace in sheet_of(operator).workspaces:
        secret = f"example-{workspace.name}"
        expected = NativePasswordAuthPlugin.create_auth_string(secret)
        assert workspace.secret_hash == expected.lower(), workspace.name


@then("the embedding example confirms its write and finds a replica")
def embedding_runs(context):
    done = subprocess.run(
        [sys.executable, str(FOLDER / "embedding.py")],
        check=True,
        capture_output=True,
        text=True,
        cwd=FOLDER.parent,
    )
    lines = done.stdout.splitlines()
    assert lines[0] == "write: Confirmed", lines
    assert lines[1].endswith("('db-3',)"), lines
