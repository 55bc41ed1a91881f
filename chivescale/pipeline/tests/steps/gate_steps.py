"""Steps for the places at an endpoint."""

import asyncio
import time
import types

from behave import given, then, when

from chivescale.errors import ErrorKind
from chivescale.messages import EndpointRecord
from chivescale.pipeline._gate import EndpointGate, run_statement

RECORD = EndpointRecord("e-1", "ledger", "a", "i", "ip:1", "ip:2", 2, 35)
WAIT_S = 0.1


class FakeConnection:
    """Connection whose statements wait for an event."""

    def __init__(self, in_transaction, done):
        self.in_transaction = in_transaction
        self.done = done
        self.started = False

    async def query(self, _sql, _deadline):
        self.started = True
        await self.done.wait()
        return types.SimpleNamespace(errno=0)


@given("an endpoint with 2 places, all held by statements that wait")
def all_places_taken(context):
    context.gate = EndpointGate(RECORD, None)


@when("a statement runs on a connection {state} a transaction")
def run_one(context, state):
    async def run():
        lock, free = asyncio.Event(), asyncio.Event()
        free.set()
        waiting = [
            asyncio.ensure_future(start(FakeConnection(False, lock), 60))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        context.connection = FakeConnection(state == "inside", free)
        context.answer = await start(context.connection, WAIT_S)
        lock.set()
        await asyncio.gather(*waiting)

    def start(connection, seconds):
        deadline = time.monotonic() + seconds
        return run_statement(
            context.gate, connection, "w", "sql", deadline, lambda _s: None
        )

    asyncio.run(run())


@then("it runs at once")
def runs_at_once(context):
    assert context.connection.started
    assert context.answer.errno == 0


@then("it is refused unstarted")
def refused_unstarted(context):
    assert not context.connection.started
    assert context.answer.kind is ErrorKind.DEADLINE_NOT_STARTED


@then("all places are free after the waiting statements have ended")
def all_free(context):
    assert context.gate.limit.in_use == 0
    assert len(context.gate.queue) == 0
