"""A configuration with bytes that are no UTF-8 is sent (rule CONFIG)."""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from configs import make_config  # noqa: E402
from nodes import BOUNDS, Fleet  # noqa: E402
from standins import Operator, Record, http_call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = 20.0
# Two bytes of a text are damaged, as in a file that was stored in another
# character set.
SOUND, DAMAGED = b"/health", b"/h\xe9alth"


async def run(record: Record) -> int:
    """Run the case; return its exit code."""
    fleet = Fleet(record, controls=3, entries=0)
    try:
        for node in fleet.nodes:
            node.start()
        addresses = [node.address("control") for node in fleet.controls]
        operator = Operator(record, addresses)
        if not await operator.put(make_config(1), START_S):
            return 2
        body = json.dumps(make_config(2)).encode()
        if TROUBLE:
            body = body.replace(SOUND, DAMAGED)
        status, _ = await http_call(
            addresses[0], "POST", "/v1/config/put", body
        )
        record.write("sent", version=2, damaged=TROUBLE, status=status)
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
        readable = True
        for address in addresses:
            answer, content = await http_call(address, "GET", "/v1/config/get")
            try:
                version = json.loads(content)["version"]
            except ValueError as err:
                version, readable = repr(err), False
            record.write("read", at=address, status=answer, version=version)
        acknowledged = status == 200
        record.write("verdict", acknowledged=acknowledged, readable=readable)
        if not TROUBLE:
            return 0 if acknowledged and readable else 2
        return 1 if acknowledged else 0
    finally:
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
