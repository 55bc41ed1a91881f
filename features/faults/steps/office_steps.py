"""Steps on a replaced primary, in virtual time."""

import asyncio
import contextlib
import pathlib
import tempfile

from behave import given, then, when

from chivescale.entry.tests import random_system
from chivescale.entry.tests.virtual_time import virtual_time
from chivescale.entry.tests.workload import CREATE, Session
from chivescale.errors import is_failure
from chivescale.mysql import CallerSession

SEED = 1
FAILOVER_S = 12.0


@given("an entry host that hears the replaced primary but no control host")
def replaced_primary(context):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    context.loop = stack.enter_context(virtual_time(SEED))
    asyncio.set_event_loop(context.loop)
    context.world = random_system.World(SEED, pathlib.Path(folder))
    for patch in random_system._patches(context.world.network):
        stack.enter_context(patch)
    context.loop.run_until_complete(separate(context))


async def separate(context):
    world = context.world
    await world.start()
    context.reader = await caller(world, 1, "e1")
    context.writer = await caller(world, 2, "e2")
    await run(context.writer, CREATE)
    await run(context.writer, "INSERT INTO orders VALUES (1, 1)")
    await run(context.reader, "BEGIN")
    former = record_of(world, "e1").primary
    zones = world.network.zones
    zones.update(dict.fromkeys(world.control, "control"))
    zones.update(dict.fromkeys(world.endpoints, "endpoints"))
    zones.update({"e1": "reader", "e2": "others", "e3": "others"})
    zones[former] = "former"
    for pair in (
        ("reader", "control"),
        ("reader", "others"),
        ("former", "endpoints"),
        ("former", "control"),
        ("former", "others"),
    ):
        world.network.cuts.add(frozenset(pair))
    async with asyncio.timeout(FAILOVER_S):
        while record_of(world, "e2").primary == former:
            await asyncio.sleep(0.1)
    assert record_of(world, "e1").primary == former


def record_of(world, host):
    """Return the service record in force on an entry host."""
    services = world.entry[host].services.by_name
    return services[random_system.SERVICE].view.record


async def caller(world, number, host):
    """Return a session on a given host."""
    session = Session(world, number, random_system.WORKSPACES[0])
    session.host = world.entry[host]
    session.caller = CallerSession(number)
    session.caller.workspace = session.workspace
    session.caller.service = random_system.SERVICE
    assert await session.host.callers.opened(session.caller) is None
    return session


async def run(session, sql):
    """Run a statement that must succeed."""
    answer = await session._execute(sql)
    assert not is_failure(answer), (sql, answer)
    return answer


@when("a row is confirmed in the new term through another host")
def confirmed_elsewhere(context):
    sql = "INSERT INTO orders VALUES (2, 1)"
    answer = context.loop.run_until_complete(run(context.writer, sql))
    assert answer.commit.term > 1, answer


@then("a transaction of that entry host reads the old data")
def reads_old(context):
    sql = "SELECT id FROM orders"
    answer = context.loop.run_until_complete(run(context.reader, sql))
    assert [int(row[0]) for row in answer.rows] == [1], answer.rows


@then("its COMMIT is refused as {kind}")
def commit_refused(context, kind):
    answer = context.loop.run_until_complete(context.reader._execute("COMMIT"))
    assert is_failure(answer) and answer.kind == kind, answer
