"""Steps on leaving endpoints."""

import time

from behave import then, when

from chivescale.errors import is_failure
from chivescale.messages import Accepted
from features.faults.support import SERVICE, endpoint_status, metric

LIMIT_S = 3.0
OBSERVE_S = 2.0


@when("{who} leaves and {event}")
def leave(context, who, event):
    system = context.system
    primary = system.primary(SERVICE)
    stayed = [
        item.name
        for item in system.of_role("endpoint")
        if is_staying(system, item.name)
    ]
    context.leaver = primary
    if who == "a replica":
        context.leaver = next(name for name in stayed if name != primary)
    time.sleep(1.0)
    assert statements(context) > 0, "the endpoint had no work before"
    if "dropped" in event:
        system.fault(context.leaver, drop_announcements=1)
    address = system.by_name[context.leaver].addresses["admin"]
    answer = system.ask(address, "/v1/leave", Accepted, {})
    assert not is_failure(answer), answer
    context.left_s = time.monotonic()
    if event == "dies at once":
        system.kill(context.leaver)


def is_staying(system, name):
    """Tell whether an endpoint runs and is not leaving."""
    status = endpoint_status(system, name)
    return status is not None and not status.leaving


def statements(context):
    """Return how often entry hosts took a connection to the endpoint.

    Every statement outside a transaction, and every BEGIN, takes one.
    """
    label = f'{{endpoint="{context.leaver}"}}'
    counts = [
        metric(context.system, item.name, "chivescale_acquired_total")
        for item in context.system.of_role("entry")
    ]
    return sum(each.get(label, 0) for each in counts)


@then("it gets no new statement from any host after {limit_s:d} seconds")
def no_statement(context, limit_s):
    time.sleep(max(0.0, context.left_s + limit_s - time.monotonic()))
    before = statements(context)
    time.sleep(OBSERVE_S)
    assert statements(context) == before, (before, statements(context))


@then("another endpoint is primary")
def primary_moved(context):
    primary = context.system.primary(SERVICE)
    assert primary not in ("", context.leaver), primary
