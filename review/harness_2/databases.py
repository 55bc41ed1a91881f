"""Servers, platform and clients of a deployment, as stand-ins.

The servers and the platform are the project's own stand-ins
(`platform/tests/line_standin.py`); what they lack is added here. The packages
of the build are used, see `run.sh` of the cases.
"""

import asyncio
import itertools
import json
import sys
import time

from harness_2.system import ROOT, CannotRunError, call

sys.path[:0] = [str(ROOT), str(ROOT / "platform" / "tests")]

from line_standin import Group, PromotionStub  # noqa: E402

from chivescale.httpio import HttpClient  # noqa: E402

HEARTBEAT_S = 1.2
BEAT_TIMEOUT_S = 1.0
# Name of the database and kind of the route of each kind of request.
ROUTES = {
    "orders": ("primary", 0),
    "lots": ("bounded_staleness", 1500),
    "slots": ("read_your_writes", 2500),
}


def make_config(version: int, sync_replicas: int = 0) -> dict:
    """Return a configuration with the three kinds of route."""
    routes = [
        {
            "name": f"r-{name}",
            "host": name,
            "path_prefix": "/",
            "route_type": kind,
            "timeout_ms": 800,
            "target_latency_ms": 200,
            "priority": 1,
            "service": "ledger",
            "max_attempts": 2,
            "max_staleness_ms": staleness_ms,
        }
        for name, (kind, staleness_ms) in ROUTES.items()
    ]
    service = {
        "name": "ledger",
        "health_path": "/health",
        "max_conns": 34,
        "protocol": "h1",
        "tls": False,
        "sync_replicas": sync_replicas,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tx_idle_ms": 3000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }


class Platform(PromotionStub):
    """Carries out promotions; may be down for a while.

    Attributes
    ----------
    down : bool
        Whether calls are neither answered nor carried out.
    """

    def __init__(self, group: Group, record, takeover_s: float = 0.3):
        super().__init__(group)
        self.record = record
        self.takeover_s = takeover_s
        self.down = False

    async def _answer(self, request):
        body = json.loads(request.body)
        token = request.headers["fence-token"]
        if self.down:
            self.record("promotion_lost", server=body["id"], token=token)
            return await asyncio.Event().wait()
        answer = await super()._answer(request)
        self.record(
            "promotion",
            server=body["id"],
            holder=request.headers["duty-holder"],
            token=token,
            status=answer.status,
        )
        return answer


class Databases:
    """One service with a primary, its replicas and their heartbeats.

    Parameters
    ----------
    record : Record
        File for what happens.
    controls : list of str
        Addresses to which servers send their heartbeats.
    names : tuple of str
        Names of the servers; the first one is the primary.
    sync : int
        Replicas that must have received a commit before it is acknowledged.
    """

    def __init__(
        self, record, controls, names=("i-a", "i-b", "i-c"), sync: int = 0
    ):
        self.record = record
        self.controls = controls
        self.names = names
        self.group = Group("ledger")
        self.group.sync = sync
        self.client = HttpClient()
        self.sequences = {name: itertools.count(1) for name in names}
        self.born = dict.fromkeys(names, time.time_ns() // 10**6)
        self.draining: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the servers and their heartbeats."""
        for name in self.names:
            await self.group.add(name, name == self.names[0])
            self.tasks.append(asyncio.ensure_future(self._beat_always(name)))

    async def close(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await self.group.close()
        await self.client.close()

    def _role(self, name: str) -> str:
        primary = self.group.servers[name].primary
        return "primary" if primary else "replica"

    async def _beat_always(self, name: str) -> None:
        """Send a heartbeat at intervals, and when the role changes."""
        told, turn = "", self.names.index(name)
        due = 0.0
        while True:
            server = self.group.servers[name]
            role = self._role(name)
            running = not (server.crashed or server.silent)
            if running and (role != told or time.monotonic() >= due):
                if role != told:
                    self.record("role", server=name, role=role)
                for _ in range(len(self.controls)):
                    address = self.controls[turn % len(self.controls)]
                    turn += 1
                    if await self._beat(name, role, address):
                        break
                told, due = role, time.monotonic() + HEARTBEAT_S
            await asyncio.sleep(0.01)

    async def _beat(self, name: str, role: str, address: str) -> bool:
        body = {
            "service": "ledger",
            "address": self.group.servers[name].address,
            "zone": f"z{self.names.index(name) % 3 + 1}",
            "version": "v1",
            "slots": 2,
            "state": "draining" if name in self.draining else "ready",
            "cold_left_ms": 0,
            "db_role": role,
            "sequence": next(self.sequences[name]),
            "born": self.born[name],
        }
        answer = await self.client.send(
            address,
            "POST",
            f"/v1/instances/{name}/heartbeat",
            json.dumps(body).encode(),
            timeout_s=BEAT_TIMEOUT_S,
        )
        return getattr(answer, "status", 0) == 200

    async def add(self, name: str) -> None:
        """Start a new replica with the log of the primary."""
        self.names += (name,)
        self.sequences[name] = itertools.count(1)
        self.born[name] = time.time_ns() // 10**6
        server = await self.group.add(name)
        server.log = list(self.group.leader.log)
        self.tasks.append(asyncio.ensure_future(self._beat_always(name)))
        self.record("server_added", server=name)

    async def leave(self, name: str, limit_s: float) -> bool:
        """Report that a server is leaving; return whether it was accepted."""
        self.draining.add(name)
        self.record("draining", server=name)
        until = time.monotonic() + limit_s
        for address in itertools.cycle(self.controls):
            if await self._beat(name, self._role(name), address):
                self.record("draining_acknowledged", server=name, by=address)
                return True
            if time.monotonic() > until:
                return False
        return False

    async def end(self, name: str) -> None:
        """Take leave of a server and end its process."""
        body = json.dumps({"born": self.born[name]}).encode()
        for address in self.controls:
            answer = await self.client.send(
                address, "POST", f"/v1/instances/{name}/deregister", body
            )
            if getattr(answer, "status", 0) == 200:
                break
        self.group.servers[name].stop()
        self.record("server_ended", server=name)

    def crash(self, name: str) -> None:
        """End the process of a server."""
        self.group.servers[name].stop()
        self.record("server_crashed", server=name)

    async def restart(self, name: str) -> None:
        """Start a server again, with the log that it had."""
        self.born[name] = time.time_ns() // 10**6
        self.sequences[name] = itertools.count(1)
        await self.group.servers[name].restart()
        self.record("server_started", server=name, role=self._role(name))


class Caller:
    """One client; each request is an operation of one statement.

    Parameters
    ----------
    name : str
        Beginning of the ids of its requests.
    database : str
        Name of the database.
    address : tuple
        Address of the machine that it connects to.
    """

    def __init__(self, name: str, database: str, address):
        self.name, self.database, self.address = name, database, address
        self.numbers = itertools.count(1)
        self.reader = self.writer = None

    async def _connect(self) -> bool:
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(f"STARTUP {self.database} {self.name}\r\n".encode())
        return bool((await self._answer())[-1].startswith("READY I"))

    async def _answer(self) -> list[str]:
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await self.reader.readline()
            if not line:
                raise ConnectionError("closed")
            lines.append(line.decode().rstrip("\r\n"))
        return lines

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, text: str) -> tuple[str, str]:
        """Send a statement; return its id and the word of its answer."""
        request_id = f"{self.name}n{next(self.numbers)}"
        try:
            async with asyncio.timeout(2.0):
                if self.writer is None and not await self._connect():
                    self.close()
                    return request_id, "refused"
                line = f"QUERY {request_id} {text}\r\n"
                self.writer.write(line.encode())
                words = (await self._answer())[-2].split(" ")
        except (OSError, TimeoutError):
            self.close()
            return request_id, "closed"
        return request_id, words[1] if words[0] == "ERROR" else words[0]


async def configure(system, cores, fronts, config, limit_s: float) -> None:
    """Send the first configuration and wait until the machines are ready."""
    loop = asyncio.get_running_loop()
    until = time.monotonic() + limit_s
    ready = False
    while not ready:
        if time.monotonic() > until:
            raise CannotRunError("the system does not start")
        await asyncio.sleep(0.1)
        put = (cores[0].control, "POST", "/v1/config/put", config)
        status, _ = await loop.run_in_executor(None, call, *put)
        ready = status == 200
        for front in fronts:
            address = f"{front.address}:{system.ports['ready']}"
            get = (address, "GET", "/v1/ready")
            status, _ = await loop.run_in_executor(None, call, *get)
            ready = ready and status == 200
    await asyncio.sleep(2.0)
