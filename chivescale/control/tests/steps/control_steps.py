"""Steps that run control hosts, entry hosts and endpoints in one loop."""

import asyncio
import shutil
import tempfile
import time

from absl import logging
from behave import given, then, when

from chivescale.control.tests.control_system import System, sheet
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import (
    Accepted,
    DrainRequest,
    ReplaceRequest,
    SheetAnswer,
    SheetUpload,
    Status,
    WatchReply,
)

SHEETS = {
    "with the same": sheet("ledger"),
    "with two services": sheet("ledger", "atelier"),
    "with a bad row": sheet("ledger")
    .replace(",3\n", ",three\n")
    .replace(",3\r\n", ",three\r\n"),
}


def run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


async def stop_all(system: System) -> None:
    await system.stop()
    # Requests to frozen endpoints are still open.
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def start_system(context, entries: int, endpoints: int) -> None:
    folder = tempfile.mkdtemp()
    logging.set_verbosity(logging.ERROR)
    context.loop = asyncio.new_event_loop()
    context.system = System(folder, entries=entries)

    def clean():
        run(context, stop_all(context.system))
        context.loop.close()
        shutil.rmtree(folder)

    context.add_cleanup(clean)
    run(context, context.system.start(endpoints))
    answer = upload(context, 5, "with the same")
    assert not is_failure(answer), answer


def upload(context, number: int, content: str):
    body = SheetUpload(number, SHEETS[content])
    call = context.system.call("POST", "/v1/sheet", SheetAnswer, body)
    return run(context, call)


def ask(context, address: str, path: str, reply_type, method="GET"):
    client = context.system.entries[0].client
    return run(
        context, client.call(address, method, path, reply_type, timeout_s=2)
    )


@given("3 control hosts with sheet 5 of one service in force")
def control_hosts(context):
    start_system(context, 1, 0)


@given("a system of 3 control hosts, 3 entry hosts and {n:d} endpoints")
def whole_system(context, n):
    start_system(context, 3, n)
    context.before = run(context, context.system.established())


@when("an operator uploads sheet {number:d} {content}")
def operator_uploads(context, number, content):
    context.answer = upload(context, number, content)


@then("the upload answers {answer}")
def upload_answers(context, answer):
    found = context.answer
    if is_failure(found):
        text = str(found.kind)
        text += " naming row 2" * ("row 2" in found.reason)
    else:
        text = "success" + ", repeated" * found.repeated
    assert text == answer, found


@then("every other control host names the leader")
def names_leader(context):
    system = context.system
    leader = run(context, system.until(lambda: system.leader))
    address = system.addresses[int(leader.settings.host.name[1:]) - 1]
    for other in system.addresses:
        if other != address:
            answer = ask(context, other, "/v1/sheet", SheetAnswer)
            assert answer.kind is ErrorKind.NOT_LEADER, answer
            assert answer.redirect == address, answer
            status = ask(context, other, "/v1/status", Status)
            assert (status.role, status.leader) == ("follower", address)
    status = ask(context, address, "/v1/status", Status)
    assert status.role == "leader"
    assert all(m.match_index >= 0 for m in status.members), status


@then("every control host serves the watch with index and sheet 5")
def serves_watch(context):
    for address in context.system.addresses:
        path = "/v1/watch?after=0&wait_ms=1500"
        reply = ask(context, address, path, WatchReply)
        assert reply.authoritative and reply.sheet.number == 5, reply
        path = f"/v1/watch?after={reply.index + 1}&wait_ms=10"
        reply = ask(context, address, path, WatchReply)
        assert not reply.services and not reply.full, reply


@when("the primary is stopped")
def primary_stopped(context):
    run(context, context.system.stop_endpoint(context.before.primary))


@when("the primary is frozen")
def primary_frozen(context):
    endpoint = context.system.endpoints[context.before.primary]
    endpoint.faults.frozen_until = time.monotonic() + 4.0


@when("the primary leaves")
def primary_leaves(context):
    context.system.endpoints[context.before.primary].group.leave()


@when("the primary and the control leader stop")
def primary_and_leader_stop(context):
    system = context.system
    leader = run(context, system.until(lambda: system.leader))
    run(context, system.stop_endpoint(context.before.primary))
    run(context, system.stop_control(leader.settings.host.name))


@when("the primary stops twice")
def primary_stops_twice(context):
    system = context.system
    first = context.before
    run(context, system.stop_endpoint(first.primary))
    context.before = run(context, system.established(first.term))
    run(context, system.start_endpoint(first.primary))
    run(context, system.stop_endpoint(context.before.primary))


@when("the failover fails and the primary stops")
def failover_fails(context):
    system = context.system
    leader = run(context, system.until(lambda: system.leader)).leadership

    def step(event, now):
        raise AssertionError("injected")

    leader.failovers["ledger"].step = step
    run(context, system.stop_endpoint(context.before.primary))
    run(context, system.until(lambda: leader.counts["failover_errors"]))


@then("every entry host learns a new primary")
def learns_new_primary(context):
    before = context.before
    record = run(context, context.system.established(before.term))
    assert record.primary != before.primary, record


@when("all control hosts restart")
def all_restart(context):
    async def restart():
        for name in list(context.system.control):
            await context.system.stop_control(name)
        for number in range(1, len(context.system.addresses) + 1):
            await context.system.start_control(f"c{number}")
        await context.system.until(lambda: context.system.leader)
        await asyncio.sleep(1.5)

    run(context, restart())


@then("the term and the sheet are as before")
def as_before(context):
    for host in context.system.control.values():
        record = host.state.services["ledger"]
        assert record == context.before, (record, context.before)
        assert host.state.sheet.number == 5


@when("two control hosts stop")
def two_stop(context):
    for name in ("c1", "c2"):
        run(context, context.system.stop_control(name))


@then("the last one serves the state without authority")
def without_authority(context):
    host = context.system.control["c3"]
    run(context, context.system.until(lambda: not host.authoritative()))
    address = context.system.addresses[2]
    reply = ask(context, address, "/v1/watch?after=0", WatchReply)
    assert not reply.authoritative and reply.services, reply


@then("it accepts no sheet")
def accepts_no_sheet(context):
    entry = context.system.entries[0]
    body = SheetUpload(6, SHEETS["with two services"])
    address = context.system.addresses[2]
    call = entry.client.call(
        address, "POST", "/v1/sheet", SheetAnswer, body, timeout_s=2
    )
    assert is_failure(run(context, call))
    assert context.system.control["c3"].state.sheet.number == 5


@when("c3 loses its disk and an operator replaces it")
def c3_replaced(context):
    system = context.system
    run(context, system.stop_control("c3"))
    shutil.rmtree(system.folder / "c3")
    run(context, system.start_control("c3"))
    call = system.call(
        "POST", "/v1/members/replace", Accepted, ReplaceRequest("c3")
    )
    answer = run(context, call)
    assert not is_failure(answer), answer


@then("c3 is a voter with the state in force")
def c3_is_voter(context):
    system = context.system
    host = system.control["c3"]

    def ready():
        own = host.agreement.machine.own_member
        sheet_known = host.state.sheet and host.state.sheet.number == 5
        return own is not None and own.voter and sheet_known

    run(context, system.until(ready))


@then("the leases of all entry hosts together respect the limits")
def leases_respect_limits(context):
    system = context.system
    leader = run(context, system.until(lambda: system.leader))

    def granted():
        book, now = leader.leadership.leases, time.monotonic()
        return [book.granted(name, now) for name in system.endpoints]

    # Every host has at least the floor of one connection.
    run(context, system.until(lambda: min(granted()) >= 3))
    limits = leader.state.endpoints
    for name, count in zip(system.endpoints, granted(), strict=True):
        assert count <= limits[name].connection_limit, (name, count)


@when("an operator drains h2")
def drains_h2(context):
    call = context.system.call(
        "POST", "/v1/hosts/drain", Accepted, DrainRequest("h2")
    )
    answer = run(context, call)
    assert not is_failure(answer), answer


@then("h2 stays draining while it sends heartbeats")
def h2_draining(context):
    run(context, asyncio.sleep(1.5))
    for host in context.system.control.values():
        assert host.state.hosts["h2"].draining


@when("h3 stops")
def h3_stops(context):
    run(context, context.system.entries[2].stop())


@then("h3 is removed from the state")
def h3_removed(context):
    system = context.system
    hosts = list(system.control.values())
    run(
        context,
        system.until(lambda: all("h3" not in h.state.hosts for h in hosts)),
    )
