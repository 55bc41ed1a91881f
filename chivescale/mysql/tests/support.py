"""A caller server with scripted answers in a thread of its own."""

import asyncio
import hashlib
import socket
import threading

import pymysql

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position
from chivescale.mysql import (
    CallerHandlers,
    CallerServer,
    Column,
    QueryResult,
    ServerOptions,
)

SECRET = "s3cret"
HASH = hashlib.sha1(hashlib.sha1(SECRET.encode()).digest()).hexdigest()
WAIT_S = 5.0


class LoopThread:
    """An event loop in a thread; blocking drivers talk to it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()

    def run(self, coroutine):
        """Run a coroutine in the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(30)

    def stop(self):
        """End the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


class Unencodable:
    """A value that breaks the encoding of its row."""

    def __str__(self):
        raise ValueError("value cannot be encoded")


class Script:
    """Handlers that answer by the first word of the statement."""

    def __init__(self, options=None, tls=None):
        self.statements = []
        self.closed = []
        self.cancelled = []
        self.refusal = None
        self.outcome_on_cancel = None
        self.on_open = None
        self.started = threading.Event()
        self.ended = threading.Event()
        handlers = CallerHandlers(
            secret_hash=lambda user: HASH if user == "mill" else None,
            opened=self.opened,
            execute=self.execute,
            closed=self.on_closed,
        )
        self.server = CallerServer(handlers, tls, options or ServerOptions())

    async def opened(self, session):
        if self.on_open is not None:
            self.on_open()
            await asyncio.sleep(0.05)
        return self.refusal

    async def on_closed(self, session):
        self.closed.append(session.connection_id)
        self.ended.set()

    async def execute(self, session, sql, attrs):
        word = (sql.split() or [""])[0].upper()
        if word == "SET":
            # Drivers choose a character set when they connect.
            return QueryResult()
        self.statements.append(sql)
        if word == "FAIL":
            return Failure(ErrorKind(sql.split()[1]), "a reason")
        if word == "HANG":
            return await self.hang(session)
        if word == "LEAVE":
            session.kill(Failure(ErrorKind.SHUTTING_DOWN, "killed"))
            return Failure(ErrorKind.WORKSPACE_REMOVED, "own outcome")
        if word == "RAISE":
            raise RuntimeError("a fault of the handler")
        if word == "BEGIN":
            session.in_transaction = True
        if word in ("COMMIT", "ROLLBACK"):
            session.in_transaction = False
        if word == "MANUAL":
            session.autocommit = False
        if word == "SELECT":
            columns = (Column("a", 8), Column("b", 253))
            return QueryResult(columns, [(1, "x"), (-2, None)])
        if word == "ROWS":
            count = int(sql.split()[1])
            rows = [(number, "y" * 100) for number in range(count)]
            if "BROKEN" in sql:
                rows.append((1, Unencodable()))
            return QueryResult((Column("a", 8), Column("b", 253)), rows)
        if word == "BIG":
            text = "x" * int(sql.split()[1])
            return QueryResult((Column("text", 253),), [(text,)])
        if word == "LENGTH":
            return QueryResult((Column("n", 8),), [(len(sql),)])
        if word == "ECHO":
            return QueryResult((Column("sql", 253),), [(sql,)])
        return QueryResult(
            affected_rows=3,
            last_insert_id=2**40,
            warnings=4,
            commit=Position(7, 2**33),
            in_transaction=session.in_transaction,
        )

    async def hang(self, session):
        self.started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.append(session.connection_id)
            if self.outcome_on_cancel is not None:
                return self.outcome_on_cancel
            raise

    @property
    def port(self):
        """Port of the server."""
        return int(self.server.address.rpartition(":")[2])


def start(context, options=None, tls=None):
    """Start a scripted server for one scenario."""
    context.thread = LoopThread()
    context.add_cleanup(context.thread.stop)
    context.script = Script(options, tls)
    context.thread.run(context.script.server.start("127.0.0.1:0"))
    context.add_cleanup(
        lambda: context.thread.run(context.script.server.close())
    )


def driver(context, **options):
    """Open a connection with the stock driver."""
    values = {
        "host": "127.0.0.1",
        "port": context.script.port,
        "user": "mill",
        "password": SECRET,
        "database": "ledger",
        "autocommit": None,
        "read_timeout": WAIT_S,
        "ssl_disabled": True,
    }
    connection = pymysql.connect(**(values | options))
    context.add_cleanup(lambda: connection.open and connection.close())
    return connection


def raw_socket(context):
    """Open a plain socket to the server."""
    address = ("127.0.0.1", context.script.port)
    sock = socket.create_connection(address, timeout=WAIT_S)
    context.add_cleanup(sock.close)
    return sock


def read_packet(sock):
    """Return sequence number and payload of a packet; None at the end."""
    try:
        header = _read(sock, 4)
        if not header:
            return None
        return header[3], _read(sock, int.from_bytes(header[:3], "little"))
    except ConnectionError:
        return None


def _read(sock, size):
    data = b""
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            return b""
        data += part
    return data


def packet(sequence, payload):
    """Return a packet with its header."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


CAPABILITIES = 0x0208 | 0x8000 | 0x80000


def scramble(secret, salt):
    """Return the proof of a secret."""
    return pymysql._auth.scramble_native_password(secret.encode(), salt)


def log_in(sock, user="mill", secret=SECRET, plugin=None):
    """Log in without a driver; return the last answer."""
    _, greeting = read_packet(sock)
    end = greeting.index(b"\0", 1)
    salt = greeting[end + 5 : end + 13] + greeting[end + 32 : end + 44]
    proof = scramble(secret, salt) if secret else b""
    if plugin:
        proof = b"\x11" * 32
    name = (plugin or "mysql_native_password").encode()
    response = CAPABILITIES.to_bytes(4, "little") + bytes(4) + b"\x2d"
    response += bytes(23) + user.encode() + b"\0"
    response += bytes((len(proof),)) + proof + b"ledger\0"
    sock.sendall(packet(1, response + name + b"\0"))
    return read_packet(sock)


def raw_login(context, user="mill", secret=SECRET, plugin=None):
    """Return a logged-in socket and the answer to the login."""
    sock = raw_socket(context)
    return sock, log_in(sock, user, secret, plugin)
