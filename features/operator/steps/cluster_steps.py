"""Steps on the cluster command."""

import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

import psutil
import pymysql
from behave import given, then, when

from tools.processes import ROOT, Processes, is_ready, python_command

WAIT_S = 40.0


@given("a running cluster command")
def running_cluster(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    path = folder / "cluster.json"
    context.command = subprocess.Popen(
        python_command("tools.cluster", "--file", str(path)),
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(end_command, context.command)
    deadline = time.monotonic() + WAIT_S
    while not path.exists():
        assert context.command.poll() is None, "the command has ended"
        assert time.monotonic() < deadline, "no description"
        time.sleep(0.1)
    context.cluster = json.loads(path.read_text())
    context.add_cleanup(shutil.rmtree, context.cluster["folder"])


def end_command(command):
    command.send_signal(signal.SIGINT)
    command.wait(WAIT_S)


@then(
    "its file names {entry:d} entry hosts, {control:d} control hosts and "
    "{endpoints:d} endpoints in {zones:d} zones"
)
def file_names(context, entry, control, endpoints, zones):
    processes = context.cluster["processes"]
    roles = collections.Counter(item["role"] for item in processes)
    assert roles == {
        "entry": entry,
        "control": control,
        "endpoint": endpoints,
    }, roles
    assert len({item["zone"] for item in processes}) == zones


@then("every named process runs")
def processes_run(context):
    for item in context.cluster["processes"]:
        command = psutil.Process(item["pid"]).cmdline()
        assert item["settings"] in command, (item, command)


@then("a workspace of the file can write to every service of the file")
def can_write(context):
    workspace = context.cluster["workspaces"][0]
    hosts = [
        item["addresses"]["mysql"]
        for item in context.cluster["processes"]
        if item["role"] == "entry"
    ]
    for service in context.cluster["services"]:
        ip, _, port = hosts[0].partition(":")
        with (
            pymysql.connect(
                host=ip,
                port=int(port),
                user=workspace["name"],
                password=workspace["secret"],
                database=service,
                autocommit=True,
            ) as connection,
            connection.cursor() as cursor,
        ):
            cursor.execute("CREATE TABLE lot (id INT PRIMARY KEY)")
            assert cursor.execute("INSERT INTO lot VALUES (1)") == 1


@then("the fault control of every endpoint answers")
def fault_control(context):
    secret = pathlib.Path(context.cluster["secret_file"]).read_bytes()
    processes = Processes(pathlib.Path(), secret.strip())
    controls = context.cluster["fault_control"]
    assert len(controls) == 9
    for place in controls.values():
        address, _, path = place.partition("/")
        answer = processes.ask(address, f"/{path}", body={"clear": True})
        assert is_ready(answer), answer


@when("the cluster command is interrupted")
def interrupt(context):
    context.command.send_signal(signal.SIGINT)


@then("it ends with exit code {code:d} and none of its processes runs")
def all_ended(context, code):
    assert context.command.wait(WAIT_S) == code
    left = [
        item["name"]
        for item in context.cluster["processes"]
        if psutil.pid_exists(item["pid"])
    ]
    assert not left, left
