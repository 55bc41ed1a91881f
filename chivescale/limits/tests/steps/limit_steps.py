"""Steps for limits."""

from behave import given, then, when

from chivescale.limits import (
    AdaptiveLimit,
    FairQueue,
    LeaseBook,
    WorkspaceLimits,
)
from chivescale.limits.tests import random_limits
from chivescale.messages import Lease, WorkspaceRecord


@then(
    "{count:d} random runs of the {part} from seed {seed:d} keep their bounds"
)
def random_runs(context, count, part, seed):
    run = getattr(random_limits, f"run_{part}")
    for number in range(seed, seed + count):
        try:
            run(number, 400)
        except AssertionError as err:
            raise AssertionError(f"seed {number}: {err}") from err


@given("a queue with {greedy:d} statements of greedy and {modest:d} of modest")
def queue(context, greedy, modest):
    context.queue = FairQueue(per_workspace=64)
    context.now = 100.0
    for name, count in (("greedy", greedy), ("modest", modest)):
        for _ in range(count):
            context.queue.offer(name, name, 200.0, 100.0)


@when("{count:d} statements are taken")
def take(context, count):
    context.taken = [context.queue.take(context.now) for _ in range(count)]


@then("{count:d} of them are of modest")
def taken_of(context, count):
    assert context.taken.count("modest") == count, context.taken


@given("one statement is taken every {interval:f} s")
def service(context, interval):
    for _ in range(3):
        context.now += interval
        context.queue.take(context.now)
        context.queue.offer("greedy", "greedy", 200.0, context.now)


@when("{workspace} offers a statement with {left:f} s left")
def offer(context, workspace, left):
    deadline = context.now + left
    context.answer = context.queue.offer(workspace, 1, deadline, context.now)


@then("the offer is answered {answer}")
def answered(context, answer):
    found = context.answer.kind.value if context.answer else "queued"
    assert found == answer, context.answer


@when("the queue is emptied after a stall of {seconds:f} s")
def stall(context, seconds):
    context.queue.take(context.now)
    for _ in range(2):
        context.now += seconds
        assert context.queue.take(context.now)


@then("two statements with 1 s left are queued")
def two_queued(context):
    for _ in range(2):
        deadline = context.now + 1.0
        answer = context.queue.offer("greedy", 1, deadline, context.now)
        assert answer is None, answer


@then("after their deadline none is taken and {count:d} are returned")
def expired(context, count):
    assert context.queue.take(200.0) is None
    assert context.queue.next_deadline() == 200.0
    assert len(context.queue.expire(200.0)) == count
    assert len(context.queue) == 0


@given("a concurrency limit from 1 to 20 at 8")
def adaptive(context):
    context.limit = AdaptiveLimit(8, 1, 20)


@when("400 statements take {first} s and then 400 take {second} s")
def statements(context, first, second):
    now = 0.0
    for latency in [first] * 400 + [second] * 400:
        while context.limit.try_acquire(now):
            pass
        ok = latency != "fail"
        seconds = float(latency) if ok else 0.0
        now += 0.01
        context.limit.release(seconds, ok, now)


@then("the limit is {low:d} to {high:d}")
def limit_is(context, low, high):
    assert low <= context.limit.limit <= high, context.limit.limit


@when("it ramps over {seconds:f} s")
def ramp(context, seconds):
    context.limit.ramp(50.0, seconds)


@then("the limits after 0, 0.5 and 1 s are 1, 4, 8")
def ramped(context):
    limits = [context.limit.limit_at(50.0 + at) for at in (0.0, 0.5, 1.0)]
    assert limits == [1, 4, 8], limits


@given("a workspace with 2 connections, 2 statements and rate {rate:d}")
def workspace(context, rate):
    record = WorkspaceRecord("w", "", (), 2, 2, float(rate))
    context.workspace = WorkspaceLimits(record)


@when("it {does} three times")
def does_three(context, does):
    limits = context.workspace
    context.answers = []
    for _ in range(3):
        if does == "opens connections":
            context.answers.append(limits.open_connection())
            continue
        context.answers.append(limits.start_statement(1.0))
        if does == "runs statements" and context.answers[-1] is None:
            limits.finish_statement()


@then("the third is refused with {kind}")
def third_refused(context, kind):
    assert context.answers[:2] == [None, None], context.answers
    assert context.answers[2].kind.value == kind, context.answers


def beat(context, host, held, wanted, now):
    leases = context.book.heartbeat(
        host, (Lease("e", held),), (Lease("e", wanted),), {"e": 20}, now
    )
    return leases[0].connections


@given("two hosts that want 20 of 20 connections")
def two_hosts(context):
    context.book = LeaseBook(3.0, started_at=0.0)
    for now in (10.0, 11.0, 12.0, 13.0, 14.0):
        shares = [beat(context, host, 0, 20, now) for host in ("h1", "h2")]
    assert shares == [10, 10], shares


@when("one of them stops sending heartbeats")
def stops(context):
    beat(context, "h1", 10, 20, 16.0)


@then("the other gets 20 after the lease time but not before")
def share_returns(context):
    assert beat(context, "h1", 10, 20, 16.9) == 10
    assert beat(context, "h1", 10, 20, 17.1) == 20


@then("a new leader grants 7 to a host with 7 and 1 to a host with 0")
def take_over(context):
    context.book = LeaseBook(3.0, started_at=50.0)
    assert beat(context, "h1", 7, 20, 51.0) == 7
    assert beat(context, "h2", 0, 20, 51.0) == 1


@then("after the lease time it divides by demand")
def divides(context):
    shares = [beat(context, host, 0, 20, 53.5) for host in ("h1", "h2")]
    assert shares == [10, 10], shares
