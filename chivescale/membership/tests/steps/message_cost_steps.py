"""Steps that count the records that the tables check per message."""

import msgspec
from behave import given, then, when

from chivescale import membership
from chivescale.membership import _endpoints, _hosts
from chivescale.messages import (
    EndpointStatus,
    Heartbeat,
    HostRecord,
    LeaveEndpoint,
    Position,
    RegisterEndpoint,
    RegisterHost,
    RemoveEndpoint,
    RemoveHost,
)

START = 100.0
TICK_S = 0.05


def host(number: int, incarnation: str = "1") -> HostRecord:
    return HostRecord(f"h{number}", "z", "a", "m", incarnation)


def status(number: int, slots: int = 2, leaving=False) -> EndpointStatus:
    return EndpointStatus(
        f"e{number}",
        "ledger",
        "1",
        "replica",
        1,
        Position(1, 1),
        "m",
        "a",
        slots=slots,
        leaving=leaving,
    )


class HostsDriver:
    """Drives a `HostTable` that counts its liveness checks."""

    def __init__(self, count: int):
        self.table = _CountingHostTable(START)
        self.records = {f"h{n}": host(n) for n in range(count)}
        self.publish()

    def publish(self, now: float = START):
        event = membership.HostsApplied(tuple(self.records.values()))
        return self.table.step(event, now)

    def message(self, number: int, now: float, changed: bool = False):
        record = host(number, "2" if changed else "1")
        event = membership.HostHeartbeat(Heartbeat(record, 1))
        return self.table.step(event, now)

    def apply(self, command) -> None:
        if isinstance(command, RemoveHost):
            del self.records[command.host]

    def name_of(self, command) -> str:
        if isinstance(command, RegisterHost):
            return command.record.host
        return command.host


class _CountingHostTable(_hosts.HostTable):
    checked_records = 0

    def alive(self, host, now):
        self.checked_records += 1
        return super().alive(host, now)


class EndpointsDriver:
    """Drives an `EndpointTable` that counts its checks of endpoints."""

    def __init__(self, count: int):
        self.table = _CountingEndpointTable(START)
        self.records = {
            f"e{n}": membership.endpoint_record(status(n))
            for n in range(count)
        }
        self.publish()

    def publish(self, now: float = START):
        event = membership.EndpointsApplied(tuple(self.records.values()), ())
        return self.table.step(event, now)

    def message(self, number, now, changed=False, leaving=False):
        slots = 3 if changed else 2
        event = membership.EndpointAnnounced(status(number, slots, leaving))
        return self.table.step(event, now)

    def apply(self, command) -> None:
        if isinstance(command, RemoveEndpoint):
            del self.records[command.endpoint]
        if isinstance(command, LeaveEndpoint):
            name = command.endpoint
            left = msgspec.structs.replace(self.records[name], leaving=True)
            self.records[name] = left

    def name_of(self, command) -> str:
        if isinstance(command, RegisterEndpoint):
            return command.record.endpoint
        return command.endpoint


class _CountingEndpointTable(_endpoints.EndpointTable):
    checked_records = 0

    def _command_for(self, name, now):
        self.checked_records += 1
        return super()._command_for(name, now)

    def last_contact(self, name):
        self.checked_records += 1
        return super().last_contact(name)


@given("a leader that knows {count:d} {kind}")
def leader_knows(context, count, kind):
    make = HostsDriver if kind == "hosts" else EndpointsDriver
    context.driver, context.count = make(count), count
    for number in range(count):
        assert not context.driver.message(number, START)
    context.batches = []


@when("each of them sends {messages:d} unchanged messages")
def unchanged_messages(context, messages):
    driver, now = context.driver, START
    driver.table.checked_records = 0
    context.sent = 0
    for _ in range(messages):
        now += 1.0
        driver.table.step(membership.Tick(), now)
        # The tick performs the scan; the messages after it need none.
        before = driver.table.checked_records
        for number in range(context.count):
            assert not driver.message(number, now)
        context.sent += context.count
        context.checked_records = driver.table.checked_records - before
        assert context.checked_records <= 2 * context.count, (
            context.checked_records
        )


@then("at most {most:d} records are checked per message")
def few_records_checked(context, most):
    assert context.sent > 0
    assert context.checked_records <= most * context.count, (
        context.checked_records
    )


@when("one of them sends a changed record between two scans")
def changed_record(context):
    driver = context.driver
    driver.table.step(membership.Tick(), START + 1.0)
    context.now = START + 1.0 + TICK_S
    context.batches = driver.message(3, context.now, changed=True)


@then("the leader proposes this record in the same step")
def proposed_at_once(context):
    (batch,) = context.batches
    (command,) = batch.commands
    assert context.driver.name_of(command)[1:] == "3", command


@when("nothing is committed for {seconds:g} s")
def nothing_committed(context, seconds):
    until = context.now + seconds
    while context.now < until:
        context.now += TICK_S
        tick = membership.Tick()
        context.batches += context.driver.table.step(tick, context.now)


@then("the leader has proposed the record twice")
def proposed_twice(context):
    commands = [c for batch in context.batches for c in batch.commands]
    assert len(commands) == 2 and commands[0] == commands[1], commands


@when("all but the first stop sending")
def stop_sending(context):
    context.silent = True


@then("each of them is removed once within {seconds:g} s")
def removed_once(context, seconds):
    driver, now, removed = context.driver, START, []
    while now < START + seconds:
        now += TICK_S
        batches = driver.message(0, now)
        batches += driver.table.step(membership.Tick(), now)
        for batch in batches:
            context.batches.append(batch)
            for command in batch.commands:
                assert isinstance(command, RemoveHost | RemoveEndpoint)
                removed.append(driver.name_of(command))
                driver.apply(command)
        if batches:
            context.batches += driver.publish(now)
    context.removed = removed
    assert len(removed) == len(set(removed)), "removed twice"
    assert len(removed) == context.count - 1, len(removed)


@then("no batch holds more than {most:d} commands")
def batch_size(context, most):
    sizes = [len(batch.commands) for batch in context.batches]
    assert max(sizes) <= most, sizes


@then("the first is not removed")
def first_stays(context):
    assert not {"h0", "e0"} & set(context.removed)


@when("an endpoint announces that it leaves")
def announces_leaving(context):
    context.now = START + 1.0
    batches = context.driver.message(2, context.now, leaving=True)
    (context.command,) = batches[0].commands
    assert context.command == LeaveEndpoint("e2", "1")


@when("the leaving is committed")
def leaving_committed(context):
    context.driver.apply(context.command)
    assert not context.driver.publish(context.now + TICK_S)


@when("the same endpoint announces without leaving")
def announces_again(context):
    assert not context.driver.message(2, context.now + 1.0)


@then("nothing is pending")
def nothing_pending(context):
    assert not context.driver.table.pending


@when("each of them sends a changed record and nothing is committed")
def changed_not_committed(context):
    driver, table = context.driver, context.driver.table
    for number in range(context.count):
        driver.message(number, START + 1.0, changed=True)
    # The first tick proposes the remaining records; at the second one no
    # proposal is due for a retry.
    assert table.step(membership.Tick(), START + 1.3)
    assert not table.step(membership.Tick(), START + 1.6)
    before = table.checked_records
    for number in range(context.count):
        assert not driver.message(number, START + 1.65, changed=True)
    context.sent = context.count
    context.checked_records = table.checked_records - before


@when("an unknown member sends one message that is never committed")
def unknown_member(context):
    batches = context.driver.message(context.count, START + 1.0)
    (context.command,) = batches[0].commands


@then("the leader holds no record of it after {seconds:g} s")
def no_record_held(context, seconds):
    driver, now = context.driver, START + 1.0
    while now < START + seconds:
        now += TICK_S
        for number in range(context.count):
            driver.message(number, now)
        driver.table.step(membership.Tick(), now)
    name = driver.name_of(context.command)
    for kept in ("live", "desired", "heard_at", "pending"):
        assert name not in getattr(driver.table, kept, ()), kept
