"""Steps on a running system."""

import shutil
import signal
import time

import pymysql
from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import Status

WAIT_S = 20.0


def status(context):
    return context.system.operate("status")


def wait_healthy(context):
    def healthy():
        answer = status(context)
        context.problems = answer["problems"]
        return answer["exit_code"] == 0

    try:
        context.system.wait_until(healthy, "a healthy system", WAIT_S)
    except Exception as err:
        raise AssertionError(context.problems) from err


@then("the status names {control:d} control hosts, {n:d} entry hosts and {m}")
def status_names(context, control, n, m):
    wait_healthy(context)
    answer = status(context)
    assert len(answer["control"]) == control, answer["control"]
    assert len(answer["hosts"]) == n, answer["hosts"]
    assert f"{len(answer['endpoints'])} endpoints" == m, answer["endpoints"]


@then("the status is healthy")
def status_healthy(context):
    wait_healthy(context)


@when("sheet {number:d} with the rate limit {rate:d} is applied")
def apply_sheet(context, number, rate):
    system = context.system
    first = system.write_sheet()
    context.first_sheet = first
    context.sheet = system.folder / "second.csv"
    # The workspace row ends with connections, concurrency, rate, size.
    text = first.read_text()
    changed = text.replace(",0,0,0,\n", f",0,0,{rate},\n")
    assert changed != text
    context.sheet.write_text(changed)
    context.answer = system.operate(
        "sheet", "apply", str(context.sheet), "--number", str(number)
    )
    assert context.answer["exit_code"] == 0, context.answer


@then("it comes in force on every entry host")
def in_force(context):
    answer = context.system.operate(
        "sheet",
        "apply",
        str(context.sheet),
        *("--number", "2", "--wait", str(WAIT_S)),
    )
    assert answer["exit_code"] == 0 and answer["late_hosts"] == [], answer
    for host in context.system.of_role("entry"):
        found = context.system.ask(host.addresses["api"], "/v1/status")
        assert found["index"] >= context.answer["index"], found


@then("applying it again succeeds as a repetition")
def apply_again(context):
    answer = context.system.operate(
        "sheet", "apply", str(context.sheet), "--number", "2"
    )
    assert answer["exit_code"] == 0 and answer["repeated"], answer
    assert answer["index"] == context.answer["index"], answer


@then("another sheet of number 2 is refused as {kind}")
def conflict(context, kind):
    refused(context, "2", kind)


@then("the first sheet is refused as {kind}")
def stale(context, kind):
    refused(context, "1", kind)


def refused(context, number, kind):
    path = str(context.first_sheet)
    answer = context.system.operate("sheet", "apply", path, "--number", number)
    assert answer["exit_code"] == 1, answer
    assert answer["kind"] == kind, answer


@then("the sheet in force has the rate limit {rate:d}")
def rate_in_force(context, rate):
    answer = context.system.operate("sheet", "show")
    assert answer["number"] == 2, answer
    rates = {item["max_rate"] for item in answer["workspaces"]}
    assert rates == {float(rate)}, answer


@when("the primary of {service} is killed")
def kill_primary(context, service):
    context.service = service
    context.name = context.system.primary(service)
    context.system.kill(context.name)


@then("the status names it as a problem and another primary")
def names_problem(context):
    def reported():
        answer = status(context)
        (record,) = answer["services"]
        named = any(context.name in text for text in answer["problems"])
        moved = record["primary"] not in ("", context.name)
        return answer["exit_code"] == 1 and named and moved

    context.system.wait_until(reported, "the report of the failure", WAIT_S)


@when("it is started again")
def start_again(context):
    context.system.start(context.name)


@when("a control host that does not lead loses its data folder")
def lose_data(context):
    system = context.system
    leader = system.wait_for_leader()
    context.name = next(
        item.name for item in system.of_role("control") if item.name != leader
    )
    system.kill(context.name)
    shutil.rmtree(system.folder / "data" / context.name)


@then("the status says that it follows no leader")
def follows_no_leader(context):
    text = f"control host {context.name}: follows no leader"
    context.system.wait_until(
        lambda: text in status(context)["problems"], text, WAIT_S
    )


@when("the operator replaces it")
def replace(context):
    def replaced():
        # The host must have called before its incarnation is known.
        answer = context.system.operate("control", "replace", context.name)
        context.answer = answer
        return answer["exit_code"] == 0

    context.system.wait_until(replaced, "the replacement", WAIT_S)


@then("it votes again and holds the same state")
def votes_again(context):
    system = context.system

    def is_voter():
        leader = system.control_leader()
        if not leader:
            return False
        seen = control_status(system, leader)
        own = control_status(system, context.name)
        return (
            not is_failure(seen)
            and not is_failure(own)
            and own.index == seen.index
            and any(
                member.name == context.name and member.voter
                for member in seen.members
            )
        )

    system.wait_until(is_voter, "the vote of the host", WAIT_S)


def control_status(system, name):
    address = system.by_name[name].addresses["control"]
    return system.ask(address, "/v1/status", Status)


def connect(context, name):
    ip, _, port = (
        context.system.by_name[name].addresses["mysql"].partition(":")
    )
    return pymysql.connect(
        host=ip,
        port=int(port),
        user="mill-1",
        password=context.system.workspace_secrets["mill-1"],
        database="ledger",
        connect_timeout=5,
        read_timeout=10,
    )


@given("a transaction with one write on an entry host")
def open_transaction(context):
    context.name = "entry-2"
    context.connection = connect(context, context.name)
    context.add_cleanup(context.connection.close)
    context.cursor = context.connection.cursor()
    context.cursor.execute(
        "CREATE TABLE IF NOT EXISTS drained (id INT PRIMARY KEY)"
    )
    context.cursor.execute("DELETE FROM drained")
    context.cursor.execute("BEGIN")
    context.cursor.execute("INSERT INTO drained VALUES (7)")


@when("the operator drains that host")
def operator_drains(context):
    answer = context.system.operate("drain", context.name)
    assert answer["exit_code"] == 0, answer


@then("the host is not ready and still serves new callers")
def not_ready(context):
    system = context.system
    system.wait_until(
        lambda: not system.entry_is_ready(context.name), "the drain", WAIT_S
    )
    with connect(context, context.name) as caller, caller.cursor() as cursor:
        cursor.execute("SELECT id FROM drained")


@then("the host refuses new callers within {seconds:d} s")
def refuses(context, seconds):
    def refused():
        try:
            connect(context, context.name).close()
        except pymysql.err.OperationalError:
            return True
        return False

    context.system.wait_until(refused, "the end of the drain", seconds)


@then("the transaction commits")
def transaction_commits(context):
    context.cursor.execute("COMMIT")
    with connect(context, "entry-1") as other, other.cursor() as cursor:
        cursor.execute("SELECT id FROM drained")
        assert cursor.fetchall() == ((7,),)


@then("the operator learns that the host serves no caller")
def drained(context):
    answer = context.system.operate("drain", context.name, "--wait", "10")
    assert answer["exit_code"] == 0 and answer["drained"], answer
    # The next scenarios need the host again.
    context.system.stop(context.name)
    context.system.start(context.name)
    context.system.wait_for_entry()


@when("the host gets SIGTERM")
def send_sigterm(context):
    context.system.signal(context.name, signal.SIGTERM)


@when("an entry host without callers gets SIGTERM")
def idle_host_sigterm(context):
    context.name = "entry-1"
    send_sigterm(context)


@then("it drains and still runs")
def drains_and_runs(context):
    not_ready(context)
    assert context.system.by_name[context.name].is_alive


@then("it ends with exit code {code:d}")
def ends_with(context, code):
    process = context.system.by_name[context.name].popen
    assert process.wait(WAIT_S) == code, process.returncode


@when("the operator drains entry-2 and waits for its end")
def drain_and_wait(context):
    context.name = "entry-2"
    began_at = time.monotonic()
    answer = context.system.operate("drain", context.name, "--wait", "10")
    assert answer["exit_code"] == 0 and answer["drained"], answer
    context.took_s = time.monotonic() - began_at


@then("the operator learned this after {seconds:d} s at least")
def learned_after(context, seconds):
    assert context.took_s >= seconds, context.took_s


@when("it is restarted")
def restarted(context):
    context.system.stop(context.name)
    context.system.start(context.name)
    context.system.wait_for_entry()
