"""Steps for the endpoint registry."""

import re

from behave import given, then, when

from chivescale.registry import EndpointBeat, Registry


def heartbeat(text: str, endpoint: str = "a", address: str = "10.0.0.1:1"):
    born, number = re.search(r"born (\d+) no (\d+)", text).groups()
    return EndpointBeat(
        endpoint=endpoint,
        service="ledger",
        address=address,
        zone="z1",
        slots=2,
        draining="draining" in text,
        primary="primary" in text,
        born_ms=int(born),
        sequence=int(number),
    )


@given("these heartbeats of endpoint a arrived: {first}")
def arrived(context, first):
    context.now = 100.0
    context.registry = Registry()
    for part in first.split(", "):
        if part == "leaves":
            assert context.registry.deregister("a", 0, context.now)
        else:
            assert context.registry.record_heartbeat(
                heartbeat(part), context.now
            )


@when("then this one arrives: {text}")
def arrives(context, text):
    context.stored = context.registry.record_heartbeat(
        heartbeat(text), context.now + 1
    )


@then("it is {verdict} and a is {state}")
def judged(context, verdict, state):
    assert context.stored == (verdict == "stored")
    check_state(context, "a", state)


def check_state(context, endpoint: str, state: str) -> None:
    entry = context.registry.entries[endpoint]
    assert entry.heartbeat.gone == (state == "gone"), entry
    assert entry.heartbeat.draining == ("draining" in state), entry
    if "no primary" in state:
        assert entry.primary_since == 0.0


@then("{endpoint:w} is up")
def is_up(context, endpoint):
    check_state(context, endpoint, "up")


@then("{endpoint:w} is gone")
def is_gone(context, endpoint):
    check_state(context, endpoint, "gone")


@then("{endpoint:w} is not known")
def is_not_known(context, endpoint):
    assert endpoint not in context.registry.entries


@when("the incarnation born {born:d} of a leaves")
def incarnation_leaves(context, born):
    assert not context.registry.deregister("a", born, context.now)


@when("endpoint b, born 7, announces itself at the same address")
def same_address(context):
    assert context.registry.record_heartbeat(
        heartbeat("born 7 no 1", "b"), context.now
    )


@then("the next heartbeat changes no revision")
def no_revision(context):
    before = context.registry.revision
    assert context.registry.record_heartbeat(
        heartbeat("born 5 no 2"), context.now
    )
    assert context.registry.revision == before
    assert not context.registry.changed_since(before)


@then("a heartbeat with another role changes it")
def another_role(context):
    before = context.registry.revision
    context.registry.record_heartbeat(
        heartbeat("born 5 no 3 primary"), context.now
    )
    changed = context.registry.changed_since(before)
    assert [entry.heartbeat.endpoint for entry in changed] == ["a"]


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.registry.expire(context.now)


@when("{count:d} endpoints announce themselves")
def many(context, count):
    context.registry = Registry()
    for number in range(count):
        address = f"10.0.{number // 250}.{number % 250}:1"
        context.registry.record_heartbeat(
            heartbeat("born 5 no 1", f"e{number}", address), 100.0
        )


@then("at most {count:d} are known")
def known(context, count):
    assert len(context.registry.entries) <= count
