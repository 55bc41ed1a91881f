"""Stand-in for the platform's databases and their heartbeats."""

import asyncio
import itertools
import json
import random

from nodes import System, call

HEARTBEAT_S = 1.2
# An order without an answer is carried out this much later.
LATE_S = (2.0, 12.0)
# Orders of the system to a database, beside its queries.
ORDERS = ("PAUSE", "RESUME", "STEPDOWN")
# Row of a large result, 1,000 bytes.
ROW = "DATAROW " + "x" * 990 + "\r\n"


class Service:
    """A primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    system : System
        Where heartbeats are sent.
    record : callable
        Writes one line of the record.
    lag_ms : tuple of float
        Mean, deviation and maximum of the time until a replica has received
        a commit.
    promote_s : float
        Time from the platform's call to the change of the primary.
    sync : int
        Replicas that hold a commit before it is acknowledged.

    Attributes
    ----------
    late_share : float
        Share of the orders that get no answer and are carried out late.
    lost : dict of str to str
        Acknowledged writes that a promoted server lacked.
    result_mb : dict of str to float
        Size of the rows of some items; others have one short row.
    """

    def __init__(
        self,
        name: str,
        system: System,
        record,
        lag_ms: tuple[float, float, float] = (1.5, 0.5, 5.0),
        promote_s: float = 0.3,
        sync: int = 0,
        rng: random.Random | None = None,
    ):
        self.name = name
        self.system = system
        self.record = record
        self.lag_ms = lag_ms
        self.promote_s = promote_s
        self.sync = sync
        self.rng = rng or random.Random(1)
        self.term = 1
        self.leader: Server | None = None
        self.servers: dict[str, Server] = {}
        self.names = itertools.count(1)
        self.late_share = 0.0
        self.acknowledged: set[str] = set()
        self.lost: dict[str, str] = {}
        self.result_mb: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()

    async def add(
        self,
        zone: str,
        primary: bool = False,
        replaces: "Server | None" = None,
    ) -> "Server":
        """Start a server and announce it.

        It starts with the log of the server that it replaces, by default
        the primary.
        """
        name = f"{self.name}-{next(self.names)}"
        server = Server(self, name, zone)
        if primary:
            server.primary, self.leader = True, server
        elif self.leader is not None:
            server.log = list((replaces or self.leader).log)
        server.term = self.term
        await server.start()
        self.servers[name] = server
        return server

    def background(self, coroutine) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def order_promotion(self, name: str) -> bool:
        """Begin a promotion; return whether the server runs."""
        server = self.servers.get(name)
        if server is None or not server.running:
            return False
        if server is not self.leader:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._promote, server)
        return True

    def _promote(self, server: "Server") -> None:
        if server is self.leader or not server.running:
            return
        self.term += 1
        held = set(server.log)
        missing = self.acknowledged - held
        self.record(
            f"promoted {server.name} term={self.term} log={len(server.log)}"
            f" acknowledged_but_missing={len(missing)}"
        )
        if self.sync:
            self.lost.update(dict.fromkeys(missing, server.name))
        self.acknowledged -= missing
        former, self.leader = self.leader, server
        former.primary = False
        server.primary, server.term = True, self.term
        for other in self.servers.values():
            other.paused = False
            if other is not server:
                # What the new primary lacks is rolled back.
                common = _common(other.log, server.log)
                del other.log[common:]
                other.term = self.term
                self.send_log(other)
        former.abort_commits()
        for changed in (former, server):
            changed.announce()

    def lag_s(self) -> float:
        """Return the time until a replica receives a commit."""
        mean, spread, largest = self.lag_ms
        value = self.rng.gauss(mean, spread)
        return min(largest, max(0.2, value)) / 1000

    def send_log(self, replica: "Server") -> None:
        """Send the log of the primary to a replica, in order."""
        loop = asyncio.get_running_loop()
        at = max(replica.arrives_at, loop.time() + self.lag_s())
        replica.arrives_at = at
        size, term, source = len(self.leader.log), self.term, self.leader
        loop.call_at(at, replica.receive, source, term, size)

    def replicate(self) -> None:
        """Send a commit to the replicas."""
        for server in self.servers.values():
            if server is not self.leader:
                self.send_log(server)

    def holders(self, size: int) -> int:
        """Return how many replicas hold a length of the primary's log."""
        return sum(
            len(s.log) >= size
            for s in self.servers.values()
            if s is not self.leader and s.running
        )

    async def stop(self) -> None:
        """Stop all servers."""
        for task in list(self.tasks):
            task.cancel()
        for server in list(self.servers.values()):
            server.stop()
        await asyncio.sleep(0.1)


def _common(first: list, second: list) -> int:
    size = 0
    for left, right in zip(first, second, strict=False):
        if left != right:
            break
        size += 1
    return size


class Server:
    """One server of a service.

    Attributes
    ----------
    log : list of str
        Ids of the writes, in the order of their commits.
    deaf : bool
        Whether it receives nothing.
    paused : bool
        Whether it was told to receive nothing.
    """

    def __init__(self, service: Service, name: str, zone: str):
        self.service = service
        self.name = name
        self.zone = zone
        self.primary = self.paused = self.deaf = False
        self.draining = False
        self.running = True
        self.term = 1
        self.log: list[str] = []
        self.arrives_at = 0.0
        self.sequence = 0
        self.born = 1_760_000_000_000 + random.randrange(10**6)
        self.slots = asyncio.Semaphore(3)
        self.waiting: list[tuple[int, asyncio.Future]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.changed = asyncio.Event()
        self.acknowledged_state = asyncio.Event()

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self.listener = await asyncio.start_server(
            self._serve, self.service.system.cloud_ip, 0, limit=1 << 21
        )
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.service.background(self._beat())

    def stop(self) -> None:
        """End at once."""
        self.running = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self) -> None:
        """Refuse connections and end the open ones."""
        self.stop()
        self.abort_commits()

    async def come_back(self) -> None:
        """Start again at the same address, with the log that it had."""
        host, _, port = self.address.rpartition(":")
        self.running, self.paused, self.sequence = True, False, 0
        self.born += 1000
        self.slots = asyncio.Semaphore(3)
        self.listener = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 21
        )
        self.service.background(self._beat())
        if not self.primary:
            self.service.send_log(self)

    def announce(self) -> None:
        """Report a change at once."""
        self.changed.set()

    async def _beat(self) -> None:
        nodes = itertools.cycle(self.service.system.controls)
        node = next(nodes)
        while self.running:
            self.changed.clear()
            self.sequence += 1
            state = "draining" if self.draining else "ready"
            body = {
                "service": self.service.name,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": state,
                "cold_left_ms": 0,
                "db_role": "primary" if self.primary else "replica",
                "sequence": self.sequence,
                "born": self.born,
            }
            status, _ = await call(
                System.control_address(node),
                "POST",
                f"/v1/instances/{self.name}/heartbeat",
                json.dumps(body).encode(),
            )
            if not 200 <= status < 300:
                node = next(nodes)
                await asyncio.sleep(0.1)
                continue
            if state == "draining":
                self.acknowledged_state.set()
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def leave(self, drain_s: float, linger_s: float) -> None:
        """Announce the end, drain, and end."""
        self.draining = True
        self.announce()
        await self.acknowledged_state.wait()
        self.service.record(f"draining {self.name} acknowledged")
        await asyncio.sleep(drain_s + linger_s)
        body = json.dumps({"born": self.born}).encode()
        path = f"/v1/instances/{self.name}/deregister"
        for node in self.service.system.controls:
            address = System.control_address(node)
            if (await call(address, "POST", path, body))[0] == 200:
                break
        del self.service.servers[self.name]
        self.stop()

    def receive(self, source: "Server", term: int, size: int) -> None:
        """Receive the log of the primary up to a length."""
        service = self.service
        usable = self.running and not (self.paused or self.deaf)
        if not usable or self.primary or term != service.term:
            return
        if source is service.leader and size > len(self.log):
            self.log += source.log[len(self.log) : size]
            self.term = term
            source.wake_commits()

    def wake_commits(self) -> None:
        """Acknowledge the commits that enough replicas hold."""
        enough = [
            (size, future)
            for size, future in self.waiting
            if self.service.holders(size) >= self.service.sync
        ]
        for item in enough:
            self.waiting.remove(item)
            if not item[1].done():
                item[1].set_result(True)

    def abort_commits(self) -> None:
        """End the commits that were not acknowledged in time."""
        for _, future in self.waiting:
            if not future.done():
                future.set_result(False)
        self.waiting.clear()

    async def commit(self, writes: list[str]) -> bool:
        """Append writes; return whether they are acknowledged."""
        self.log += writes
        self.service.replicate()
        size = len(self.log)
        if self.service.sync and self.service.holders(size) < (
            self.service.sync
        ):
            future = asyncio.get_running_loop().create_future()
            self.waiting.append((size, future))
            if not await future:
                return False
        if self.service.leader is not self:
            return False
        self.service.acknowledged |= set(writes)
        return True

    @property
    def position(self) -> str:
        """Position of the last log entry."""
        return f"{self.term}.{len(self.log)}"

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        session = _Session(self)
        try:
            while line := await reader.readline():
                answer = await session.handle(
                    line.decode("latin-1").rstrip("\r\n")
                )
                if answer is None or not self.running:
                    break
                writer.write(answer.encode("latin-1"))
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class _Session:
    """One connection."""

    def __init__(self, server: Server):
        self.server = server
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.plain = False
        self.pending: list[str] = []

    def _ready(self) -> str:
        return f"READY {self.state} {self.server.position}\r\n"

    def _done(self, signature: str = "-", rows: str = "") -> str:
        return f"{rows}COMPLETE {signature}\r\n{self._ready()}"

    def _error(self, code: str) -> str:
        if self.state == "T":
            self.state, self.pending = "E", []
        return f"ERROR {code} {self.server.name}\r\n{self._ready()}"

    async def handle(self, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            words = rest.split(" ")
            async with self.server.slots:
                await asyncio.sleep(0.012)
            named = words[2:] in ([], [self.server.name])
            if words[0] != self.server.service.name or not named:
                return f"ERROR MISROUTED {self.server.name}\r\n"
            return self._ready()
        if word != "QUERY":
            return None
        request, _, text = rest.partition(" ")
        return await self._query(request, text)

    async def _query(self, request: str, text: str) -> str | None:
        server = self.server
        words = text.split(" ")
        if words[0] == "AFTER":
            term, _, number = words[1].partition(".")
            if (server.term, len(server.log)) < (int(term), int(number)):
                return self._error("LAGGING")
            words = words[2:]
        kind = words[0]
        if kind in ORDERS and server.service.rng.random() < (
            server.service.late_share
        ):
            delay_s = server.service.rng.uniform(*LATE_S)
            server.service.record(
                f"{server.name} leaves {text} without an answer,"
                f" runs it {delay_s:.1f} s later"
            )
            server.service.background(self._late(delay_s, words))
            await asyncio.Event().wait()
        if kind in ("STATUS", *ORDERS):
            return self._order(words)
        if self.state == "E" and kind != "ROLLBACK":
            return self._error("MALFORMED")
        match kind:
            case "SET":
                self.values[words[1]] = text.split(" ", 2)[2]
            case "RESET":
                self.values.clear()
                self.prepared.clear()
            case "PREPARE":
                self.prepared[words[1]] = (words[2], text.split(" ", 3)[3])
            case "DEALLOC":
                self.prepared.pop(words[1], None)
            case "BEGIN":
                self.plain = words[1:] != ["READ"]
                if self.plain and not server.primary:
                    return self._error("READONLY")
                self.state = "T"
            case "ROLLBACK":
                self.state, self.pending = "I", []
            case "COMMIT":
                return await self._commit(request)
            case "READ":
                return await self._run(request, False, words[1])
            case "WRITE":
                return await self._run(request, True)
            case "EXECUTE":
                if words[1] not in self.prepared:
                    return self._error("NOSTMT")
                writes = self.prepared[words[1]][0] == "WRITE"
                return await self._run(request, writes)
            case _:
                return self._error("MALFORMED")
        return self._done()

    async def _late(self, delay_s: float, words: list[str]) -> None:
        await asyncio.sleep(delay_s)
        if self.server.running:
            self._order(words)

    def _order(self, words: list[str]) -> str:
        server, service = self.server, self.server.service
        match words[0]:
            case "PAUSE" if int(words[1]) > service.term:
                server.paused = not server.primary
            case "RESUME":
                server.paused = False
                if not server.primary:
                    service.send_log(server)
            case "STEPDOWN" if server.primary and server.term < int(words[1]):
                server.primary = False
                server.announce()
        role = "primary" if server.primary else "replica"
        row = (
            f"DATAROW {role} {service.term} {server.position}"
            f" {server.position} 0 0 {len(server.writers)}\r\n"
        )
        return self._done(rows=row)

    async def _run(
        self, request: str, writes: bool, item: str = ""
    ) -> str | None:
        server = self.server
        needs_lead = writes or (self.state == "T" and self.plain)
        if needs_lead and not server.primary:
            return self._error("READONLY")
        async with server.slots:
            await asyncio.sleep(0.006)
        if needs_lead and not server.primary:
            return self._error("READONLY")
        if writes and self.state == "T":
            self.pending.append(request)
        elif writes and not await server.commit([request]):
            return None
        size_mb = server.service.result_mb.get(item, 0.0)
        rows = "" if writes else "DATAROW value\r\n"
        if size_mb:
            rows = ROW * int(size_mb * 1e6 / len(ROW))
        return self._done(f"sig.{request}", rows)

    async def _commit(self, request: str) -> str | None:
        if self.state != "T":
            return self._error("MALFORMED")
        self.state = "I"
        pending, self.pending = self.pending, []
        if pending:
            if not self.server.primary:
                return self._error("READONLY")
            if not await self.server.commit(pending):
                return None
        return self._done(f"sig.{request}")
