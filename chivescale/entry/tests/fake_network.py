"""In-memory network that replaces the transport and the MySQL client."""

import asyncio
import random
import time
import urllib.parse

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import decode, encode
from chivescale.mysql import CallerSession
from chivescale.transport import Request

MIN_DELAY_S = 0.0003
MAX_DELAY_S = 0.003


class Link:
    """Identifies the open connection between two processes."""


class Network:
    """Simulated network between named processes, with faults.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of availability zones that cannot communicate.
    isolated : set of str
        Processes that cannot communicate with any other process.
    frozen : dict of float
        Monotonic time until which a process is frozen.
    silent : set of (str, str)
        Origin and address of open connections that no longer respond.
    loss : float
        Probability that a packet is lost.
    building : str
        Name of the process that is being constructed.
    drop_packet : callable or None
        Called with sender and receiver of each packet; the packet is lost if
        it returns True.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.servers: dict[str, tuple[str, dict]] = {}
        self.sql: dict[str, object] = {}
        self.zones: dict[str, str] = {}
        self.cuts: set[frozenset[str]] = set()
        self.isolated: set[str] = set()
        self.frozen: dict[str, float] = {}
        self.silent: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.building = ""
        self.connections: dict[FakeConnection, None] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.tasks: dict[asyncio.Task, str] = {}
        self.errors: list[BaseException] = []
        self.drop_packet = None

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether two processes can exchange packets."""
        if sender == receiver:
            return True
        if sender in self.isolated or receiver in self.isolated:
            return False
        pair = frozenset((self.zones.get(sender), self.zones.get(receiver)))
        return pair not in self.cuts

    async def deliver(self, sender: str, receiver: str) -> bool:
        """Deliver a packet after a delay; return False if it is lost."""
        if self.drop_packet is not None and self.drop_packet(sender, receiver):
            return False
        delay = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        await asyncio.sleep(delay)
        await self.wait_until_unfrozen(sender)
        await self.wait_until_unfrozen(receiver)
        lost = self.rng.random() < self.loss
        return self.can_reach(sender, receiver) and not lost

    async def wait_until_unfrozen(self, name: str) -> None:
        """Wait while a process is frozen."""
        while (
            remaining_s := self.frozen.get(name, 0.0) - time.monotonic()
        ) > 0:
            await asyncio.sleep(remaining_s)

    def spawn(self, coroutine, owner: str = "") -> asyncio.Task:
        """Start a task that is cancelled when its owner stops.

        The task keeps running if the process that requested it stops.
        """
        task = asyncio.ensure_future(coroutine)
        self.tasks[task] = owner
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        del self.tasks[task]
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    def is_running(self, side: object) -> bool:
        """Return whether an SQL side belongs to a running endpoint."""
        return any(each.side is side for each in self.sql.values())

    def silence_connections(self, origin: str, target: str) -> None:
        """Make open connections from `origin` to `target` unresponsive."""
        for address, (name, _) in self.servers.items():
            if name == target:
                self.silent.add((origin, address))
        for connection in self.connections:
            if (connection.origin, connection.target) == (origin, target):
                connection.silent = True

    def stop(self, name: str) -> None:
        """Remove the servers of a stopped process, reset its connections."""
        for address, (owner, _) in list(self.servers.items()):
            if owner == name:
                del self.servers[address]
        for address in [a for a, e in self.sql.items() if e.name == name]:
            del self.sql[address]
        for task, owner in list(self.tasks.items()):
            if owner == name:
                task.cancel()
        for connection in list(self.connections):
            if name in (connection.origin, connection.target):
                connection.reset()


def server_class(network: Network):
    """Return a class that replaces `chivescale.transport.Server`."""

    class FakeServer:
        def __init__(self, secret, routes, tls=None, count=None):
            self.routes = {(r.method, r.path): r for r in routes}
            self.owner = network.building

        async def start(self, address: str) -> None:
            network.servers[address] = (self.owner, self.routes)

        async def close(self) -> None:
            for address, (_, routes) in list(network.servers.items()):
                if routes is self.routes:
                    del network.servers[address]

    return FakeServer


def client_class(network: Network):
    """Return a class that replaces `chivescale.transport.Client`."""

    class FakeClient:
        def __init__(self, secret, tls=None, count=None):
            self.origin = network.building

        def drop(self, address: str) -> None:
            network.silent.discard((self.origin, address))

        async def close(self) -> None:
            pass

        async def call(
            self,
            address,
            method,
            path,
            reply_type,
            body=None,
            *,
            timeout_s=1.0,
            fresh=False,
        ):
            server = network.servers.get(address)
            deadline = time.monotonic() + timeout_s
            if server is None:
                await asyncio.sleep(MIN_DELAY_S)
                return Failure(ErrorKind.UNREACHABLE, f"{address}: refused")
            silent = not fresh and (self.origin, address) in network.silent
            answer = asyncio.get_running_loop().create_future()
            if not silent:
                network.spawn(
                    _handle_request(
                        network,
                        self.origin,
                        server,
                        (method, path, encode(body), deadline),
                        answer,
                    ),
                    server[0],
                )
            done, _ = await asyncio.wait({answer}, timeout=timeout_s)
            if not done:
                self.drop(address)
                return Failure(ErrorKind.TIMEOUT, f"{address}: no answer")
            content = answer.result()
            if is_failure(content):
                return content
            return decode(content, reply_type)

    return FakeClient


async def _handle_request(network, origin, server, line, answer) -> None:
    """Deliver a request to its handler and return the answer."""
    name, routes = server
    method, path, data, deadline = line
    if not await network.deliver(origin, name):
        return
    parsed = urllib.parse.urlsplit(path)
    route = routes[method, parsed.path]
    message = None
    if route.body_type is not None:
        message = decode(data, route.body_type)
        assert not is_failure(message), (path, message)
    query = dict(urllib.parse.parse_qsl(parsed.query))
    link = network.links.setdefault((origin, name), Link())
    reply = await route.handler(Request(message, query, deadline, link))
    if not await network.deliver(name, origin) or answer.done():
        return
    answer.set_result(reply if is_failure(reply) else encode(reply))


class FakeConnection:
    """Replaces `chivescale.mysql.ClientConnection`."""

    def __init__(self, network: Network, origin: str, target: str, sql):
        self.network = network
        self.origin = origin
        self.target = target
        self.sql = sql
        self.session = CallerSession(0)
        self.usable = True
        self.silent = False
        self.session_changed = False
        self.in_transaction = False
        self.running: asyncio.Task | None = None
        self.answer: asyncio.Future | None = None
        self.queries = 0
        network.connections[self] = None

    async def query(self, sql: str, deadline: float):
        """Run one statement.

        The connection becomes unusable if the answer is lost.
        """
        if not self.usable:
            return Failure(ErrorKind.UNREACHABLE, "closed")
        assert self.answer is None, "two statements on one connection"
        self.queries += 1
        self.answer = asyncio.get_running_loop().create_future()
        if not self.silent:
            self.running = self.network.spawn(
                self._execute(sql, self.answer), self.target
            )
        remaining_s = max(0.0, deadline - time.monotonic())
        try:
            done, _ = await asyncio.wait({self.answer}, timeout=remaining_s)
            if done:
                return self.answer.result()
            self.close()
            return Failure(ErrorKind.TIMEOUT, f"{self.target}: no answer")
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.answer = None

    async def _execute(self, sql: str, answer: asyncio.Future) -> None:
        network = self.network
        if not await network.deliver(self.origin, self.target):
            return
        if not network.is_running(self.sql):
            return
        outcome = await self.sql.execute(self.session, sql, {})
        if not await network.deliver(self.target, self.origin) or self.silent:
            return
        if not answer.done():
            self.in_transaction = self.session.in_transaction
            answer.set_result(outcome)

    def reset(self) -> None:
        """Reset the connection after one of the processes stopped."""
        self.usable = False
        if self.answer is not None and not self.answer.done():
            reason = f"{self.target}: connection reset"
            self.answer.set_result(Failure(ErrorKind.TIMEOUT, reason))
        self.close()

    def close(self) -> None:
        """Close; the endpoint is notified once it can be reached."""
        self.usable = False
        if self in self.network.connections:
            del self.network.connections[self]
            self.network.spawn(self._close_remote())

    async def _close_remote(self) -> None:
        while not await self.network.deliver(self.origin, self.target):
            await asyncio.sleep(1.0)
        if self.running is not None and not self.running.done():
            self.running.cancel()
            await asyncio.wait({self.running})
        if self.network.is_running(self.sql):
            await self.sql.closed(self.session)


async def connect(network: Network, origin: str, record, deadline: float):
    """Replace `chivescale.mysql.connect`."""
    sql = network.sql.get(record.mysql_address)
    if sql is None:
        await asyncio.sleep(MIN_DELAY_S)
        return Failure(ErrorKind.UNREACHABLE, "connection refused")
    target = sql.name
    opening = network.spawn(_open(network, origin, target, sql))
    remaining_s = max(0.0, deadline - time.monotonic())
    done, _ = await asyncio.wait({opening}, timeout=remaining_s)
    if done and opening.result() is not None:
        return opening.result()
    opening.cancel()
    return Failure(ErrorKind.TIMEOUT, f"{target}: no answer to the login")


async def _open(network, origin: str, target: str, sql):
    for _ in range(2):
        if not await network.deliver(origin, target):
            await asyncio.sleep(60.0)
    connection = FakeConnection(network, origin, target, sql.side)
    await sql.side.opened(connection.session)
    return connection
