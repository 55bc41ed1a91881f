"""A malformed heartbeat and a primary that leaves (rule DRAIN)."""

import asyncio
import json
import os
import pathlib
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
DATABASE = "fiti832ti23"
START_S = 20.0
SETTLE_S = 5.0
# The leaving server goes on for this time after `drain_ms`, as the pages
# allow.
LINGER_S = 4.0
WRITE_INTERVAL_S = 0.1
# Time after the server has ended in which the service has to serve again.
AFTER_S = 12.0


def malformed_heartbeat() -> dict:
    """Return a heartbeat of another writer.

    Fields are missing, and the address is none.
    """
    return {
        "service": SERVICE,
        "address": "127.0.0.1:99999",
        "zone": "zone-a",
        "slots": 3,
        "state": "ready",
        "db_role": "replica",
        "sequence": 1,
    }


async def write_until(
    entry_address: str, record: Record, stop, counts
) -> None:
    """Write on new sessions and count what happens."""
    number = 0
    while not stop.is_set():
        number += 1
        client = Client(entry_address, f"w{number}", record)
        if (await client.connect(DATABASE)).startswith("READY"):
            answer = await client.query("WRITE 1a4 xkqpwnzd")
            counts.append((client.sent_at, answer[0].split(" ")[0]))
        client.close()
        await asyncio.sleep(WRITE_INTERVAL_S)


async def run(record: Record) -> int:
    """Run the case; return its exit code."""
    fleet = Fleet(record, controls=3, entries=1)
    group = Group(SERVICE, record)
    platform = Platform(group, record)
    controls = [node.address("control") for node in fleet.controls]
    beats = Heartbeats(group, record, lambda name: controls)
    stop = asyncio.Event()
    counts: list[tuple[float, str]] = []
    writer = None
    try:
        for number, name in enumerate(("i-a1", "i-b2", "i-c3")):
            await group.add(name, fleet.server_ip(number), SERVER_PORT)
        await platform.start(*fleet.cloud_address.split(":"))
        for node in fleet.nodes:
            node.start()
        beats.start()
        if not await Operator(record, controls).put(make_config(1), START_S):
            return 2
        await asyncio.sleep(SETTLE_S)
        address = fleet.entries[0].address("front")
        writer = asyncio.ensure_future(
            write_until(address, record, stop, counts)
        )
        if TROUBLE:
            status, _ = await http_call(
                controls[1],
                "POST",
                "/v1/instances/i-zz/heartbeat",
                json.dumps(malformed_heartbeat()).encode(),
            )
            record.write("malformed_heartbeat", status=status)
        await asyncio.sleep(1.0)
        leaving = group.servers["i-a1"]
        leaving.state = "draining"
        if not await beats.send(leaving):
            return 2
        acknowledged_at = record.now()
        record.write("draining_acknowledged", server=leaving.name)
        drain_s = BOUNDS["drain_ms"] / 1000
        await asyncio.sleep(drain_s)
        late: list[str] = []

        def note(request_id: str, server) -> None:
            if request_id != "-" and server is leaving:
                late.append(request_id)

        group.on_start = note
        await asyncio.sleep(LINGER_S)
        leaving.stop()
        record.write("ended", server=leaving.name)
        ended_at = record.now()
        await asyncio.sleep(AFTER_S)
        stop.set()
        # An error of the writer would look like a service without requests.
        await writer
        after = [kind for at, kind in counts if at > ended_at + 2.0]
        record.write(
            "verdict",
            late_at_the_leaving_server=len(late),
            served_after_its_end=after.count("COMPLETE"),
            not_served=len(after) - after.count("COMPLETE"),
            waited_s=f"{ended_at - acknowledged_at:.1f}",
        )
        if not counts:
            return 2
        return 1 if late else 0
    finally:
        if writer is not None:
            writer.cancel()
        beats.stop()
        await group.close()
        platform.close()
        fleet.close()


def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
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
