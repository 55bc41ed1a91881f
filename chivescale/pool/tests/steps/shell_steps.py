"""Steps for the asyncio pool, with fake connections."""

import asyncio
import random
import time

from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import EndpointRecord
from chivescale.pool import Pool

RECORD = EndpointRecord(
    "e1", "ledger", "zone-1", "i1", "127.0.0.1:1", "127.0.0.1:2", 2, 35
)


class Connection:
    """Fake connection without a socket."""

    def __init__(self):
        self.usable = True
        self.in_transaction = False
        self.session_changed = False

    def close(self):
        self.usable = False


def _make_pool(limit=1, delay_s=0.0):
    opened = []

    async def connect(record, deadline):
        await asyncio.sleep(delay_s)
        opened.append(Connection())
        return opened[-1]

    pool = Pool(RECORD, connect, idle_s=5.0, rng=random.Random(1))
    pool.set_limit(limit)
    return pool, opened


def _deadline_in(seconds=1.0):
    return time.monotonic() + seconds


@given(
    "a pool with a connection that is usable {usable}, in a transaction"
    " {in_transaction} and changed {changed}"
)
def set_connection_state(context, usable, in_transaction, changed):
    context.state = (
        usable == "yes",
        in_transaction == "yes",
        changed == "yes",
    )


@when("the connection is released")
def release_connection(context):
    async def run():
        pool, _ = _make_pool()
        connection = await pool.acquire(_deadline_in(), "a")
        (
            connection.usable,
            connection.in_transaction,
            connection.session_changed,
        ) = context.state
        pool.release(connection)
        context.kept = pool.held == 1
        again = await pool.acquire(_deadline_in(), "a")
        context.same = again is connection
        pool.close()

    asyncio.run(run())


@then("the pool reuses it: {reused}")
def check_reused(context, reused):
    assert context.kept == context.same == (reused == "yes")


@then("no connection stays busy when requests are cancelled at random times")
def check_cancelled_requests(context):
    async def use(pool):
        connection = await pool.acquire(_deadline_in(), "a")
        if not is_failure(connection):
            try:
                await asyncio.sleep(0)
            finally:
                pool.release(connection)

    async def run(seed):
        rng = random.Random(seed)
        pool, opened = _make_pool(limit=2)
        tasks = [asyncio.create_task(use(pool)) for _ in range(8)]
        for task in rng.sample(tasks, 6):
            for _ in range(rng.randrange(3)):
                await asyncio.sleep(0)
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for _ in range(5):
            await asyncio.sleep(0)
        assert not pool.state.busy, f"seed {seed}: busy connections left"
        assert not pool.state.queued, f"seed {seed}: queued requests left"
        assert pool.held == sum(c.usable for c in opened)
        pool.close()

    for seed in range(200):
        asyncio.run(run(seed))


@given("a pool whose only connection is busy")
def create_busy_pool(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def run():
        context.pool, context.opened = _make_pool()
        context.connection = await context.pool.acquire(_deadline_in(), "a")

    context.loop.run_until_complete(run())


@when("a request with a deadline in {ms:d} ms is queued")
def wait_until_deadline(context, ms):
    request = context.pool.acquire(_deadline_in(ms / 1000), "a")
    context.outcome = context.loop.run_until_complete(request)


@when("the pool is closed while a request is queued")
def close_with_queued_request(context):
    async def run():
        request = asyncio.create_task(
            context.pool.acquire(_deadline_in(), "a")
        )
        await asyncio.sleep(0)
        context.pool.close()
        return await request

    context.outcome = context.loop.run_until_complete(run())


@then("the request fails with {kind}")
def check_failure(context, kind):
    assert context.outcome.kind.value == kind


@then("the busy connection is closed when released")
def check_busy_closed(context):
    assert context.connection.usable
    context.pool.release(context.connection)
    assert not context.connection.usable


@given("a pool with an idle connection that the endpoint closed")
def close_by_endpoint(context):
    create_busy_pool(context)

    async def run():
        context.pool.release(context.connection)
        context.connection.usable = False

    context.loop.run_until_complete(run())


@when("a connection is requested")
def request_connection(context):
    context.outcome = context.loop.run_until_complete(
        context.pool.acquire(_deadline_in(), "a")
    )


@then("a new connection is returned")
def check_new_connection(context):
    assert context.outcome is context.opened[1]
