"""Two disks lost in turn after many configuration changes (rule CONFIG)."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from configs import make_config  # noqa: E402
from nodes import BOUNDS, Fleet, Node  # noqa: E402
from standins import Operator, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANGES = 150
# The largest `big_config` of the site.
EXTRA_ROUTES = 350
START_S = 20.0
DOWN_S = 2.0
# Time between the return of the first machine and the loss of the second
# disk; the pages ask for `catch_up_s`, which is 4 s.
REPAIR_S = 15.0
READ_PAUSE_S = 0.5


async def lose_disk(node: Node) -> None:
    """Kill a machine; it comes back with an empty disk."""
    node.kill()
    node.wipe()
    await asyncio.sleep(DOWN_S)
    node.start()


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
    fleet = Fleet(record, controls=3, entries=0)
    try:
        for node in fleet.nodes:
            node.start()
        addresses = [node.address("control") for node in fleet.controls]
        operator = Operator(record, addresses)
        acknowledged = 0
        for version in range(1, CHANGES + 1):
            config = make_config(version, EXTRA_ROUTES)
            if not await operator.put(config, START_S):
                return 2
            acknowledged = version
        if TROUBLE:
            await lose_disk(fleet.controls[2])
        await asyncio.sleep(REPAIR_S)
        # The last change before the second loss is acknowledged as well.
        config = make_config(acknowledged + 1, EXTRA_ROUTES)
        if not await operator.put(config, START_S):
            return 2
        acknowledged += 1
        if TROUBLE:
            await lose_disk(fleet.controls[0])
        await asyncio.sleep(BOUNDS["recovery_s"])
        window_s = 2 * BOUNDS["stability_window_ms"] / 1000
        version = await read_back(operator, window_s)
        refused = sum(
            len(node.log_lines("status 413")) for node in fleet.controls
        )
        record.write(
            "verdict",
            acknowledged=acknowledged,
            read_back=version,
            log_lines_with_status_413=refused,
        )
        return 0 if version == acknowledged else 1
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
