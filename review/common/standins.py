"""Stand-ins for the servers, the platform, the operator and the clients.

They follow the users' pages: the line protocol between clients and servers,
the heartbeats, the configuration calls and the promotion call. Only the
standard library is used.
"""

import asyncio
import itertools
import json
import time

HEARTBEAT_S = 1.2
HEARTBEAT_ACK_S = 1.0
OPERATOR_ANSWER_S = 1.0
READY_TIMEOUT_S = 2.0


class Record:
    """Log of what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def write(self, kind: str, **fields) -> None:
        """Write one line with the time since the start."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started


class Group:
    """Servers of one service and their replicated log.

    Parameters
    ----------
    service : str
        Name of the service.
    record : Record
        Log of the case.
    lag_s : float
        Time until a replica receives and applies a commit.

    Attributes
    ----------
    on_start : callable
        Called with the identifier of each statement that a server begins,
        and the server.
    on_role_change : callable
        Called with a server that has become primary or replica.
    """

    def __init__(self, service: str, record: Record, lag_s: float = 0.02):
        self.service = service
        self.record = record
        self.lag_s = lag_s
        self.term = 1
        self.servers: dict[str, Server] = {}
        self.signatures = itertools.count(1)
        self.on_start = lambda request_id, server: None
        self.on_role_change = lambda server: None

    @property
    def primary(self) -> "Server | None":
        """The server that leads the newest term."""
        for server in self.servers.values():
            if server.primary:
                return server
        return None

    async def add(self, name: str, ip: str, port: int, **options) -> "Server":
        """Start a server; the first one is the primary."""
        server = Server(self, name, f"{ip}:{port}", **options)
        server.primary = not self.servers
        self.servers[name] = server
        await server.start()
        return server

    def replicate(self, source: "Server") -> None:
        """Send the log of the primary to the replicas, later."""
        loop = asyncio.get_running_loop()
        log, term = list(source.log), self.term
        for server in self.servers.values():
            if server is not source:
                loop.call_later(self.lag_s, server.receive, log, term)

    def promote(self, name: str) -> None:
        """Let a server lead the next term with what it has received."""
        chosen = self.servers[name]
        if chosen.primary or not chosen.running:
            return
        self.term += 1
        former = self.primary
        for server in self.servers.values():
            server.paused = False
            if server is not chosen:
                server.primary = False
                del server.log[len(chosen.log) :]
        chosen.primary, chosen.term = True, self.term
        for server in (former, chosen):
            if server is not None:
                self.on_role_change(server)
        self.record.write("promoted", server=name, term=self.term)
        self.replicate(chosen)

    async def close(self) -> None:
        """Stop all servers."""
        for server in self.servers.values():
            server.stop()


class Server:
    """One database server.

    Parameters
    ----------
    group : Group
        Service of the server.
    name, address : str
        Identifier and ``ip:port``.
    slots, queue : int
        Statements that run at a time, and that may wait.
    max_conns : int
        Limit of connections from all callers.
    work_s : float
        Time that a read, write or commit takes.
    """

    def __init__(
        self,
        group: Group,
        name: str,
        address: str,
        slots: int = 3,
        queue: int = 24,
        max_conns: int = 82,
        work_s: float = 0.003,
    ):
        self.group = group
        self.name = name
        self.address = address
        self.slots = slots
        self.queue = queue
        self.max_conns = max_conns
        self.work_s = work_s
        self.primary = False
        self.running = False
        self.paused = False
        self.term = group.term
        self.log: list[str] = []
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slot = asyncio.Semaphore(slots)
        self.busy = 0
        self.writers: set = set()
        self.listener = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(
            self._serve, host, int(port)
        )
        self.running = True

    def stop(self) -> None:
        """Crash: refuse connections and reset the open ones."""
        self.running = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def receive(self, log: list[str], term: int) -> None:
        """Take over the log of the primary."""
        accepts = self.running and not self.paused and not self.primary
        if accepts and term == self.group.term and len(log) >= len(self.log):
            self.log, self.term = list(log), term

    @property
    def position(self) -> str:
        """Position of the last entry of the log."""
        return f"{self.term}.{len(self.log)}"

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.group.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    async def occupy_slot(self) -> bool:
        """Wait for a slot and work; return False if the queue is full."""
        if self.busy >= self.slots + self.queue:
            return False
        self.busy += 1
        try:
            async with self.slot:
                await asyncio.sleep(self.work_s)
        finally:
            self.busy -= 1
        return True

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        session = _ServerSession(self)
        try:
            while line := await reader.readline():
                text = line.decode("latin-1").rstrip("\r\n")
                answer = await session.handle(text)
                if answer is None:
                    return
                writer.write(answer.encode("latin-1"))
                if session.refused:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class _ServerSession:
    """State of one connection to a server."""

    def __init__(self, server: Server):
        self.server = server
        self.state = "I"
        self.plain = False
        self.pending: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.refused = False

    async def handle(self, line: str) -> str | None:
        """Return the answer to one message."""
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            return self._start(rest.split(" "))
        if word != "QUERY":
            return None
        request_id, _, text = rest.partition(" ")
        self.server.group.on_start(request_id, self.server)
        answer = await self._query(request_id, text)
        if request_id != "-":
            outcome = next(
                part
                for part in answer.split("\r\n")
                if part.startswith(("COMPLETE", "ERROR"))
            )
            self.server.group.record.write(
                "ran" if outcome.startswith("COMPLETE") else "not_run",
                server=self.server.name,
                id=request_id,
                text=repr(text),
                outcome=repr(outcome),
            )
        return answer

    def _start(self, words: list[str]) -> str:
        server = self.server
        wrong_id = len(words) > 2 and words[2] != server.name
        if words[0] != server.group.service or wrong_id:
            self.refused = True
            return "ERROR MISROUTED another server\r\n"
        if len(server.writers) > server.max_conns:
            self.refused = True
            return "ERROR TOOMANY connections\r\n"
        return self._ready()

    def _ready(self) -> str:
        return f"READY {self.state} {self.server.position}\r\n"

    def _done(self, signature: str = "-", rows: str = "") -> str:
        return f"{rows}COMPLETE {signature}\r\n{self._ready()}"

    def _error(self, code: str) -> str:
        if self.state == "T":
            self.state, self.pending = "E", []
        return f"ERROR {code} {self.server.name}\r\n{self._ready()}"

    async def _query(self, request_id: str, text: str) -> str:
        server = self.server
        words = text.split(" ")
        if self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT"):
            return self._error("MALFORMED")
        if words[0] == "AFTER":
            term, _, number = words[1].partition(".")
            if (server.term, len(server.log)) < (int(term), int(number)):
                return self._error("LAGGING")
            words = words[2:]
        handler = getattr(self, f"_on_{words[0].lower()}", None)
        if handler is None:
            return self._error("MALFORMED")
        return await handler(request_id, words)

    async def _on_begin(self, request_id, words) -> str:
        self.plain = words[1:] != ["READ"]
        if self.plain and not self.server.primary:
            return self._error("READONLY")
        self.state = "T"
        return self._done()

    async def _on_rollback(self, request_id, words) -> str:
        self.state, self.pending = "I", []
        return self._done()

    async def _on_commit(self, request_id, words) -> str:
        if self.state == "E":
            self.state = "I"
            return self._error("MALFORMED")
        if self.pending and not self.server.primary:
            self.state, self.pending = "I", []
            return self._error("READONLY")
        if not await self.server.occupy_slot():
            return f"ERROR BUSY {self.server.name}\r\n{self._ready()}"
        self._append(self.pending)
        self.state, self.pending = "I", []
        return self._done(self._signature())

    async def _on_set(self, request_id, words) -> str:
        self.values[words[1]] = " ".join(words[2:])
        return self._done()

    async def _on_reset(self, request_id, words) -> str:
        self.values.clear()
        self.prepared.clear()
        return self._done()

    async def _on_prepare(self, request_id, words) -> str:
        self.prepared[words[1]] = (words[2], " ".join(words[3:]))
        return self._done()

    async def _on_dealloc(self, request_id, words) -> str:
        self.prepared.pop(words[1], None)
        return self._done()

    async def _on_execute(self, request_id, words) -> str:
        if words[1] not in self.prepared:
            return self._error("NOSTMT")
        kind, _ = self.prepared[words[1]]
        return await self._run(request_id, kind == "WRITE")

    async def _on_read(self, request_id, words) -> str:
        return await self._run(request_id, False)

    async def _on_write(self, request_id, words) -> str:
        return await self._run(request_id, True)

    async def _run(self, request_id: str, writes: bool) -> str:
        server = self.server
        in_transaction = self.state == "T"
        needs_lead = writes or (in_transaction and self.plain)
        if needs_lead and not server.primary:
            return self._error("READONLY")
        if not await server.occupy_slot():
            return f"ERROR BUSY {server.name}\r\n{self._ready()}"
        if needs_lead and not server.primary:
            return self._error("READONLY")
        if writes and in_transaction:
            self.pending.append(request_id)
        elif writes:
            self._append([request_id])
        rows = "" if writes else "DATAROW qhzkwmtrbelo\r\n"
        return self._done(self._signature(), rows)

    def _append(self, writes: list[str]) -> None:
        if writes:
            self.server.log += writes
            self.server.group.replicate(self.server)

    def _signature(self) -> str:
        return f"7.{next(self.server.group.signatures):x}.c"

    def _row(self) -> str:
        server = self.server
        role = "primary" if server.primary else "replica"
        row = (
            f"{role} {server.term} {server.position} {server.term} 0"
            f" {server.busy} {len(server.writers)}"
        )
        return self._done("-", f"DATAROW {row}\r\n")

    async def _on_status(self, request_id, words) -> str:
        return self._row()

    async def _on_pause(self, request_id, words) -> str:
        self.server.paused = not self.server.primary
        return self._row()

    async def _on_resume(self, request_id, words) -> str:
        self.server.paused = False
        return self._row()

    async def _on_stepdown(self, request_id, words) -> str:
        server = self.server
        if server.primary and int(words[1]) > server.term:
            server.primary = False
            server.group.on_role_change(server)
        return self._row()


# HTTP.


async def http_call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Send one request; return status and body, or 0 without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
    head, _, content = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    return (int(words[1]), content) if len(words) > 1 else (0, b"")


class Platform:
    """Serves the promotion call and checks its fencing tokens."""

    def __init__(self, group: Group, record: Record, promote_s: float = 0.3):
        self.group = group
        self.record = record
        self.promote_s = promote_s
        self.fence = 0
        self.listener = None

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                fields = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if line
                )
                size = int(fields.get("content-length", 0))
                body = json.loads(await reader.readexactly(size))
                status = self._promote(body, fields)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    def _promote(self, body: dict, fields: dict) -> int:
        token = int(fields["fence-token"])
        server = self.group.servers.get(body["id"])
        accepted = token >= self.fence and server and server.running
        self.record.write(
            "promotion",
            id=body["id"],
            holder=fields["duty-holder"],
            token=token,
            accepted=bool(accepted),
        )
        if not accepted:
            return 409
        self.fence = token
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self.group.promote, body["id"])
        return 200

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()


class Heartbeats:
    """Sends the heartbeats of the servers.

    Parameters
    ----------
    pick : callable
        Returns control addresses in the order in which they are tried.
    """

    def __init__(self, group: Group, record: Record, pick):
        self.group = group
        self.record = record
        self.pick = pick
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to send."""
        for server in self.group.servers.values():
            self.tasks.append(asyncio.ensure_future(self._run(server)))
        self.group.on_role_change = self._report

    def _report(self, server: Server) -> None:
        """Report a change of role at once."""
        if server.running:
            self.tasks.append(asyncio.ensure_future(self.send(server)))

    async def _run(self, server: Server) -> None:
        while True:
            if server.running:
                await self.send(server)
            await asyncio.sleep(HEARTBEAT_S)

    async def send(self, server: Server) -> str:
        """Send one heartbeat; return the address that acknowledged it."""
        path = f"/v1/instances/{server.name}/heartbeat"
        for address in self.pick(server.name):
            body = json.dumps(server.heartbeat()).encode()
            status, _ = await http_call(
                address, "POST", path, body, HEARTBEAT_ACK_S
            )
            if 200 <= status < 300:
                return address
        return ""

    def stop(self) -> None:
        """Send no more."""
        for task in self.tasks:
            task.cancel()


class Operator:
    """Sends configurations and reads them back."""

    def __init__(self, record: Record, addresses: list[str]):
        self.record = record
        self.addresses = addresses

    async def put(self, config: dict, for_s: float = 10.0) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        deadline = time.monotonic() + for_s
        for attempt in itertools.count():
            address = self.addresses[attempt % len(self.addresses)]
            status, _ = await http_call(
                address, "POST", "/v1/config/put", body, OPERATOR_ANSWER_S
            )
            self.record.write(
                "config_put",
                version=config["version"],
                bytes=len(body),
                to=address,
                status=status,
            )
            if status == 200:
                return True
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(min(1.0, 0.1 * 2 ** min(attempt, 4)))

    async def get(self, address: str) -> int:
        """Return the version that a node reads back; -1 without one."""
        status, body = await http_call(
            address, "GET", "/v1/config/get", b"", OPERATOR_ANSWER_S
        )
        version = json.loads(body)["version"] if status == 200 else -1
        self.record.write(
            "config_get", at=address, status=status, version=version
        )
        return version


class Client:
    """A session of a client.

    Parameters
    ----------
    address : str
        Address of the entry host.
    name : str
        Prefix of the identifiers of its statements.
    """

    def __init__(self, address: str, name: str, record: Record):
        self.address = address
        self.name = name
        self.record = record
        self.numbers = itertools.count(1)
        self.request_id = ""
        self.sent_at = 0.0
        self.reader = self.writer = None

    async def connect(self, database: str) -> str:
        """Open the session; return the first line of the answer."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                self.reader, self.writer = await asyncio.open_connection(
                    host, int(port)
                )
                self.writer.write(
                    f"STARTUP {database} {self.name}\r\n".encode()
                )
                line = await self.reader.readline()
        except (OSError, TimeoutError):
            return ""
        return line.decode("latin-1").rstrip("\r\n")

    async def query(self, text: str, timeout_s: float = 10.0) -> list[str]:
        """Send a statement; return its answer, which ends with ``READY``.

        A broken connection adds ``closed``, a missing answer ``silent``.
        """
        self.request_id = f"{self.name}x{next(self.numbers)}"
        self.sent_at = self.record.now()
        self.record.write("sent", id=self.request_id, text=repr(text))
        lines: list[str] = []
        try:
            async with asyncio.timeout(timeout_s):
                data = f"QUERY {self.request_id} {text}\r\n"
                self.writer.write(data.encode("latin-1"))
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line:
                        lines.append("closed")
                        break
                    lines.append(line.decode("latin-1").rstrip("\r\n"))
        except ConnectionError:
            lines.append("closed")
        except TimeoutError:
            lines.append("silent")
        self.record.write(
            "answered", id=self.request_id, answer=repr(" | ".join(lines))
        )
        return lines

    def close(self) -> None:
        """End the session."""
        if self.writer is not None:
            self.writer.transport.abort()
