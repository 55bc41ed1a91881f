"""Steps for the endpoint registry."""

import re
import time

import msgspec
from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import decode, encode
from chivescale.registry import EndpointBeat, Registry
from chivescale.registry._registry import (
    SILENT_EXPIRY_S,
    TOMBSTONE_RETENTION_S,
)


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
    context.registry = registry_with(first, context.now)


def registry_with(first: str, now: float) -> Registry:
    registry = Registry()
    for part in first.split(", "):
        if part == "leaves":
            assert registry.deregister("a", 0, now)
        else:
            assert registry.record_heartbeat(heartbeat(part), now)
    return registry


@when("a coordinator with {first} tells after 31 s what it knows")
def another_tells(context, first):
    other = registry_with(first, context.now)
    other.expire(context.now + 31)
    context.registry.record_heartbeat(
        other.entries["a"].heartbeat, context.now + 31
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
    elif "primary" in state:
        assert entry.primary_since > 0.0


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


@given("{services:d} services with {count:d} endpoints each")
def many_services(context, services, count):
    context.now = 100.0
    context.registry = Registry()
    context.services = [str(service) for service in range(services)]
    for service in range(services):
        for number in range(count):
            beat = msgspec.structs.replace(
                heartbeat("born 5 no 1", f"e{service}-{number}"),
                service=str(service),
                address=f"10.0.{service}.{number}:1",
            )
            assert context.registry.record_heartbeat(beat, context.now)


@then(
    "all services find their {count:d} endpoints in less than {seconds:g} s"
    " of processor time"
)
def find_endpoints(context, count, seconds):
    registry = context.registry
    started = time.process_time()
    found = [registry.service_endpoints(s) for s in context.services]
    assert time.process_time() - started < seconds
    assert all(len(entries) == count for entries in found)


@when("the endpoints of service {service} are expired and dropped")
def expire_service(context, service):
    registry = context.registry
    later = context.now + SILENT_EXPIRY_S + 1
    for entry in list(registry.entries.values()):
        if entry.heartbeat.service != service:
            beat = msgspec.structs.replace(entry.heartbeat, sequence=2)
            registry.record_heartbeat(beat, later)
    registry.expire(later)
    later += TOMBSTONE_RETENTION_S + 1
    for entry in list(registry.entries.values()):
        if entry.heartbeat.service != service:
            beat = msgspec.structs.replace(entry.heartbeat, sequence=3)
            registry.record_heartbeat(beat, later)
    registry.expire(later)


@when("a starts again for service {service}")
def other_service(context, service):
    beat = msgspec.structs.replace(heartbeat("born 6 no 1"), service=service)
    assert context.registry.record_heartbeat(beat, context.now + 1)


@then("service {one} has {first:d} endpoints and service {two} has {second:d}")
def counts(context, one, first, two, second):
    registry = context.registry
    assert len(registry.service_endpoints(one)) == first
    assert len(registry.service_endpoints(two)) == second


@when("another host passes on a heartbeat at {address}")
def passed_on(context, address):
    body = encode(heartbeat("born 5 no 1", address=address))
    context.decoded = decode(body, EndpointBeat)


@then("it is {verdict:w}")
def readable(context, verdict):
    assert is_failure(context.decoded) == (verdict == "refused")
