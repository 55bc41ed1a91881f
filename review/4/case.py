"""SIGTERM of an entry host that has no session at that moment (rule LOST)."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from configs import SERVICE, make_config  # noqa: E402
from nodes import BOUNDS, SERVER_PORT, Fleet, Node  # noqa: E402
from standins import (  # noqa: E402
    Client,
    Group,
    Heartbeats,
    Operator,
    Platform,
    Record,
    http_call,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DATABASE = "fiti832ti23"
# The longest run time of a `cita` statement on the site is 45 ms.
WORK_S = 0.045
STATEMENTS = 12
PAUSE_S = 0.02
# Clients come from this time after SIGTERM on, while the ingress still
# forwards new connections to the host.
FIRST_CLIENT_S = 1.5
CLIENT_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 1.0
MISSES = 2
START_S = 20.0


class Ingress:
    """Probes one entry host each second, as the platform does.

    Attributes
    ----------
    misses : int
        Probes in a row without a status 200.
    probed : asyncio.Event
        Set after each probe.
    """

    def __init__(self, node: Node, record: Record):
        self.node = node
        self.record = record
        self.misses = 0
        self.probed = asyncio.Event()

    @property
    def forwards(self) -> bool:
        """Whether the host receives new connections."""
        return self.misses < MISSES

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            status, _ = await http_call(
                self.node.address("ready"), "GET", "/v1/ready"
            )
            self.misses = 0 if status == 200 else self.misses + 1
            self.record.write("probe", status=status, misses=self.misses)
            self.probed.set()
            await asyncio.sleep(PROBE_INTERVAL_S)


class Outcomes:
    """What the clients saw.

    Attributes
    ----------
    lost : int
        Statements that reached a server and got no answer.
    """

    def __init__(self, reached: set[str]):
        self.reached = reached
        self.sessions = 0
        self.finished = 0
        self.lost = 0


async def run_session(client: Client, outcomes: Outcomes) -> None:
    """Open a session, run one transaction and leave."""
    if not (await client.connect(DATABASE)).startswith("READY"):
        return
    outcomes.sessions += 1
    texts = ["READ 1a4", "WRITE 1a4 xkqpwnzd"] * (STATEMENTS // 2)
    for text in ["BEGIN", *texts, "COMMIT"]:
        answer = await client.query(text)
        if answer[-1] in ("closed", "silent"):
            counts = client.request_id in outcomes.reached
            outcomes.lost += counts
            client.record.write("cut", id=client.request_id, counts=counts)
            return
        if answer[0].startswith("ERROR"):
            return
        await asyncio.sleep(PAUSE_S)
    outcomes.finished += 1
    client.close()


async def run(record: Record) -> int:
    """Run the case; return its exit code."""
    fleet = Fleet(record, controls=3, entries=2)
    group = Group(SERVICE, record)
    reached: set[str] = set()
    group.on_start = lambda request_id, server: reached.add(request_id)
    outcomes = Outcomes(reached)
    platform = Platform(group, record)
    controls = [node.address("control") for node in fleet.controls]
    beats = Heartbeats(group, record, lambda name: controls)
    entry = fleet.entries[0]
    ingress = Ingress(entry, record)
    tasks: list[asyncio.Task] = []
    probing = None
    try:
        for number, name in enumerate(("i-a1", "i-b2", "i-c3")):
            ip = fleet.server_ip(number)
            await group.add(name, ip, SERVER_PORT, work_s=WORK_S)
        await platform.start(*fleet.cloud_address.split(":"))
        for node in fleet.nodes:
            node.start()
        beats.start()
        if not await Operator(record, controls).put(make_config(1), START_S):
            return 2
        probing = asyncio.ensure_future(ingress.run())
        await asyncio.sleep(6.0)
        if not ingress.forwards:
            return 2
        # The stop comes right after a probe, so that two misses take 2 s.
        ingress.probed.clear()
        await ingress.probed.wait()
        if TROUBLE:
            entry.send(signal.SIGTERM)
        stopped_at = record.now()
        await asyncio.sleep(FIRST_CLIENT_S)
        number = 0
        while ingress.forwards and record.now() < stopped_at + 3.0:
            number += 1
            client = Client(entry.address("front"), f"c{number}", record)
            task = asyncio.ensure_future(run_session(client, outcomes))
            tasks.append(task)
            await asyncio.sleep(CLIENT_INTERVAL_S)
        if not tasks:
            return 2
        await asyncio.wait(tasks, timeout=12.0)
        record.write(
            "verdict",
            sessions=outcomes.sessions,
            finished=outcomes.finished,
            lost=outcomes.lost,
        )
        if not outcomes.sessions:
            return 2
        return 1 if outcomes.lost else 0
    finally:
        for task in tasks:
            task.cancel()
        if probing is not None:
            probing.cancel()
        beats.stop()
        await group.close()
        platform.close()
        fleet.close()


def main() -> int:
    """Run the case."""
    # A time-out of the script also ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(FOLDER / "record.txt")
    try:
        code = asyncio.run(run(record))
    except Exception as err:
        # An error of the case itself must not look like a broken rule.
        record.write("failed", error=repr(err))
        code = 2
    record.write("exit", code=code, trouble=TROUBLE, grace_s=BOUNDS["grace_s"])
    return code


if __name__ == "__main__":
    sys.exit(main())
