"""Steps for permanent tasks."""

import asyncio

from behave import given, then, when

from chivescale.supervision import run_supervised

RETRY_DELAY_S = 0.005


@given("a task that fails {count:d} times and then works")
def failing_task(context, count):
    context.starts = 0

    async def run():
        context.starts += 1
        if context.starts <= count:
            raise ValueError("unexpected")
        await asyncio.Event().wait()

    context.run = run


@given("a task that returns at once")
def returning_task(context):
    context.starts = 0

    async def run():
        context.starts += 1

    context.run = run


@when("it runs for {ms:d} ms")
def runs_for(context, ms):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.task = context.loop.create_task(
        run_supervised("test", context.run, RETRY_DELAY_S)
    )
    context.loop.run_until_complete(asyncio.sleep(ms / 1000))


@when("it is cancelled")
def cancelled(context):
    context.task.cancel()
    context.loop.run_until_complete(asyncio.wait([context.task]))


@then("it has been started {count:d} times and works")
def works(context, count):
    assert context.starts == count, context.starts
    assert not context.task.done()
    context.task.cancel()
    context.loop.run_until_complete(asyncio.wait([context.task]))


@then("it has been started {count:d} times and has ended")
def has_ended(context, count):
    assert context.starts == count, context.starts
    assert context.task.done()
