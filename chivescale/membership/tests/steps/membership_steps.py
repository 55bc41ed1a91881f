"""Steps for the host table, the endpoint table and watcher selection."""

import msgspec
from behave import given, then, when

from chivescale.membership import (
    EndpointAnnounced,
    EndpointsApplied,
    EndpointTable,
    HostHeartbeat,
    HostsApplied,
    HostTable,
    Tick,
    endpoint_record,
    watchers_of,
)
from chivescale.messages import (
    EndpointStatus,
    Heartbeat,
    HostRecord,
    Position,
    ServiceRecord,
)


def host_record(name: str, incarnation: str, draining=False) -> HostRecord:
    return HostRecord(name, "z1", "a", "m", incarnation, draining)


def endpoint_status(name: str, words: list[str]) -> EndpointStatus:
    return EndpointStatus(
        name,
        "ledger",
        words[0],
        "replica",
        1,
        Position(1, 1),
        words[2],
        words[2],
        leaving="leaving" in words,
    )


def apply_hosts(context, records) -> None:
    context.applied = tuple(records)
    context.member_table.step(HostsApplied(context.applied), 0.0)


@given("a host table with the applied host h1 of incarnation 1")
def one_host(context):
    context.member_table = HostTable(0.0)
    apply_hosts(context, [host_record("h1", "1")])


@given("a host table with {count:d} applied hosts")
def many_hosts(context, count):
    context.member_table = HostTable(0.0)
    apply_hosts(context, [host_record(f"h{n}", "1") for n in range(count)])


@given("an endpoint table with the applied endpoint e1")
def one_endpoint(context):
    context.member_table = EndpointTable(0.0)
    context.record = endpoint_record(endpoint_status("e1", ["1", "at", "a"]))
    context.member_table.step(EndpointsApplied((context.record,), ()), 0.0)


@when("the table receives {events}")
def events_arrive(context, events):
    # All events arrive before the next batch is due.
    context.member_table.next_batch_at = 0.1
    for event in events.split(", "):
        if event == "no messages":
            return
        context.effects = context.member_table.step(
            parse_event(context, event), 0.0
        )
    assert not context.effects


def parse_event(context, text: str):
    name, verb, *words = text.split()
    if verb == "sends":
        return HostHeartbeat(Heartbeat(host_record(name, words[1]), 0))
    if verb == "drains":
        return HostsApplied((host_record(name, "1", True),))
    if verb == "is":
        service = ServiceRecord("ledger", voters=(name,), incarnations=("1",))
        return EndpointsApplied((context.record,), (service,))
    return EndpointAnnounced(endpoint_status(name, words))


@when("e1 announces {words} after {seconds:d} s")
def announces_later(context, words, seconds):
    status = endpoint_status("e1", words.split())
    context.member_table.step(EndpointAnnounced(status), float(seconds))


@then("after {seconds:g} s it proposes {commands}")
def proposes(context, seconds, commands):
    found = []
    for effect in context.member_table.step(Tick(), seconds):
        found += [describe(command) for command in effect.commands]
    assert (", ".join(found) or "nothing") == commands, found


def describe(command) -> str:
    verb = type(command).__name__.lower()
    verb = verb.removesuffix("host").removesuffix("endpoint")
    record = getattr(command, "record", command)
    name = getattr(record, "host", None) or record.endpoint
    return f"{verb} {name}"


@then(
    "within {seconds:d} s it proposes at most {batches:d} batches for {n:d} "
    "commands"
)
def few_batches(context, seconds, batches, n):
    proposed = []
    for tenth in range(seconds * 10):
        effects = context.member_table.step(Tick(), tenth / 10)
        proposed += [effect.commands for effect in effects]
        if effects:
            context.member_table.step(HostsApplied(()), tenth / 10)
    assert len(proposed) <= batches, len(proposed)
    assert sum(len(commands) for commands in proposed) == n


@then("the desired record of e1 is {words}")
def desired_record(context, words):
    desired = endpoint_record(endpoint_status("e1", words.split()))
    assert context.member_table.desired["e1"] == desired, (
        context.member_table.desired
    )


@given("{hosts:d} entry hosts in {zones:d} zones")
def entry_hosts(context, hosts, zones):
    context.hosts = [
        msgspec.structs.replace(
            host_record(f"h{n}", "1"), zone=f"z{n % zones}"
        )
        for n in range(hosts)
    ]


@then("the 3 watchers of any service are in {distinct:d} zones")
def distinct_zones(context, distinct):
    zone = {record.host: record.zone for record in context.hosts}
    for number in range(200):
        chosen = watchers_of(f"s{number}", context.hosts, 3)
        assert len(chosen) == min(3, len(context.hosts))
        assert len({zone[host] for host in chosen}) == distinct


@then("the loss of one host changes at most one watcher of a service")
def few_changes(context):
    for number in range(50):
        before = set(watchers_of(f"s{number}", context.hosts, 3))
        for lost in context.hosts:
            rest = [record for record in context.hosts if record != lost]
            after = set(watchers_of(f"s{number}", rest, 3))
            assert len(before - after) <= 1, (before, after)
            if lost.host not in before:
                assert before == after
