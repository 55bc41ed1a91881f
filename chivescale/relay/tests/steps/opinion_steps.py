"""Steps for reports on suspected endpoints."""

import asyncio
import types

from behave import given, then, when

from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure
from chivescale.relay import _coordinator_watcher as watcher_module

RESPONSE_INTERVAL_S = 0.02


@given("a host that got a response {ms:d} ms ago")
def responded(context, ms):
    context.responded_ago_s = ms / 1000


@when("the primary {behaves} while the host checks it")
def checks(context, behaves):
    outcomes = {
        "refuses connections": Failure(ErrorKind.CONNECTION_REFUSED, "no"),
        "has no connection free": Failure(ErrorKind.ENDPOINT_FULL, "full"),
    }
    context.opened = 0

    async def open_link(*arguments):
        context.opened += 1
        link = types.SimpleNamespace(close=lambda: None)
        return outcomes.get(behaves, link)

    async def respond(endpoint):
        while behaves.startswith("responds"):
            await asyncio.sleep(RESPONSE_INTERVAL_S)
            endpoint.latency_measured_at = now()

    async def work():
        beat = types.SimpleNamespace(service="s", address="a", endpoint="e")
        endpoint = types.SimpleNamespace(
            beat=beat, latency_measured_at=now() - context.responded_ago_s
        )
        host = types.SimpleNamespace(
            by_id={"e": endpoint},
            executor=types.SimpleNamespace(serves=lambda service: True),
            endpoint_dialect=None,
            settings=types.SimpleNamespace(seeds=()),
        )
        watcher = watcher_module.CoordinatorWatcher(host)
        task = asyncio.ensure_future(respond(endpoint))
        started = now()
        reachable = await watcher._is_reachable("e")
        task.cancel()
        return reachable, now() - started

    original = watcher_module.open_link
    watcher_module.open_link = open_link
    try:
        context.reachable, context.taken_s = asyncio.run(work())
    finally:
        watcher_module.open_link = original


@then("the host reports it as {report} after at most {ms:d} ms")
def reports(context, report, ms):
    assert context.reachable is (report == "reachable"), context.reachable
    assert context.taken_s <= ms / 1000, context.taken_s


@then("the host has opened {count:d} connections")
def opened(context, count):
    assert context.opened == count, context.opened
