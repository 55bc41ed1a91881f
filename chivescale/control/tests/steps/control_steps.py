"""Steps for control hosts, entry hosts and endpoints in one event loop."""

import asyncio
import shutil
import tempfile
import time

from absl import logging
from behave import given, then, when

from chivescale.control.tests.control_system import InProcessSystem, sheet_csv
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
    "with unchanged content": sheet_csv("ledger"),
    "with two services": sheet_csv("ledger", "atelier"),
    "with an invalid row": sheet_csv("ledger")
    .replace(",3\n", ",three\n")
    .replace(",3\r\n", ",three\r\n"),
}


def run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


async def stop_all(system: InProcessSystem) -> None:
    await system.stop()
    # Requests to frozen endpoints are still pending.
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def start_system(context, entries: int, endpoints: int) -> None:
    folder = tempfile.mkdtemp()
    logging.set_verbosity(logging.ERROR)
    context.loop = asyncio.new_event_loop()
    context.system = InProcessSystem(folder, entries=entries)

    def clean_up():
        run(context, stop_all(context.system))
        context.loop.close()
        shutil.rmtree(folder)

    context.add_cleanup(clean_up)
    run(context, context.system.start(endpoints))
    answer = upload(context, 5, "with unchanged content")
    assert not is_failure(answer), answer


def upload(context, number: int, content: str):
    body = SheetUpload(number, SHEETS[content])
    call = context.system.call_leader("POST", "/v1/sheet", SheetAnswer, body)
    return run(context, call)


def request(context, address: str, path: str, reply_type, method="GET"):
    client = context.system.entry_hosts[0].client
    return run(
        context, client.call(address, method, path, reply_type, timeout_s=2)
    )


@given("3 control hosts whose current sheet 5 has one service")
def three_control_hosts(context):
    start_system(context, 1, 0)


@given("a system of 3 control hosts, 3 entry hosts and {n:d} endpoints")
def whole_system(context, n):
    start_system(context, 3, n)
    context.before = run(context, context.system.wait_for_term())


@when("an operator uploads sheet {number:d} {content}")
def operator_uploads(context, number, content):
    context.answer = upload(context, number, content)


@then("the upload answers {answer}")
def upload_answers(context, answer):
    actual = context.answer
    if is_failure(actual):
        text = str(actual.kind)
        text += " naming row 2" * ("row 2" in actual.reason)
    else:
        text = "success" + ", repeated" * actual.repeated
    assert text == answer, actual


@then("every other control host replies with the leader's address")
def check_redirects(context):
    system = context.system
    leader = run(context, system.wait_for(lambda: system.leader))
    address = system.addresses[int(leader.settings.host.name[1:]) - 1]
    for other in system.addresses:
        if other != address:
            answer = request(context, other, "/v1/sheet", SheetAnswer)
            assert answer.kind is ErrorKind.NOT_LEADER, answer
            assert answer.leader_address == address, answer
            status = request(context, other, "/v1/status", Status)
            assert (status.role, status.leader) == ("follower", address)
    status = request(context, address, "/v1/status", Status)
    assert status.role == "leader"
    assert all(m.match_index >= 0 for m in status.members), status


@then("every control host serves the watch with index and sheet 5")
def check_watch(context):
    for address in context.system.addresses:
        path = "/v1/watch?after=0&wait_ms=1500"
        reply = request(context, address, path, WatchReply)
        assert reply.authoritative and reply.sheet.number == 5, reply
        path = f"/v1/watch?after={reply.index + 1}&wait_ms=10"
        reply = request(context, address, path, WatchReply)
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
    leader = run(context, system.wait_for(lambda: system.leader))
    run(context, system.stop_endpoint(context.before.primary))
    run(context, system.stop_control(leader.settings.host.name))


@when("the primary stops twice")
def primary_stops_twice(context):
    system = context.system
    first = context.before
    run(context, system.stop_endpoint(first.primary))
    context.before = run(context, system.wait_for_term(first.term))
    run(context, system.start_endpoint(first.primary))
    run(context, system.stop_endpoint(context.before.primary))


@when("the failover raises an exception and the primary stops")
def failover_raises(context):
    system = context.system
    leader = run(context, system.wait_for(lambda: system.leader)).leadership

    def step(event, now):
        raise AssertionError("injected")

    leader.failovers["ledger"].step = step
    run(context, system.stop_endpoint(context.before.primary))
    run(context, system.wait_for(lambda: leader.counts["failover_errors"]))


@then("every entry host learns a new primary")
def check_new_primary(context):
    before = context.before
    record = run(context, context.system.wait_for_term(before.term))
    assert record.primary != before.primary, record


@when("all control hosts restart")
def all_restart(context):
    async def restart():
        for name in list(context.system.control_hosts):
            await context.system.stop_control(name)
        for number in range(1, len(context.system.addresses) + 1):
            await context.system.start_control(f"c{number}")
        await context.system.wait_for(lambda: context.system.leader)
        await asyncio.sleep(1.5)

    run(context, restart())


@then("the term and the sheet are unchanged")
def check_unchanged(context):
    for host in context.system.control_hosts.values():
        record = host.state.services["ledger"]
        assert record == context.before, (record, context.before)
        assert host.state.sheet.number == 5


@when("two control hosts stop")
def two_stop(context):
    for name in ("c1", "c2"):
        run(context, context.system.stop_control(name))


@then("the remaining one serves the state as not authoritative")
def check_not_authoritative(context):
    host = context.system.control_hosts["c3"]
    run(context, context.system.wait_for(lambda: not host.is_authoritative()))
    address = context.system.addresses[2]
    reply = request(context, address, "/v1/watch?after=0", WatchReply)
    assert not reply.authoritative and reply.services, reply


@then("it accepts no sheet")
def check_sheet_refused(context):
    entry = context.system.entry_hosts[0]
    body = SheetUpload(6, SHEETS["with two services"])
    address = context.system.addresses[2]
    call = entry.client.call(
        address, "POST", "/v1/sheet", SheetAnswer, body, timeout_s=2
    )
    assert is_failure(run(context, call))
    assert context.system.control_hosts["c3"].state.sheet.number == 5


@when("c3 loses its disk and an operator replaces it")
def c3_replaced(context):
    system = context.system
    run(context, system.stop_control("c3"))
    shutil.rmtree(system.folder / "c3")
    run(context, system.start_control("c3"))
    call = system.call_leader(
        "POST", "/v1/members/replace", Accepted, ReplaceRequest("c3")
    )
    answer = run(context, call)
    assert not is_failure(answer), answer


@then("c3 is a voter with the current state")
def check_c3_is_voter(context):
    system = context.system
    host = system.control_hosts["c3"]

    def ready():
        member = host.agreement.machine.own_member
        has_sheet = host.state.sheet and host.state.sheet.number == 5
        return member is not None and member.voter and has_sheet

    run(context, system.wait_for(ready))


@then("the leases of all entry hosts together respect the limits")
def check_leases(context):
    system = context.system
    leader = run(context, system.wait_for(lambda: system.leader))

    def granted():
        book, now = leader.leadership.leases, time.monotonic()
        return [book.granted(name, now) for name in system.endpoints]

    # Each of the 3 entry hosts is granted at least one connection.
    run(context, system.wait_for(lambda: min(granted()) >= 3))
    limits = leader.state.endpoints
    for name, count in zip(system.endpoints, granted(), strict=True):
        assert count <= limits[name].connection_limit, (name, count)


@when("an operator drains h2")
def drains_h2(context):
    call = context.system.call_leader(
        "POST", "/v1/hosts/drain", Accepted, DrainRequest("h2")
    )
    answer = run(context, call)
    assert not is_failure(answer), answer


@then("h2 stays draining while it sends heartbeats")
def check_h2_draining(context):
    run(context, asyncio.sleep(1.5))
    for host in context.system.control_hosts.values():
        assert host.state.hosts["h2"].draining


@when("h3 stops")
def h3_stops(context):
    run(context, context.system.entry_hosts[2].stop())


@then("h3 is removed from the state")
def check_h3_removed(context):
    system = context.system
    hosts = list(system.control_hosts.values())
    run(
        context,
        system.wait_for(lambda: all("h3" not in h.state.hosts for h in hosts)),
    )
