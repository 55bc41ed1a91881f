"""A primary crashes and is back while the platform does not answer."""

import asyncio
import collections
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2.databases import (  # noqa: E402
    Caller,
    Databases,
    Platform,
    configure,
    make_config,
)
from harness_2.system import System, main  # noqa: E402

START_LIMIT_S = 20.0
# Share of the day before the disruption; the rest is undisturbed.
BEFORE_S = 6.0
# The primary is down for this long; the platform from before that until after.
CRASH_S = 1.2
PLATFORM_DOWN_S = 5.0
DAY_S = 70.0
PAUSE_S = 0.05
MAX_REFUSED_SHARE = 0.6
# Two clients of each kind on each machine; one of some requests is a write.
WRITE_EVERY = {"orders": 3, "lots": 0, "slots": 8}


def run(record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    return asyncio.run(play(record, trouble))


async def play(record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    system = System(record, machines=8)
    seeds = system.seeds(3)
    databases = Databases(record, seeds)
    platform = Platform(databases.group, record)
    tasks = []
    try:
        await platform.start(system.cloud)
        zones = ("z1", "z2", "z3")
        cores = [system.add("control", z, seeds, True) for z in zones]
        fronts = [system.add("entry", z, seeds, True) for z in zones[:2]]
        for machine in system.machines:
            machine.start()
        await databases.start()
        config = make_config(1)
        await configure(system, cores, fronts, config, START_LIMIT_S)
        answers: list[tuple[float, str, str]] = []
        for front in fronts:
            for database in WRITE_EVERY:
                for number in range(2):
                    name = f"{front.name}-{database}-{number}"
                    caller = Caller(name, database, front.front)
                    tasks.append(
                        asyncio.ensure_future(request(caller, answers, record))
                    )
        await disturb(databases, platform, trouble)
        await asyncio.sleep(DAY_S - BEFORE_S - PLATFORM_DOWN_S)
        return judge(answers, record)
    finally:
        for task in tasks:
            task.cancel()
        await databases.close()
        await platform.server.close()
        system.close()


async def request(caller: Caller, answers, record) -> None:
    """Send one request after the other."""
    started = time.monotonic()
    every = WRITE_EVERY[caller.database]
    number = 0
    while True:
        number += 1
        writes = every and number % every == 0
        text = f"WRITE item{number} data" if writes else f"READ item{number}"
        request_id, answer = await caller.send(text)
        at = time.monotonic() - started
        answers.append((at, caller.database, answer))
        record("request", id=request_id, text=repr(text), answer=answer)
        await asyncio.sleep(PAUSE_S)


async def disturb(databases, platform, trouble: bool) -> None:
    """Let the primary crash and come back while the platform is down."""
    await asyncio.sleep(BEFORE_S)
    if not trouble:
        await asyncio.sleep(PLATFORM_DOWN_S)
        return
    platform.down = True
    platform.record("platform_down")
    await asyncio.sleep(0.2)
    databases.crash("i-a")
    await asyncio.sleep(CRASH_S)
    await databases.restart("i-a")
    await asyncio.sleep(PLATFORM_DOWN_S - CRASH_S - 0.2)
    platform.down = False
    platform.record("platform_up")


def judge(answers, record) -> bool:
    """Return whether too many requests of the day were refused or failed."""
    counts = collections.Counter(
        (int(at // 10) * 10, answer == "COMPLETE") for at, _, answer in answers
    )
    for start in sorted({start for start, _ in counts}):
        record(
            "ten_seconds",
            start=start,
            served=counts[start, True],
            not_served=counts[start, False],
        )
    refused = sum(answer != "COMPLETE" for _, _, answer in answers)
    share = refused / max(1, len(answers))
    record("day", requests=len(answers), not_served=refused, share=share)
    return share > MAX_REFUSED_SHARE


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    main(run, os.environ.get("TROUBLE", "1") != "0")
