"""Steps on the start of the daemon."""

import os
import pathlib
import shutil
import socket
import subprocess
import tempfile

from behave import given, then, when

from tools.processes import ROOT, free_block, python_command, write_toml

TIMEOUT_S = 20


@given("settings of an entry host")
def entry_settings(context):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    (context.folder / "secret").write_text("s" * 32)
    context.ip = free_block(1)[0]
    context.tables = {
        "host": {"name": "entry-1", "zone": "a", "roles": ["entry"]},
        "listen": {
            "api": f"{context.ip}:7001",
            "mysql": f"{context.ip}:7002",
        },
        "cluster": {
            "secret_file": "secret",
            "control": [{"name": "c1", "address": f"{context.ip}:7003"}],
        },
    }


@when("a key is misspelled")
def misspelled_key(context):
    context.tables["entry"] = {"dead_line_ms": 5}


@when("the secret file is missing")
def no_secret(context):
    (context.folder / "secret").unlink()


@when("the API address is in use")
def address_in_use(context):
    other = socket.socket()
    context.add_cleanup(other.close)
    other.bind((context.ip, 7001))
    other.listen()


@when("the certificate is unusable")
def bad_certificate(context):
    keys = ("caller_certificate", "caller_key")
    context.tables["tls"] = dict.fromkeys(keys, "secret")


@when("the data folder is a file")
def data_folder_is_file(context):
    (context.folder / "data").write_text("")
    context.tables["host"] |= {"name": "c1", "roles": ["control"]}
    context.tables["host"]["data_dir"] = "data"
    context.tables["listen"] = {"control_api": f"{context.ip}:7003"}


def run_daemon(context, *arguments):
    path = context.folder / "entry.toml"
    write_toml(path, context.tables)
    command = python_command("chivescale.daemon", "--settings", str(path))
    return subprocess.run(
        [*command, *arguments],
        check=False,
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then('the daemon ends with exit code {code:d} and the line "{line}"')
def daemon_refuses(context, code, line):
    done = run_daemon(context)
    assert done.returncode == code, done
    assert "Traceback" not in done.stderr, done.stderr
    plain = [
        text
        for text in done.stderr.splitlines()
        if not text.startswith("time=")
    ]
    assert len(plain) == 1 and line in plain[0], plain


@then("the daemon with --check ends with exit code {code:d}")
def daemon_checks(context, code):
    done = run_daemon(context, "--check")
    assert done.returncode == code, done
    assert done.stdout.strip().endswith("ok"), done
