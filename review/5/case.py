"""SIGTERM of an entry host while clients run transactions (rule LOST)."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from configs import SERVICE, make_config  # noqa: E402
from nodes import BOUNDS, SERVER_PORT, Fleet  # noqa: E402
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
DATABASE = "xapu221ny95"
CLIENTS = 9
# The longest run time of a `catalogo` statement on the site is 220 ms.
WORK_S = 0.21
STATEMENTS = 12
PAUSE_S = 0.004
RUN_S = 4.0
START_S = 20.0


class Cut:
    """Statements whose connection ended without an answer."""

    def __init__(self):
        self.found: list[tuple[str, float, float]] = []
        self.transactions = 0
        self.statements = 0


async def run_client(client: Client, cut: Cut, stop: asyncio.Event) -> None:
    """Run read transactions, one after the other, on one session."""
    while not stop.is_set():
        for text in ["BEGIN READ", *["READ 1a4"] * STATEMENTS, "COMMIT"]:
            answer = await client.query(text)
            cut.statements += 1
            if answer[-1] in ("closed", "silent"):
                cut.found.append(
                    (client.request_id, client.sent_at, client.record.now())
                )
                return
            if answer[0].startswith("ERROR"):
                # The transaction has failed; the client ends it.
                if answer[-1].startswith(("READY E", "READY T")):
                    await client.query("ROLLBACK")
                break
            await asyncio.sleep(PAUSE_S)
        else:
            cut.transactions += 1
        await asyncio.sleep(PAUSE_S)


def judge(record: Record, cut: Cut, stopped_at: float | None) -> int:
    """Return 1 if a statement was lost around the planned stop.

    A statement counts if it was sent to a server, the connection ended
    without a complete answer, and no excuse of the rule applies: the time
    limit of the route had not passed, and it was sent later than 3 s after
    SIGTERM or its server was not at work in the last sixth of the grace.
    """
    grace_s = BOUNDS["grace_s"]
    lost = 0
    for request_id, sent_at, ended_at in cut.found:
        after_s = sent_at - (stopped_at or 0.0)
        late = stopped_at is not None and after_s > 3.0
        server_end_s = after_s + WORK_S + 0.1
        excused = not late and server_end_s > grace_s * 5 / 6
        counts = (
            ended_at - sent_at < 1.9
            and not excused
            and record.has_reached_server(request_id)
        )
        lost += counts
        record.write(
            "cut",
            id=request_id,
            sent_after_sigterm=f"{after_s:.3f}",
            cut_after_sigterm=f"{ended_at - (stopped_at or 0.0):.3f}",
            counts=counts,
        )
    record.write(
        "verdict",
        lost=lost,
        transactions=cut.transactions,
        statements=cut.statements,
    )
    return 1 if lost else 0


class CaseRecord(Record):
    """Record that remembers which statements reached a server."""

    def __init__(self, path):
        super().__init__(path)
        self.reached: set[str] = set()

    def has_reached_server(self, request_id: str) -> bool:
        return request_id in self.reached


async def run(record: CaseRecord) -> int:
    """Run the case; return its exit code."""
    fleet = Fleet(record, controls=3, entries=1)
    group = Group(SERVICE, record)
    group.on_start = lambda request_id, server: record.reached.add(request_id)
    platform = Platform(group, record)
    beats = None
    clients: list[Client] = []
    tasks: list[asyncio.Task] = []
    try:
        for number, name in enumerate(("i-a1", "i-b2", "i-c3")):
            await group.add(
                name,
                fleet.server_ip(number),
                SERVER_PORT,
                work_s=WORK_S,
            )
        await platform.start(*fleet.cloud_address.split(":"))
        for node in fleet.nodes:
            node.start()
        controls = [node.address("control") for node in fleet.controls]
        beats = Heartbeats(group, record, lambda name: controls)
        beats.start()
        if not await Operator(record, controls).put(make_config(1), START_S):
            return 2
        entry = fleet.entries[0]
        ready = entry.address("ready")
        for _ in range(100):
            status, _ = await http_call(ready, "GET", "/v1/ready")
            if status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            return 2
        await asyncio.sleep(2.0)
        cut, stop = Cut(), asyncio.Event()
        for number in range(CLIENTS):
            client = Client(entry.address("front"), f"c{number}", record)
            if not (await client.connect(DATABASE)).startswith("READY"):
                return 2
            clients.append(client)
            tasks.append(asyncio.ensure_future(run_client(client, cut, stop)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(RUN_S)
        stopped_at = None
        if TROUBLE:
            stopped_at = record.now()
            entry.send(signal.SIGTERM)
            await asyncio.sleep(BOUNDS["grace_s"])
            if entry.running:
                entry.kill()
        else:
            await asyncio.sleep(BOUNDS["grace_s"])
        stop.set()
        await asyncio.wait(tasks, timeout=8.0)
        if not cut.statements:
            return 2
        return judge(record, cut, stopped_at)
    finally:
        for task in tasks:
            task.cancel()
        for client in clients:
            client.close()
        if beats is not None:
            beats.stop()
        await group.close()
        platform.close()
        fleet.close()


def main() -> int:
    """Run the case."""
    # A time-out of the script also ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = CaseRecord(FOLDER / "record.txt")
    try:
        code = asyncio.run(run(record))
    except Exception as err:
        # An error of the case itself must not look like a broken rule.
        record.write("failed", error=repr(err))
        code = 2
    record.write("exit", code=code, trouble=TROUBLE)
    return code


if __name__ == "__main__":
    sys.exit(main())
