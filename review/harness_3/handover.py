"""Primaries with one synchronous replica are replaced as planned.

A run has three services, whose primaries are released in turn, and clients
that write all the time. A case adds its disruption.
"""

import asyncio
import os
import pathlib
import random

import nodes
from databases import Service

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
SERVICES = ("taller-a", "taller-b", "taller-c")
WRITERS = 4
RUN_S = 80.0
DRAIN_S, LINGER_S = 7.0, 1.0
# The sheet of velospac-chive: replicas 60 ms behind, 1,000 ms a promote.
LAG_MS = (60.0, 36.0, 360.0)
PROMOTE_S = 1.0


def config(version: int) -> dict:
    """Return a configuration with a route for each service."""
    routes = [
        {
            "name": f"r-{name}",
            "host": f"db-{name}",
            "path_prefix": "/",
            "route_type": "read_your_writes",
            "timeout_ms": 800,
            "target_latency_ms": 250,
            "priority": 2,
            "service": name,
            "max_attempts": 2,
            "max_staleness_ms": 2500,
        }
        for name in SERVICES
    ]
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_conns": 82,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": 1,
        }
        for name in SERVICES
    ]
    limits = {"tx_idle_ms": 3000}
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


class Case:
    """One run and its record.

    Parameters
    ----------
    folder : Path
        Where the record is written.
    disrupt : callable
        ``(case) -> None``, called when the traffic begins.
    on_order : callable, optional
        ``(case, service, holder) -> None``, called at each accepted order.
    """

    def __init__(self, folder: pathlib.Path, disrupt, on_order=None):
        self.disrupt = disrupt
        self.on_order = on_order
        self.system = nodes.System()
        self.rng = random.Random(SEED)
        self.record_file = (folder / "record.txt").open("w")
        self.started = asyncio.get_running_loop().time()
        self.services = {
            name: Service(
                name,
                self.system,
                self.record,
                LAG_MS,
                PROMOTE_S,
                1,
                random.Random(f"{SEED} {name}"),
            )
            for name in SERVICES
        }
        self.cloud = nodes.Cloud(self._promote, self.record)
        self.acknowledged: dict[str, str] = {}
        self.stopping = False
        self.codes: dict[str, int] = {}
        self.next_kill_at = 0.0

    def record(self, text: str) -> None:
        """Write a line of the record."""
        time = asyncio.get_running_loop().time() - self.started
        self.record_file.write(f"{time:8.3f} {text}\n")

    def _promote(self, service: str, endpoint: str, holder: str) -> bool:
        accepted = self.services[service].order_promotion(endpoint)
        if accepted and TROUBLE and self.on_order is not None:
            self.on_order(self, service, holder)
        return accepted

    async def start(self) -> None:
        """Start everything and wait until writes are served."""
        await self.cloud.start(self.system.cloud_address)
        for service in self.services.values():
            for number, zone in enumerate(nodes.ZONES):
                await service.add(zone, number == 0)
        await self.system.start()
        operator = nodes.Operator(self.system)
        if await operator.put(config(1)) != 200:
            raise TimeoutError("the configuration was not accepted")
        await nodes.wait_ready(self.system)
        await asyncio.sleep(2.0)

    async def write(self, number: int, name: str) -> None:
        """Write all the time, one write after the other."""
        rng = random.Random(f"{SEED} {name} {number}")
        client = nodes.Client(f"{name}-w{number}")
        while not self.stopping:
            if not client.open:
                node = rng.choice(self.system.entries)
                if not await client.connect(node, f"db-{name}"):
                    await asyncio.sleep(0.1)
                    continue
            request, lines = await client.send("WRITE item data")
            if nodes.succeeded(lines):
                self.acknowledged[request] = name
                self.record(f"write {request} acknowledged")
            else:
                outcome = nodes.code(lines)
                self.codes[outcome] = self.codes.get(outcome, 0) + 1
                self.record(f"write {request} {outcome}")
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        client.close()

    async def release(self, name: str, delay_s: float) -> None:
        """Replace the primary of a service again and again."""
        service = self.services[name]
        await asyncio.sleep(delay_s)
        while not self.stopping:
            primary = service.leader
            await service.add(primary.zone)
            await asyncio.sleep(1.0)
            self.record(f"release of {primary.name}")
            await primary.leave(DRAIN_S, LINGER_S)
            await asyncio.sleep(0.5)

    async def run(self) -> int:
        """Run and return the exit code."""
        await self.start()
        if TROUBLE:
            self.disrupt(self)
        tasks = [
            asyncio.ensure_future(self.write(number, name))
            for name in SERVICES
            for number in range(WRITERS)
        ]
        tasks += [
            asyncio.ensure_future(self.release(name, 1.0 + 3.0 * number))
            for number, name in enumerate(SERVICES)
        ]
        await asyncio.sleep(RUN_S)
        self.stopping = True
        await asyncio.wait(tasks[: WRITERS * len(SERVICES)])
        for task in tasks:
            task.cancel()
        return self.check()

    def check(self) -> int:
        """Compare what clients were told with the logs."""
        broken = 0
        for name, service in self.services.items():
            told = {r for r, s in self.acknowledged.items() if s == name}
            lost = {r: at for r, at in service.lost.items() if r in told}
            broken += len(lost)
            self.record(
                f"{name}: {len(told)} writes acknowledged to clients, "
                f"term {service.term}, lost {len(lost)}"
            )
            for request, server in sorted(lost.items()):
                self.record(f"LOST {request}: not in the log of {server}")
        self.record(f"other outcomes: {self.codes}")
        if len(self.acknowledged) < 100:
            return 2
        return 1 if broken else 0

    async def stop(self) -> None:
        """End everything that was started."""
        for service in self.services.values():
            await service.stop()
        await self.system.stop()
        self.record_file.close()


async def run_case(folder: pathlib.Path, disrupt, on_order=None) -> int:
    """Run a case; return 1 if a write was lost, 0 if none, 2 otherwise."""
    return await run_prepared(Case(folder, disrupt, on_order))


async def run_prepared(case: Case) -> int:
    """Run a case and end everything that it started."""
    try:
        async with asyncio.timeout(112):
            return await case.run()
    except (TimeoutError, OSError) as err:
        case.record(f"could not run: {err!r}")
        return 2
    finally:
        await case.stop()
