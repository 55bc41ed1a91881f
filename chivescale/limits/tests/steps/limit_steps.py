"""Steps for limits.feature."""

from behave import given, then, when

from chivescale.limits import (
    AdaptiveLimit,
    FairQueue,
    LeaseManager,
    WorkspaceLimits,
)
from chivescale.limits.tests import random_limits
from chivescale.messages import Lease, WorkspaceRecord


@then(
    "{count:d} random runs of the {part} from seed {seed:d} violate no bound"
)
def check_random_runs(context, count, part, seed):
    run = getattr(random_limits, f"run_{part}")
    for number in range(seed, seed + count):
        try:
            run(number, 400)
        except AssertionError as err:
            raise AssertionError(f"seed {number}: {err}") from err


@given("a queue with {greedy:d} statements of greedy and {light:d} of light")
def create_queue(context, greedy, light):
    context.queue = FairQueue(per_workspace=64)
    context.now = 100.0
    for name, count in (("greedy", greedy), ("light", light)):
        for _ in range(count):
            context.queue.offer(name, name, 200.0, 100.0)


@when("{count:d} statements are taken")
def take_statements(context, count):
    context.taken = [context.queue.take(context.now) for _ in range(count)]


@then("{count:d} of them are of light")
def check_taken(context, count):
    assert context.taken.count("light") == count, context.taken


@given("one statement is taken every {interval:f} s")
def set_service_interval(context, interval):
    for _ in range(3):
        context.now += interval
        context.queue.take(context.now)
        context.queue.offer("greedy", "greedy", 200.0, context.now)


@when("{workspace} queues a statement that expires in {left:f} s")
def queue_statement(context, workspace, left):
    deadline = context.now + left
    context.failure = context.queue.offer(workspace, 1, deadline, context.now)


@then("the result is {result}")
def check_result(context, result):
    actual = context.failure.kind.value if context.failure else "queued"
    assert actual == result, context.failure


@when("the queue is emptied after a stall of {seconds:f} s")
def empty_queue_after_stall(context, seconds):
    context.queue.take(context.now)
    for _ in range(2):
        context.now += seconds
        assert context.queue.take(context.now)


@then("two statements that expire in 1 s are queued")
def check_two_queued(context):
    for _ in range(2):
        deadline = context.now + 1.0
        failure = context.queue.offer("greedy", 1, deadline, context.now)
        assert failure is None, failure


@then("after their deadline none is taken and {count:d} are expired")
def check_expired(context, count):
    assert context.queue.take(200.0) is None
    assert context.queue.next_deadline() == 200.0
    assert len(context.queue.expire(200.0)) == count
    assert len(context.queue) == 0


@given("a concurrency limit from 1 to 20 at 8")
def create_limit(context):
    context.limit = AdaptiveLimit(8, 1, 20)


@when("400 statements take {first} s and then 400 take {second} s")
def run_statements(context, first, second):
    now = 0.0
    for latency in [first] * 400 + [second] * 400:
        while context.limit.try_acquire(now):
            pass
        ok = latency != "fail"
        seconds = float(latency) if ok else 0.0
        now += 0.01
        context.limit.release(seconds, ok, now)


@then("the limit is {low:d} to {high:d}")
def check_limit(context, low, high):
    assert low <= context.limit.limit <= high, context.limit.limit


@when("it ramps over {seconds:f} s")
def start_ramp(context, seconds):
    context.limit.ramp(50.0, seconds)


@then("the limits after 0, 0.5 and 1 s are 1, 4, 8")
def check_ramp(context):
    limits = [context.limit.limit_at(50.0 + at) for at in (0.0, 0.5, 1.0)]
    assert limits == [1, 4, 8], limits


@given("a workspace with 2 connections, 2 statements and rate {rate:d}")
def create_workspace(context, rate):
    record = WorkspaceRecord("w", "", (), 2, 2, float(rate))
    context.workspace = WorkspaceLimits(record)


@when("it {action} three times")
def repeat_action(context, action):
    limits = context.workspace
    context.failures = []
    for _ in range(3):
        if action == "opens connections":
            context.failures.append(limits.open_connection())
            continue
        context.failures.append(limits.start_statement(1.0))
        if action == "runs statements" and context.failures[-1] is None:
            limits.finish_statement()


@then("the third is rejected with {kind}")
def check_third_rejected(context, kind):
    assert context.failures[:2] == [None, None], context.failures
    assert context.failures[2].kind.value == kind, context.failures


def send_heartbeat(context, host, held, wanted, now):
    leases = context.lease_book.heartbeat(
        host, (Lease("e", held),), (Lease("e", wanted),), {"e": 20}, now
    )
    return leases[0].connections


@given("two hosts that want 20 of 20 connections")
def start_two_hosts(context):
    context.lease_book = LeaseManager(3.0, started_at=0.0)
    for now in (10.0, 11.0, 12.0, 13.0, 14.0):
        grants = [
            send_heartbeat(context, host, 0, 20, now) for host in ("h1", "h2")
        ]
    assert grants == [10, 10], grants


@when("one of them stops sending heartbeats")
def stop_one_host(context):
    send_heartbeat(context, "h1", 10, 20, 16.0)


@then("the other is granted 20 after the lease time but not before")
def check_connections_freed(context):
    assert send_heartbeat(context, "h1", 10, 20, 16.9) == 10
    assert send_heartbeat(context, "h1", 10, 20, 17.1) == 20


@then("a new leader grants 7 to a host with 7 and 1 to a host with 0")
def check_new_leader(context):
    context.lease_book = LeaseManager(3.0, started_at=50.0)
    assert send_heartbeat(context, "h1", 7, 20, 51.0) == 7
    assert send_heartbeat(context, "h2", 0, 20, 51.0) == 1


@then("after the lease time it divides the connections by demand")
def check_divided_by_demand(context):
    grants = [
        send_heartbeat(context, host, 0, 20, 53.5) for host in ("h1", "h2")
    ]
    assert grants == [10, 10], grants
