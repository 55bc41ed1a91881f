"""Steps for endpoint processes."""

import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

import pymysql
from behave import given, then, when

from chivescale.errors import ErrorKind
from chivescale_standin.tests import support


class EndpointProcess:
    """One endpoint process with the interface of an endpoint."""

    def __init__(self, folder, settings):
        self.folder = folder
        self.settings = settings

    async def start(self):
        """Start the process and wait for its ports."""
        self.launch()

    def launch(self):
        """Start the process without an event loop."""
        flags = [
            f"--{key.replace('_', '-')}={value}"
            for key, value in self.settings.items()
        ]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chivescale_standin", *flags],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        line = self.process.stdout.readline().split()
        fields = dict(part.split("=") for part in line[1:])
        self.mysql_address = fields["mysql"]
        self.admin_address = fields["admin"]

    async def close(self):
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(support.WAIT_S)
        self.process.stdout.close()


class ProcessGroup(support.GroupUnderTest):
    """A group whose endpoints are processes; a restart is a kill."""

    def _make(self, number, **addresses):
        settings = {
            "name": f"e{number}",
            "service": support.SERVICE,
            "data_dir": self.path / f"e{number}",
            "secret_file": self.path / "secret",
        }
        return EndpointProcess(self.path, settings | addresses)


@given("two endpoint processes with primary e0")
def two_processes(context):
    context.group = ProcessGroup(2)
    context.add_cleanup(context.group.close)
    context.group.elect(0, 1)
    context.group.sql(
        0, "CREATE TABLE t (id INT NOT NULL PRIMARY KEY, pair INT NOT NULL)"
    )


class Writer(threading.Thread):
    """Writes pairs of rows until its connection fails or it is stopped."""

    def __init__(self, group):
        super().__init__(daemon=True)
        self.connection = group.driver(0)
        self.acknowledged = 0
        self.commit = b""
        self.stopped = False
        self.start()

    def run(self):
        cursor = self.connection.cursor()
        try:
            while not self.stopped:
                number = self.acknowledged + 1
                cursor.execute(
                    f"INSERT INTO t (id, pair) VALUES"
                    f" ({2 * number}, {number}), ({2 * number + 1}, {number})"
                )
                self.commit = self.connection._result.message
                self.acknowledged = number
        except pymysql.MySQLError:
            return

    def wait_for(self, count):
        """Wait until so many writes are acknowledged."""
        limit = time.monotonic() + support.WAIT_S
        while self.acknowledged < count:
            assert time.monotonic() < limit, self.acknowledged
            time.sleep(0.005)


@when("e0 is killed with SIGKILL while a driver writes and starts again")
def killed_while_writing(context):
    context.writer = Writer(context.group)
    context.writer.wait_for(100)
    context.group.restart(0)
    context.writer.join(support.WAIT_S)


@then("e0 is fenced and holds every acknowledged write and no torn one")
def holds_acknowledged(context):
    assert context.group.status(0).role == "fenced"
    rows = context.group.sql(
        0, "SELECT pair, COUNT(*) FROM t GROUP BY pair"
    ).rows
    pairs = {int(pair): int(count) for pair, count in rows}
    count = context.writer.acknowledged
    assert set(range(1, count + 1)) <= set(pairs), count
    # One more may have been committed without its answer.
    assert len(pairs) <= count + 1
    assert set(pairs.values()) == {2}


@then("its position is at least that of the last acknowledged write")
def position_kept(context):
    last = context.group.status(0).last
    assert context.writer.commit.startswith(b"term=1 position=")
    position = int(context.writer.commit.rpartition(b"=")[2])
    assert last.term == 1 and last.position >= position, last


@when("e1 promises term 2, is killed with SIGKILL and starts again")
def promises_and_dies(context):
    assert context.group.promise(1, 2).granted
    context.group.restart(1)


@then("e1 refuses term 1 and may be promoted for term 2")
def promise_kept(context):
    assert not context.group.promise(1, 1).granted
    assert context.group.follow(1, 0, 1).kind is ErrorKind.STALE_TERM
    assert context.group.promote(1, 2).accepted


@when("e0 is stopped by SIGSTOP for {ms:d} ms while a driver writes")
def stopped(context, ms):
    context.writer = Writer(context.group)
    context.writer.wait_for(20)
    process = context.group.endpoints[0].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(ms / 1000)
    context.before = context.writer.acknowledged
    process.send_signal(signal.SIGCONT)


@then("the writes go on afterwards and e1 catches up")
def writes_go_on(context):
    context.writer.wait_for(context.before + 20)
    context.writer.stopped = True
    context.writer.join(support.WAIT_S)
    context.group.caught_up(1, 0)
    assert len(context.group.rows(1)) == 2 * context.writer.acknowledged


def _program(module, *flags):
    return subprocess.run(
        [sys.executable, "-m", module, *flags],
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then("the load program runs for 2 seconds and finds no violation")
def load_sound(context):
    address = context.group.endpoints[0].mysql_address
    done = _program(
        "chivescale_standin.load",
        f"--address={address}",
        "--seconds=2",
        "--sessions=4",
    )
    assert done.returncode == 0, done
    report = json.loads(done.stdout)
    assert report["checked"]
    for name in ("write confirmed", "transaction confirmed", "own_read ok"):
        assert report["operations"][name] > 0, report["operations"]


@then('the program with slots "{slots}" exits with 2 and names the setting')
def invalid_program(context, slots):
    done = _program(
        "chivescale_standin",
        "--name=e0",
        "--service=ledger",
        "--data-dir=unused",
        "--secret-file=unused",
        f"--slots={slots}",
    )
    assert done.returncode == 2, done
    assert "slots" in done.stderr, done.stderr
    assert not pathlib.Path("unused").exists()
