"""Steps on faults of control hosts and on sheets."""

import concurrent.futures
import contextlib
import http.client
import random
import resource
import shutil
import subprocess
import time

from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import (
    SheetAnswer,
    SheetUpload,
    Status,
    WatchReply,
    encode,
)
from chivescale.transport._signature import sign
from features.faults.support import WAIT_S

IN_FORCE_S = 4.0


def control_status(system, name):
    """Return the status of a control host, or None."""
    address = system.by_name[name].addresses["control"]
    answer = system.ask(address, "/v1/status", Status)
    return None if is_failure(answer) else answer


def is_member(system, name):
    """Tell whether a control host votes and holds the leader's state."""
    leader = system.control_leader()
    if not leader:
        return False
    seen, own = control_status(system, leader), control_status(system, name)
    return (
        seen is not None
        and own is not None
        and own.index == seen.index
        and own.leader == system.by_name[leader].addresses["control"]
        and any(item.name == name and item.voter for item in seen.members)
    )


@given("all control hosts follow one leader")
def all_follow_leader(context):
    system = context.system
    system.wait_until(
        lambda: all(
            is_member(system, item.name) for item in system.of_role("control")
        ),
        "control hosts with one leader",
        WAIT_S,
    )
    system.wait_for_entry()


def sheet_text(system, rate):
    """Return a sheet whose content depends on a rate limit."""
    text = system.write_sheet().read_text()
    changed = text.replace(",0,0,0,\n", f",0,0,{rate},\n")
    assert changed != text
    return changed


def upload(system, name, number, text):
    """Send a sheet to a control host, following redirects."""
    body = SheetUpload(number, text)
    address = system.by_name[name].addresses["control"]
    for _ in range(4):
        answer = system.ask(
            address, "/v1/sheet", SheetAnswer, body, timeout_s=5.0
        )
        if not is_failure(answer) or not answer.leader_address:
            return answer
        address = answer.leader_address
    return answer


def followers(system):
    """Return control hosts that do not lead."""
    leader = system.wait_for_leader()
    return [
        item.name for item in system.of_role("control") if item.name != leader
    ]


@when("two sheets with the same number are applied at once on two hosts")
def race(context):
    system = context.system
    system.sheet_number += 1
    context.texts = [sheet_text(system, rate) for rate in (111, 222)]
    hosts = followers(system)[:2]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        calls = [
            pool.submit(upload, system, host, system.sheet_number, text)
            for host, text in zip(hosts, context.texts, strict=True)
        ]
    context.answers = [call.result() for call in calls]
    context.accepted_s = time.monotonic()


@then("exactly one of them is accepted")
def one_accepted(context):
    refused = [each for each in context.answers if is_failure(each)]
    assert [each.kind for each in refused] == ["sheet_conflict"], refused
    (context.answer,) = [
        each for each in context.answers if not is_failure(each)
    ]
    context.rate = (111.0, 222.0)[context.answers.index(context.answer)]


@then("it is in force on all entry hosts within {limit_s:d} seconds")
def in_force(context, limit_s):
    system = context.system

    def behind():
        return [
            item.name
            for item in system.of_role("entry")
            if entry_index(system, item) < context.answer.index
        ]

    left_s = context.accepted_s + limit_s - time.monotonic()
    system.wait_until(lambda: not behind(), "the sheet everywhere", left_s)


def entry_index(system, process):
    """Return the state index of an entry host; -1 without an answer."""
    found = system.ask(process.addresses["api"], "/v1/status")
    return -1 if is_failure(found) else found["index"]


@then("every control host and entry host holds its content")
def same_content(context):
    system = context.system
    for item in system.of_role("control") + system.of_role("entry"):
        control = item.role == "control"
        address = item.addresses["control" if control else "api"]
        path = "/v1/watch?after=0&wait_ms=0" if control else "/v1/state"

        def holds(address=address, path=path):
            reply = system.ask(address, path, WatchReply)
            rates = {
                record.max_rate for record in getattr(reply, "workspaces", ())
            }
            return rates == {context.rate}

        # Followers learn of the commit with the next heartbeat.
        system.wait_until(holds, f"the content on {item.name}", IN_FORCE_S)


@when("a sheet is applied and the connection ends before the answer")
def lost_answer(context):
    system = context.system
    system.sheet_number += 1
    context.content = sheet_text(system, 333)
    leader = system.by_name[system.wait_for_leader()].addresses["control"]
    body = encode(SheetUpload(system.sheet_number, context.content))
    connection = http.client.HTTPConnection(leader, timeout=5)
    headers = {
        "X-Chivescale-Signature": sign(
            system.secret, "POST", "/v1/sheet", body
        ),
        "X-Chivescale-Deadline-Ms": "5000",
    }
    connection.request("POST", "/v1/sheet", body, headers)
    connection.close()


@then("applying it again succeeds")
def applied_again(context):
    system = context.system
    host = followers(system)[0]
    answer = upload(system, host, system.sheet_number, context.content)
    assert not is_failure(answer), answer
    again = upload(system, host, system.sheet_number, context.content)
    assert not is_failure(again) and again.repeated, again
    assert again.index == answer.index, (answer, again)


@then("a sheet is accepted and in force within {limit_s:d} seconds")
def sheet_works(context, limit_s):
    system = context.system
    system.sheet_number += 1
    context.rate = 1000.0 + system.sheet_number
    text = sheet_text(system, int(context.rate))

    def accepted():
        name = system.control_leader()
        if not name:
            return None
        answer = upload(system, name, system.sheet_number, text)
        return None if is_failure(answer) else answer

    context.answer = system.wait_until(accepted, "the sheet", WAIT_S)
    context.accepted_s = time.monotonic()
    in_force(context, limit_s)


@when("the control leader is killed")
def kill_leader(context):
    context.host = context.system.wait_for_leader()
    context.system.kill(context.host)


@when("another control host is killed")
def kill_other(context):
    former = context.host
    context.host = next(
        name for name in followers(context.system) if name != former
    )
    context.system.kill(context.host)


@when("a control host that does not lead is killed")
def kill_follower(context):
    context.host = followers(context.system)[0]
    context.system.kill(context.host)


@when("the killed control host starts again and follows")
def killed_returns(context):
    start_host(context)
    follows(context)


@when("it starts again")
def start_host(context):
    context.system.start(context.host)


@then("it follows the leader with the same state")
def follows(context):
    context.system.wait_until(
        lambda: is_member(context.system, context.host),
        "the return of the control host",
        WAIT_S,
        (context.host,),
    )


def data_folder(context):
    """Return the data folder of the host of the scenario."""
    return context.system.folder / "data" / context.host


@when("its data folder is lost")
def lose_folder(context):
    shutil.rmtree(data_folder(context))


@then("it has no vote until the operator replaces it")
def replaced(context):
    system = context.system
    status = system.wait_until(
        lambda: control_status(system, context.host), "its answer", WAIT_S
    )
    assert status.index == 0 and not status.leader, status

    def admitted():
        answer = system.operate("control", "replace", context.host)
        return answer["exit_code"] == 0

    system.wait_until(admitted, "the replacement", WAIT_S)
    follows(context)


@when("its log ends inside a record")
def tear(context):
    # A crash while a record is written leaves its beginning. A record that
    # was synced and acknowledged cannot be torn, so none is cut here.
    path = data_folder(context) / "agreement.log"
    data = path.read_bytes()
    path.write_bytes(data + data[:20])


@when("a byte inside its log is changed")
def corrupt(context):
    folder = data_folder(context)
    shutil.copytree(folder, f"{folder}.intact")
    path = folder / "agreement.log"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0x55
    path.write_bytes(data)


@then("it ends with exit code {code:d} and one line that names the file")
def refuses(context, code):
    process = context.system.by_name[context.host]
    assert process.popen.wait(WAIT_S) == code, process.popen.returncode
    lines = process.log.read_text().splitlines()
    last = lines[-1]
    assert "agreement.log" in last and not last.startswith("time="), last
    assert "Traceback" not in process.log.read_text()


@when("its former data folder is put back")
def put_back(context):
    folder = data_folder(context)
    shutil.rmtree(folder)
    shutil.move(f"{folder}.intact", folder)


@when("the files of a control host that does not lead cannot grow")
def full_disk(context):
    system = context.system
    context.host = followers(system)[0]
    size = (data_folder(context) / "agreement.log").stat().st_size
    pid = system.by_name[context.host].pid
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    # Room for a part of a record, as a full disk leaves it.
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size + 20, hard))


@then("this host answers with {kind} and does not follow")
def stopped_voting(context, kind):
    system = context.system
    address = system.by_name[context.host].addresses["control"]

    def stopped():
        answer = system.ask(address, "/v1/watch?after=0&wait_ms=0", WatchReply)
        return is_failure(answer) and answer.kind == kind

    system.wait_until(stopped, kind, WAIT_S, (context.host,))


@when("this host is restarted")
def restart_host(context):
    context.system.kill(context.host)
    context.system.start(context.host)


@when("every process is restarted in an order drawn with seed {seed:d}")
def restart_all(context, seed):
    system = context.system
    context.sheet = system.operate("sheet", "show")
    assert context.sheet["exit_code"] == 0, context.sheet
    names = sorted(system.by_name)
    rng = random.Random(seed)
    rng.shuffle(names)
    for name in names:
        if rng.random() < 0.5:
            system.kill(name)
        else:
            system.signal(name, 15)
            with contextlib.suppress(subprocess.TimeoutExpired):
                system.by_name[name].popen.wait(WAIT_S)
        system.start(name)
    all_follow_leader(context)


@then("the number and content of the sheet are as before")
def sheet_kept(context):
    system = context.system
    found = system.operate("sheet", "show")
    assert found == context.sheet, (found, context.sheet)
    for item in system.of_role("entry"):
        status = system.ask(item.addresses["api"], "/v1/status")
        assert status["sheet"] == found["number"], (item.name, status)
