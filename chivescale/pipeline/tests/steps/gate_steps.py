"""Steps for the concurrency slots of an endpoint."""

import asyncio
import time
import types

from behave import given, then, when

from chivescale.errors import ErrorKind
from chivescale.messages import EndpointRecord
from chivescale.pipeline._gate import EndpointGate, run_statement
from chivescale.pipeline._primary import Primary, run_until_replaced
from chivescale.settings import PoolSettings

RECORD = EndpointRecord("e-1", "ledger", "a", "i", "ip:1", "ip:2", 2, 35)
WAIT_S = 0.1


class FakeConnection:
    """Connection whose statements complete when an event is set."""

    def __init__(self, in_transaction, done):
        self.in_transaction = in_transaction
        self.done = done
        self.started = False

    async def query(self, _sql, _deadline):
        self.started = True
        await self.done.wait()
        return types.SimpleNamespace(errno=0)


@given("an endpoint with 2 slots, all held by statements that wait")
def all_slots_in_use(context):
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


@then("it runs immediately")
def runs_immediately(context):
    assert context.connection.started
    assert context.answer.errno == 0


@then("it is rejected without being sent")
def rejected_without_being_sent(context):
    assert not context.connection.started
    assert context.answer.kind is ErrorKind.DEADLINE_NOT_STARTED


@then("all slots are free after the waiting statements have ended")
def all_slots_free(context):
    assert context.gate.limit.in_use == 0
    assert len(context.gate.queue) == 0


@given("an endpoint with idle connections")
def idle_connections(context):
    context.closed = []
    pool = types.SimpleNamespace(
        retire_connections=lambda: context.closed.append(True)
    )
    context.gate = EndpointGate(RECORD, pool)


@when("a write gets no answer while other statements are {state}")
def write_without_answer(context, state):
    async def run():
        view = types.SimpleNamespace(
            changed=asyncio.Event(), record=types.SimpleNamespace(term=1)
        )
        call = types.SimpleNamespace(
            service=types.SimpleNamespace(view=view),
            environment=types.SimpleNamespace(
                pool=PoolSettings(silence_timeout_ms=20)
            ),
        )
        primary = Primary(context.gate, None, 1)
        work = asyncio.ensure_future(
            run_until_replaced(call, primary, asyncio.Event().wait())
        )
        await asyncio.sleep(0)
        if state == "answered":
            context.gate.acquire_slot_over_limit()
            context.gate.release_slot(0.001, True)
        await asyncio.sleep(WAIT_S)
        # A change of the state must not repeat the check.
        view.changed.set()
        view.changed = asyncio.Event()
        await asyncio.sleep(WAIT_S)
        work.cancel()
        await asyncio.wait({work})

    asyncio.run(run())


@then("the idle connections are closed {times:d} times")
def closed_times(context, times):
    assert len(context.closed) == times
