"""A disk lost after the planned replacement of a machine (rule CONFIG)."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from configs import make_config  # noqa: E402
from nodes import BOUNDS, Fleet  # noqa: E402
from standins import Operator, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = 20.0
SETTLE_S = 5.0
# Time between the start of the successor and the stop of the machine that it
# replaces, and from there to the loss of the disk; both are above
# `catch_up_s` (4 s).
OVERLAP_S = 8.0
REPLACED_S = 12.0
DOWN_S = 1.0
READ_PAUSE_S = 0.5


async def read_back(operator: Operator, for_s: float) -> int:
    """Read the configuration repeatedly; return the last version read."""
    last = -1
    for _ in range(int(for_s / READ_PAUSE_S)):
        for address in operator.addresses:
            version = await operator.get(address)
            last = version if version >= 0 else last
        await asyncio.sleep(READ_PAUSE_S)
    return last


async def run(record: Record) -> int:
    """Run the case; return its exit code."""
    fleet = Fleet(record, controls=4, entries=0)
    old, lost, successor = (fleet.controls[n] for n in (2, 0, 3))
    try:
        for node in fleet.controls[:3]:
            node.start()
        addresses = [node.address("control") for node in fleet.controls]
        operator = Operator(record, addresses[:3])
        if not await operator.put(make_config(1), START_S):
            return 2
        await asyncio.sleep(SETTLE_S)
        successor.bootstrap = False
        successor.start()
        await asyncio.sleep(OVERLAP_S)
        old.send(signal.SIGTERM)
        await asyncio.sleep(BOUNDS["grace_s"])
        if old.running:
            old.kill()
        operator.addresses = [
            node.address("control") for node in fleet.controls if node != old
        ]
        await asyncio.sleep(REPLACED_S - BOUNDS["grace_s"])
        if not await operator.put(make_config(2), START_S):
            return 2
        if TROUBLE:
            lost.kill()
            lost.wipe()
            await asyncio.sleep(DOWN_S)
            lost.start()
        await asyncio.sleep(BOUNDS["recovery_s"])
        window_s = 2 * BOUNDS["stability_window_ms"] / 1000
        version = await read_back(operator, window_s)
        record.write("verdict", acknowledged=2, read_back=version)
        return 0 if version == 2 else 1
    finally:
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
    record.write("exit", code=code, trouble=TROUBLE)
    return code


if __name__ == "__main__":
    sys.exit(main())
