"""Steps on bad input."""

import contextlib
import http.client
import random
import socket
import struct

import msgspec
import psutil
import pymysql
from behave import given, then, when

from chivescale.messages import Announcement, EndpointStatus, Position
from chivescale.transport._signature import sign
from features.faults.support import SERVICE, connect, run_until

MEMORY_BYTES = 64 << 20
SEED = 5
ROUNDS = 200
# Everything that a process may be asked for.
PATHS = {
    "api": (
        ("POST", "/v1/endpoints/announce"),
        ("GET", "/v1/state?after=x"),
        ("POST", "/v1/drain"),
        ("GET", "/v1/status"),
    ),
    "control": (
        ("POST", "/v1/agreement"),
        ("GET", "/v1/watch?after=x&wait_ms=y"),
        ("POST", "/v1/hosts/heartbeat"),
        ("POST", "/v1/endpoints/announce"),
        ("POST", "/v1/suspicions"),
        ("POST", "/v1/sheet"),
        ("POST", "/v1/hosts/drain"),
        ("POST", "/v1/members/replace"),
    ),
}
BODIES = (
    b"",
    b"{",
    b"[]",
    b"null",
    b'{"status": 5}',
    b'{"number": 1e999, "content": []}',
    b"[" * 100_000,
    b"\xff\xfe" * 1000,
)


@given("the memory of all processes is noted")
def note_memory(context):
    context.pids = {
        item.name: item.pid for item in context.system.by_name.values()
    }
    context.memory = {
        name: psutil.Process(pid).memory_info().rss
        for name, pid in context.pids.items()
    }


@when("random bytes are sent to the {port} port of {host}")
def random_bytes(context, port, host):
    rng = random.Random(SEED)
    for _ in range(ROUNDS):
        send(context, host, port, rng.randbytes(rng.randint(1, 4000)))


@when("truncated packets are sent to the {port} port of {host}")
def truncated(context, port, host):
    rng = random.Random(SEED)
    login = struct.pack("<IIB23x", 0x81A205, 1 << 24, 45) + b"mill-1\0\x14"
    for _ in range(ROUNDS):
        body = login[: rng.randint(0, len(login))]
        size = rng.choice((len(body), len(body) + 1, 70_000, 0xFFFFFF))
        head = struct.pack("<I", size)[:3] + bytes([rng.randint(0, 3)])
        send(context, host, port, head + body)


def send(context, host, port, data):
    """Send bytes on a new connection and close it without reading."""
    ip, _, number = context.system.by_name[host].addresses[port].partition(":")
    with contextlib.suppress(OSError):
        with socket.create_connection((ip, int(number)), 5) as connection:
            connection.sendall(data)


@when("huge statements are sent to the {port} port of {host}")
def huge(context, port, host):
    text = "SELECT '" + "x" * (8 << 20) + "'"
    for _ in range(5):
        connection = connect(context.system, host)
        try:
            with connection.cursor() as cursor:
                cursor.execute(text)
        except (pymysql.MySQLError, OSError):
            continue
        raise AssertionError("a statement of 8 MiB was accepted")


def request(context, host, port, line, body, secret):
    """Send a signed request and return the status of the answer."""
    method, path = line
    address = context.system.by_name[host].addresses[port]
    connection = http.client.HTTPConnection(address, timeout=5)
    headers = {
        "X-Chivescale-Signature": sign(secret, method, path, body),
        "X-Chivescale-Deadline-Ms": "1000",
    }
    try:
        connection.request(method, path, body, headers)
        return connection.getresponse().status
    finally:
        connection.close()


@when("malformed messages are sent to the {port} port of {host}")
def malformed(context, port, host):
    secret = context.system.secret
    for line in PATHS[port]:
        if line in (("GET", "/v1/status"), ("POST", "/v1/drain")):
            continue  # valid without a body
        for body in BODIES if line[0] == "POST" else (b"",):
            status = request(context, host, port, line, body, secret)
            assert 400 <= status < 500, (line, body[:40], status)


@when("messages with a wrong signature are sent to the {port} port of {host}")
def unsigned(context, port, host):
    for line in PATHS[port]:
        for body in (b"", b"{}"):
            status = request(context, host, port, line, body, b"w" * 32)
            assert status == 401, (line, status)


@when("forged announcements are sent to the {port} port of {host}")
def forged(context, port, host):
    status = EndpointStatus(
        endpoint="forged",
        service=SERVICE,
        incarnation="f" * 16,
        role="primary",
        promised_term=1 << 40,
        last=Position(1 << 40, 1 << 40),
        mysql_address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        primary="forged",
    )
    body = msgspec.json.encode(Announcement(status))
    line = ("POST", "/v1/endpoints/announce")
    assert request(context, host, port, line, body, b"w" * 32) == 401
    names = {item.endpoint for item in context.system.state().endpoints}
    assert "forged" not in names, names


@then("every process lives on and grew by less than 64 MB")
def lives_on(context):
    context.system.require_alive()
    for name, pid in context.pids.items():
        assert context.system.by_name[name].pid == pid, name
        grown = psutil.Process(pid).memory_info().rss - context.memory[name]
        assert grown < MEMORY_BYTES, (name, grown)


@then("the service works on every entry host")
def service_works(context):
    assert context.system.control_leader()
    for item in context.system.of_role("entry"):
        run_until(
            context.system,
            item.name,
            "CREATE TABLE IF NOT EXISTS inputs (id INT PRIMARY KEY)",
        )
