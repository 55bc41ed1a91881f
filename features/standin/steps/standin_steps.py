"""Steps for endpoint processes."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import pymysql
from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import (
    Accepted,
    EndpointStatus,
    Follow,
    Promise,
    PromiseReply,
    Promote,
    PromoteReply,
)
from chivescale.transport import Client

SERVICE = "ledger"
WAIT_S = 15.0


class EndpointProcess:
    """One endpoint process; a restart keeps data and ports."""

    def __init__(self, folder, name):
        self.folder = folder
        self.name = name
        self.mysql = self.admin = "127.0.0.1:0"

    def start(self):
        """Start the process and wait for its ports."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "chivescale_standin",
                f"--name={self.name}",
                f"--service={SERVICE}",
                f"--data-dir={self.folder / self.name}",
                f"--secret-file={self.folder / 'secret'}",
                f"--mysql-address={self.mysql}",
                f"--admin-address={self.admin}",
            ],
            stdout=subprocess.PIPE,
            stderr=(self.folder / f"{self.name}.log").open("ab"),
            text=True,
        )
        fields = dict(
            part.split("=")
            for part in self.process.stdout.readline().split()
            if "=" in part
        )
        self.mysql, self.admin = fields["mysql"], fields["admin"]

    def end(self, number=signal.SIGKILL):
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.process.wait(WAIT_S)
        self.process.stdout.close()

    def call(self, method, path, reply, body=None):
        """Send a signed request."""

        async def run():
            client = Client(b"shared")
            try:
                return await client.call(
                    self.admin, method, path, reply, body, timeout_s=WAIT_S
                )
            finally:
                await client.close()

        return asyncio.run(run())

    def status(self, wanted=None):
        """Return the status, after waiting for a position if given."""
        path = "/v1/position"
        if wanted is not None:
            path += f"?term={wanted.term}&position={wanted.position}"
            path += "&wait_ms=10000"
        return self.call("GET", path, EndpointStatus)

    def promise(self, term):
        """Ask for a promise."""
        body = Promise(SERVICE, term)
        return self.call("POST", "/v1/promise", PromiseReply, body)

    def promote(self, term):
        """Promote the endpoint."""
        body = Promote(SERVICE, term)
        return self.call("POST", "/v1/promote", PromoteReply, body)

    def driver(self):
        """Open a connection with the stock driver."""
        ip, port = self.mysql.split(":")
        return pymysql.connect(
            host=ip,
            port=int(port),
            user="chivescale",
            password="",
            database=SERVICE,
            autocommit=True,
            read_timeout=WAIT_S,
        )


@given("two endpoint processes with primary e0")
def two_processes(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name)
    (path / "secret").write_text("shared")
    context.endpoints = [EndpointProcess(path, name) for name in ("e0", "e1")]
    for endpoint in context.endpoints:
        endpoint.start()
        context.add_cleanup(endpoint.end)
    primary, replica = context.endpoints
    assert primary.promise(1).granted and replica.promise(1).granted
    assert primary.promote(1).accepted
    body = Follow(SERVICE, 1, "e0", primary.admin)
    assert replica.call("POST", "/v1/follow", Accepted, body).ok
    connection = primary.driver()
    connection.cursor().execute(
        "CREATE TABLE t (id INT NOT NULL PRIMARY KEY, pair INT NOT NULL)"
    )
    connection.close()


class Writer(threading.Thread):
    """Writes pairs of rows until its connection fails or it is stopped."""

    def __init__(self, endpoint):
        super().__init__(daemon=True)
        self.connection = endpoint.driver()
        self.acknowledged = 0
        self.commit = b""
        self.stopped = False

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
        limit = time.monotonic() + WAIT_S
        while self.acknowledged < count:
            assert time.monotonic() < limit, self.acknowledged
            time.sleep(0.005)


@when("e0 is killed with SIGKILL while a driver writes")
def killed_while_writing(context):
    context.writer = Writer(context.endpoints[0])
    context.writer.start()
    context.writer.wait_for(100)
    context.endpoints[0].end()
    context.writer.join(WAIT_S)


@when("e{number:d} starts again")
def starts_again(context, number):
    context.endpoints[number].start()


@then("e0 is fenced and holds every acknowledged write and no torn one")
def holds_acknowledged(context):
    assert context.endpoints[0].status().role == "fenced"
    connection = context.endpoints[0].driver()
    cursor = connection.cursor()
    cursor.execute("SELECT pair, COUNT(*) FROM t GROUP BY pair")
    pairs = dict(cursor.fetchall())
    connection.close()
    count = context.writer.acknowledged
    assert set(range(1, count + 1)) <= set(pairs), count
    # One more may have been committed without its answer.
    assert len(pairs) <= count + 1
    assert set(pairs.values()) == {2}


@then("its position is at least that of the last acknowledged write")
def position_kept(context):
    last = context.endpoints[0].status().last
    assert context.writer.commit.startswith(b"term=1 position=")
    position = int(context.writer.commit.rpartition(b"=")[2])
    assert last.term == 1 and last.position >= position, last


@when("e1 promises term 2 and is killed with SIGKILL")
def promises_and_dies(context):
    assert context.endpoints[1].promise(2).granted
    context.endpoints[1].end()


@then("e1 refuses term 1 and may be promoted for term 2")
def promise_kept(context):
    endpoint = context.endpoints[1]
    assert not endpoint.promise(1).granted
    body = Follow(SERVICE, 1, "e0", context.endpoints[0].admin)
    assert is_failure(endpoint.call("POST", "/v1/follow", Accepted, body))
    assert endpoint.promote(2).accepted


@when("e0 is stopped by SIGSTOP for {ms:d} ms while a driver writes")
def stopped(context, ms):
    context.writer = Writer(context.endpoints[0])
    context.writer.start()
    context.writer.wait_for(20)
    process = context.endpoints[0].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(ms / 1000)
    context.before = context.writer.acknowledged
    process.send_signal(signal.SIGCONT)


@then("the writes go on afterwards and e1 catches up")
def writes_go_on(context):
    context.writer.wait_for(context.before + 20)
    context.writer.stopped = True
    context.writer.join(WAIT_S)
    primary, replica = context.endpoints
    last = primary.status().last
    assert replica.status(last).last == last
    connection = replica.driver()
    cursor = connection.cursor()
    cursor.execute("SELECT COUNT(*) FROM t")
    assert cursor.fetchone()[0] == 2 * context.writer.acknowledged
    connection.close()


@when("the load program runs for {seconds:d} seconds against e0")
def load_runs(context, seconds):
    context.done = subprocess.run(
        [
            sys.executable,
            "-m",
            "chivescale_standin.load",
            f"--address={context.endpoints[0].mysql}",
            f"--seconds={seconds}",
            "--sessions=4",
        ],
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then("it exits with 0 and reports confirmed writes, reads and no violation")
def load_sound(context):
    assert context.done.returncode == 0, context.done
    report = json.loads(context.done.stdout)
    assert report["checked"]
    for name in ("write confirmed", "transaction confirmed", "own_read ok"):
        assert report["operations"][name] > 0, report["operations"]


@when('the program starts with slots "{slots}"')
def invalid_program(context, slots):
    context.done = subprocess.run(
        [
            sys.executable,
            "-m",
            "chivescale_standin",
            "--name=e0",
            "--service=ledger",
            "--data-dir=unused",
            "--secret-file=unused",
            f"--slots={slots}",
        ],
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then("it exits with 2 and names the setting")
def names_setting(context):
    assert context.done.returncode == 2, context.done
    assert "slots" in context.done.stderr, context.done.stderr
    assert not pathlib.Path("unused").exists()
