"""Steps for roles and replication."""

import asyncio
import concurrent.futures
import time
from unittest import mock

import pymysql
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from chivescale.errors import is_failure
from chivescale.failover._watcher import DETACHED_CONTACT_MS
from chivescale.messages import EndpointStatus, TermStart
from chivescale_standin import _replica
from chivescale_standin._store import common_prefix
from chivescale_standin.tests import support

READ_ONLY = 1290
TABLE = (
    "CREATE TABLE IF NOT EXISTS t (id BIGINT NOT NULL AUTO_INCREMENT,"
    " v VARCHAR(40), at DATETIME DEFAULT CURRENT_TIMESTAMP, PRIMARY KEY (id))"
)


@given("a group of {count:d} endpoint")
def plain_group(context, count):
    support.start(context, count)


@given("a group of {count:d} endpoints with primary e0 in term 1")
def elected_group(context, count):
    support.start(context, count)
    primary_with_table(context)


@given("e0 is primary in term 1 with a table")
def primary_with_table(context):
    group = context.group
    group.elect(0, 1)
    assert not is_failure(group.sql(0, TABLE))
    for number in range(1, len(group.endpoints)):
        group.caught_up(number, 0)


@then("e{number:d} is fenced and refuses writes")
def is_fenced(context, number):
    assert context.group.status(number).role == "fenced"
    refuses_writes(context, number)


@then("e{number:d} refuses writes")
def refuses_writes(context, number):
    outcome = context.group.sql(number, "INSERT INTO t (v) VALUES ('no')")
    assert outcome.errno == READ_ONLY, outcome


@when("e0 has promised term {term:d}")
def promised(context, term):
    assert context.group.promise(0, term).granted


@then("a promise of term {term:d} is granted {granted} and leaves {left:d}")
def promise_granted(context, term, granted, left):
    reply = context.group.promise(0, term)
    assert reply.granted == (granted == "yes")
    assert reply.status.promised_term == left
    context.group.restart(0)
    assert context.group.status(0).promised_term == left


@then("a promotion for term {term:d} is accepted {accepted}")
def promotion_accepted(context, term, accepted):
    reply = context.group.promote(0, term)
    assert reply.accepted == (accepted == "yes")
    role = "primary" if accepted == "yes" else "fenced"
    assert context.group.status(0).role == role


@given("{count:d} {word} written to e{number:d}")
@when("{count:d} {word} written to e{number:d}")
def rows_written(context, count, word, number):
    statements = [f"INSERT INTO t (v) VALUES ('{i}')" for i in range(count)]
    outcome = context.group.sql(number, *statements)
    assert not is_failure(outcome), outcome
    context.commit = outcome.commit


@given("{count:d} rows are written to e0 after a cut")
def rows_after_cut(context, count):
    for number in range(1, len(context.group.endpoints)):
        context.group.caught_up(number, 0)
    context.group.fault(0, cut_all=True)
    rows_written(context, count, "rows", 0)


@then("e{number:d} serves the same rows as e{other:d}")
def serves_same(context, number, other):
    context.group.caught_up(number, other)
    assert context.group.status(number).role == "replica"
    rows = context.group.rows(number)
    assert rows == context.group.rows(other), rows


@when("rows with NOW, UUID, RAND and default times are written to e0")
def chance_rows(context):
    outcome = context.group.sql(
        0,
        "INSERT INTO t (v) VALUES (UUID()), (RAND()), (NOW()), (CURDATE())",
        "UPDATE t SET v = CONCAT(v, RAND()) WHERE id = 1",
    )
    assert outcome.affected_rows == 1, outcome


@given("e1 lags by {lag:d} ms")
def lags(context, lag):
    context.group.fault(1, lag_ms=lag)


@then("a waiting position request to e1 returns with the row's position")
def position_request(context):
    assert context.group.status(1).last < context.commit
    context.group.caught_up(1, 0)
    assert context.group.status(1).last == context.commit


@then("after {ms:d} ms e1 holds no row but had contact within {limit:d} ms")
def in_contact(context, ms, limit):
    time.sleep(ms / 1000)
    status = context.group.status(1)
    assert 0 <= status.primary_contact_ms < limit, status
    assert context.group.rows(1) == []


@when("a transaction writes to e0 and e0 promises term 2")
def promise_in_transaction(context):
    context.connection = context.group.driver(0)
    context.add_cleanup(context.connection.close)
    context.connection.begin()
    context.connection.cursor().execute("INSERT INTO t (v) VALUES ('lost')")
    assert context.group.promise(0, 2).granted


def _errno(action, *args):
    try:
        action(*args)
    except pymysql.MySQLError as err:
        return err.args[0]
    return 0


@then("its statements and its COMMIT fail and its rows are gone")
def all_fail(context):
    cursor = context.connection.cursor()
    for sql in ("INSERT INTO t (v) VALUES ('next')", "SELECT 1"):
        assert _errno(cursor.execute, sql) == READ_ONLY
        assert context.connection.server_status & 1
    assert _errno(context.connection.commit) == READ_ONLY
    assert context.group.rows(0) == []
    assert context.group.status(0).last.position == 2


@then("after a promotion in term 2 a new transaction can commit")
def new_transaction(context):
    assert context.group.promote(0, 2).accepted
    context.connection.begin()
    context.connection.cursor().execute("INSERT INTO t (v) VALUES ('new')")
    context.connection.commit()
    assert len(context.group.rows(0)) == 1


@when("a write waits for a transaction on e0 and e0 promises term 2")
def promise_while_waiting(context):
    group = context.group
    holder = group.driver(0)
    holder.begin()
    holder.cursor().execute("INSERT INTO t (v) VALUES ('held')")
    with concurrent.futures.ThreadPoolExecutor() as executor:
        write = executor.submit(group.sql, 0, "INSERT INTO t (v) VALUES ('w')")
        time.sleep(0.2)
        assert group.promise(0, 2).granted
    context.outcome = write.result()
    holder.close()
    assert group.rows(0) == []


@when("e0 freezes, e1 becomes primary in term 2 and e0 resumes")
def zombie(context):
    group = context.group
    group.fault(0, freeze_ms=600)
    group.elect(1, 2, [2])
    with concurrent.futures.ThreadPoolExecutor() as executor:
        # The promise reaches the frozen endpoint first.
        promise = executor.submit(group.promise, 0, 2)
        time.sleep(0.2)
        write = executor.submit(group.sql, 0, "INSERT INTO t (v) VALUES ('z')")
    assert promise.result().granted
    context.outcome = write.result()
    assert group.follow(0, 1, 2).ok


@then("a write to e0 that was waiting is refused")
def waiting_write_fails(context):
    assert context.outcome.errno == READ_ONLY, context.outcome


@given("e0 has been cut off for {ms:d} ms")
def cut_off(context, ms):
    for number in range(1, len(context.group.endpoints)):
        context.group.caught_up(number, 0)
    context.group.fault(0, cut_all=True)
    # The polls that the cut found open have ended; their successors hang.
    time.sleep(ms / 1000)


@given("replication requests time out after {seconds:d} s")
def long_timeout(context, seconds):
    patch = mock.patch.object(_replica, "POLL_TIMEOUT_S", float(seconds))
    patch.start()
    context.add_cleanup(patch.stop)


@then("a replica replaces a silent connection {ms:d} ms before the limit")
def replaces_silent(context, ms):
    # Measured without this margin: promotions for silent connections.
    longest_ms = (_replica.POLL_TIMEOUT_S + _replica.RETRY_S) * 1000
    assert longest_ms + ms < DETACHED_CONTACT_MS, longest_ms


@when("e1 becomes primary in term 2 without e0")
def new_primary(context):
    others = list(range(2, len(context.group.endpoints)))
    context.group.elect(1, 2, others)


@when("the cut ends and e0 follows e1 in term 2")
def cut_ends(context):
    context.group.fault(0, clear=True)
    assert context.group.follow(0, 1, 2).ok


@then("its log equals that of e1, also after a restart")
def same_position(context):
    group = context.group
    rows = group.rows(0)
    assert len(rows) == 7
    first, second = group.status(0), group.status(1)
    assert first.last == second.last
    assert first.term_starts == second.term_starts
    group.restart(0)
    after = group.status(0)
    assert (after.last, after.incarnation) == (first.last, first.incarnation)
    assert group.rows(0) == rows


@when("e0 starts a rebuild whose second fetch waits")
def held_rebuild(context):
    group = context.group
    context.before = group.status(0).last
    original = group.endpoints[0].puller._ask
    asked = []
    context.go_on = asyncio.Event()

    async def ask(following, held, wait_ms):
        asked.append(held)
        reply = await original(following, held, wait_ms)
        if len(asked) > 1:
            await context.go_on.wait()
        return reply

    group.endpoints[0].puller._ask = ask
    cut_ends(context)
    limit = support.soon()
    while not group.endpoints[0].group.rebuilding:
        assert time.monotonic() < limit
        time.sleep(0.01)


@then("reads on e0 are refused and its old log can be promoted in term 3")
def promoted_with_old_log(context):
    group = context.group
    assert group.sql(0, "SELECT * FROM t").errno == READ_ONLY
    assert group.status(0).last == context.before
    reply = group.promise(0, 3)
    assert reply.granted and reply.status.last == context.before
    assert group.promote(0, 3).accepted
    assert len(group.rows(0)) == 3


@then("the rebuild that goes on then changes nothing")
def rebuild_goes_on(context):
    group = context.group
    group.thread.loop.call_soon_threadsafe(context.go_on.set)
    time.sleep(0.3)
    assert group.status(0).last.term == 3
    assert len(group.rows(0)) == 3


@when("e{number:d} restarts")
def restarts(context, number):
    context.group.restart(number)


@then("after the loss of its data e0 has a new incarnation and its promise")
def loses_data(context):
    group = context.group
    assert group.promise(0, 4).granted
    before = group.status(0)
    group.run(group.endpoints[0].close())
    for path in (group.path / "e0").glob("data.db*"):
        path.unlink()
    group.endpoints[0] = group._make(0)
    group.run(group.endpoints[0].start())
    after = group.status(0)
    assert after.incarnation != before.incarnation
    assert after.promised_term == 4


@when("e0 is cut from e1")
def cut_one(context):
    context.group.fault(0, cut=("e1",))


@then("e1 does not hold the row")
def not_held(context):
    commit = context.commit
    path = f"/v1/position?term={commit.term}&position={commit.position}"
    status = context.group.call(
        1, "GET", f"{path}&wait_ms=300", EndpointStatus
    )
    assert status.last < commit


@then("random logs share exactly the entries that the term starts say")
def shared_logs(context):
    terms = st.lists(st.tuples(st.booleans(), st.integers(1, 3)), max_size=6)

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @for_all(st.integers(0, 4), terms)
    def check(shared, history):
        logs = [[1] * shared, [1] * shared]
        # Each term has one primary, so it continues exactly one of the logs
        # or, as long as they are equal, both.
        for term, (first, count) in enumerate(history, start=2):
            both = logs[0] == logs[1] and count == 3
            for log in logs if both else [logs[int(first)]]:
                log += [term] * count
        expected = 0
        for mine, theirs in zip(*logs, strict=False):
            if mine != theirs:
                break
            expected += 1
        starts = [
            [TermStart(term, log.index(term) + 1) for term in sorted(set(log))]
            for log in logs
        ]
        found = common_prefix(starts[0], len(logs[0]), starts[1], len(logs[1]))
        assert found == expected, (logs, found, expected)

    check()
