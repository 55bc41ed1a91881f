"""Steps for roles and replication."""

import asyncio
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

TABLE = (
    "CREATE TABLE IF NOT EXISTS t (id BIGINT NOT NULL AUTO_INCREMENT,"
    " v VARCHAR(40), at DATETIME DEFAULT CURRENT_TIMESTAMP, PRIMARY KEY (id))"
)


@given("a group of {count:d} endpoint")
def plain_group(context, count):
    support.start(context, count)


@given("a group of {count:d} endpoints with primary e0 in term 1")
def elected_group(context, count):
    group = support.start(context, count)
    group.elect(0, 1)
    assert not is_failure(group.sql(0, TABLE))
    for number in range(1, count):
        group.caught_up(number, 0)


@given("e0 is primary in term 1 with a table")
def single_primary(context):
    context.group.elect(0, 1)
    assert not is_failure(context.group.sql(0, TABLE))


@then("e{number:d} is fenced and refuses writes with error {errno:d}")
def is_fenced(context, number, errno):
    assert context.group.status(number).role == "fenced"
    refuses_writes(context, number, errno)


@then("e{number:d} refuses writes with error {errno:d}")
def refuses_writes(context, number, errno):
    outcome = context.group.sql(number, "INSERT INTO t (v) VALUES ('no')")
    assert outcome.errno == errno, outcome


@given("e0 promised term {term:d}")
def promised(context, term):
    assert context.group.promise(0, term).granted


@when("e0 is asked to promise term {term:d}")
def asks_promise(context, term):
    context.reply = context.group.promise(0, term)


@then("the promise is granted: {granted}")
def promise_granted(context, granted):
    assert context.reply.granted == (granted == "yes")


@then("e0 has promised term {term:d}")
def has_promised(context, term):
    assert context.reply.status.promised_term == term
    context.group.restart(0)
    assert context.group.status(0).promised_term == term


@when("e0 is promoted for term {term:d}")
def promoted_for(context, term):
    context.reply = context.group.promote(0, term)


@then("the promotion is accepted: {accepted}")
def promotion_accepted(context, accepted):
    assert context.reply.accepted == (accepted == "yes")
    role = "primary" if accepted == "yes" else "fenced"
    assert context.group.status(0).role == role


@given("{count:d} {word} written to e{number:d}")
@when("{count:d} {word} written to e{number:d}")
def rows_written(context, count, word, number):
    label = "lost" if "lost" in word else "kept"
    statements = [
        f"INSERT INTO t (v) VALUES ('{label} {row}')" for row in range(count)
    ]
    outcome = context.group.sql(number, *statements)
    assert not is_failure(outcome), outcome
    context.commit = outcome.commit


@then("e1 and e2 serve the same rows as e0")
def both_serve(context):
    for number in (1, 2):
        serves_same(context, number, 0)


@then("e{number:d} serves the same rows as e{other:d}")
def serves_same(context, number, other):
    context.group.caught_up(number, other)
    rows = context.group.rows(number)
    assert rows and rows == context.group.rows(other), rows


@when("rows with NOW, UUID, RAND and default times are written to e0")
def chance_rows(context):
    context.group.sql(
        0,
        "INSERT INTO t (v) VALUES (UUID()), (RAND()), (NOW()), (CURDATE())",
        "UPDATE t SET v = CONCAT(v, RAND()) WHERE id = 1",
    )


@given("e1 lags by {lag:d} ms")
def lags(context, lag):
    context.group.fault(1, lag_ms=lag)


@then("a waiting position request to e1 returns with the row's position")
def position_request(context):
    group, wanted = context.group, context.commit
    assert group.status(1).last < wanted
    group.caught_up(1, 0)
    assert group.status(1).last == wanted


@when("{ms:d} ms pass")
def time_passes(context, ms):
    time.sleep(ms / 1000)


@then("e1 holds no row but had contact within {ms:d} ms")
def in_contact(context, ms):
    status = context.group.status(1)
    assert 0 <= status.primary_contact_ms < ms, status
    assert context.group.rows(1) == []


@when("a transaction writes to e0 and e0 then promises term 2")
def promise_in_transaction(context):
    connection = context.group.driver(0)
    cursor = connection.cursor()
    connection.begin()
    cursor.execute("INSERT INTO t (v) VALUES ('open')")
    assert context.group.promise(0, 2).granted
    try:
        connection.commit()
        context.errno = 0
    except Exception as err:
        context.errno = err.args[0]
    connection.close()


@then("its COMMIT fails with error {errno:d} and its rows are gone")
def commit_fails(context, errno):
    assert context.errno == errno
    assert context.group.rows(0) == []
    assert context.group.status(0).last.position == 2


@when("a transaction writes to e0 and e0 is replaced and promoted again")
def promoted_again(context):
    context.connection = context.group.driver(0)
    context.add_cleanup(context.connection.close)
    context.connection.begin()
    context.connection.cursor().execute("INSERT INTO t (v) VALUES ('lost')")
    context.group.elect(0, 2)


def _errno(action, *args):
    try:
        action(*args)
    except pymysql.MySQLError as err:
        return err.args[0]
    return 0


@then("every statement and the COMMIT fail with error {errno:d}")
def all_fail(context, errno):
    cursor = context.connection.cursor()
    for sql in ("INSERT INTO t (v) VALUES ('next')", "SELECT 1"):
        assert _errno(cursor.execute, sql) == errno
        assert context.connection.server_status & 1
    assert _errno(context.connection.commit) == errno
    assert context.group.rows(0) == []


@then("after that a new transaction can commit")
def new_transaction(context):
    context.connection.begin()
    context.connection.cursor().execute("INSERT INTO t (v) VALUES ('new')")
    context.connection.commit()
    assert len(context.group.rows(0)) == 1


@when("e0 freezes, e1 becomes primary in term 2 and e0 resumes")
def zombie(context):
    group = context.group
    group.fault(0, freeze_ms=600)

    async def write():
        return await asyncio.to_thread(
            group.sql, 0, "INSERT INTO t (v) VALUES ('zombie')"
        )

    async def promise():
        return await asyncio.to_thread(group.promise, 0, 2)

    async def run():
        # The promise reached the frozen process first.
        first = asyncio.create_task(promise())
        await asyncio.sleep(0.2)
        second = asyncio.create_task(write())
        return await first, await second

    group.elect(1, 2, [2])
    reply, context.outcome = asyncio.run(run())
    assert reply.granted
    assert group.follow(0, 1, 2).ok


@then("a write to e0 that was waiting fails with error {errno:d}")
def waiting_write_fails(context, errno):
    assert context.outcome.errno == errno, context.outcome


@then("e0 catches up with e1 as a replica")
def catches_up(context):
    context.group.caught_up(0, 1)
    assert context.group.status(0).role == "replica"
    assert context.group.rows(0) == context.group.rows(1)


@given("e0 is cut from all endpoints")
def cut_all(context):
    for number in range(1, len(context.group.endpoints)):
        context.group.caught_up(number, 0)
    context.group.fault(0, cut_all=True)


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


@then("the position of e0 equals that of e1")
def same_position(context):
    first, second = context.group.status(0), context.group.status(1)
    assert first.last == second.last
    assert first.term_starts == second.term_starts
    assert not any(b"lost" in row[1] for row in context.group.rows(0))


@then("a restart of e0 changes neither")
def restart_keeps(context):
    before = context.group.status(0)
    rows = context.group.rows(0)
    context.group.restart(0)
    after = context.group.status(0)
    assert (after.last, after.incarnation) == (before.last, before.incarnation)
    assert context.group.rows(0) == rows


@when("e0 starts a rebuild that cannot end")
def endless_rebuild(context):
    group = context.group
    context.before = group.status(0).last
    original = group.endpoints[0].puller._ask
    asked = []

    async def ask(following, held, wait_ms):
        asked.append(held)
        if len(asked) > 1:
            await asyncio.Event().wait()
        return await original(following, held, wait_ms)

    group.endpoints[0].puller._ask = ask
    group.fault(0, clear=True)
    assert group.follow(0, 1, 2).ok
    limit = support.soon()
    while not group.endpoints[0].group.rebuilding:
        assert time.monotonic() < limit
        time.sleep(0.01)


@then("reads on e0 fail with error {errno:d}")
def reads_fail(context, errno):
    assert context.group.sql(0, "SELECT * FROM t").errno == errno


@then("e0 still reports its old position for promises")
def old_position(context):
    assert context.group.status(0).last == context.before


@then("e0 can promise term 3 and be promoted with its old log")
def promoted_with_old_log(context):
    group = context.group
    reply = group.promise(0, 3)
    assert reply.granted and reply.status.last == context.before
    assert group.promote(0, 3).accepted
    assert len(group.rows(0)) == 3


@when("e{number:d} restarts")
def restarts(context, number):
    context.group.restart(number)


@then("e0 cannot be promoted for term 1 again")
def not_again(context):
    assert not context.group.promote(0, 1).accepted
    assert context.group.status(0).role == "fenced"


@when("e0 restarts without its data file")
def loses_data(context):
    group = context.group
    assert group.promise(0, 4).granted
    context.before = group.status(0)
    group.run(group.endpoints[0].close())
    for path in (group.path / "e0").glob("data.db*"):
        path.unlink()
    group.endpoints[0] = group._make(0)
    group.run(group.endpoints[0].start())


@then("e0 has another incarnation and still its promised term")
def new_incarnation(context):
    status = context.group.status(0)
    assert status.incarnation != context.before.incarnation
    assert status.promised_term == 4


@when("e0 is cut from e1")
def cut_one(context):
    context.group.fault(0, cut=("e1",))


@then("e1 does not hold the row")
def not_held(context):
    path = (
        f"/v1/position?term={context.commit.term}"
        f"&position={context.commit.position}&wait_ms=300"
    )
    status = context.group.call(1, "GET", path, EndpointStatus)
    assert status.last < context.commit


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
            if logs[0] == logs[1] and count == 3:
                for log in logs:
                    log += [term] * count
            else:
                logs[int(first)] += [term] * count
        expected = 0
        while (
            expected < min(map(len, logs))
            and logs[0][expected] == logs[1][expected]
        ):
            expected += 1
        starts = [
            [TermStart(term, log.index(term) + 1) for term in sorted(set(log))]
            for log in logs
        ]
        found = common_prefix(starts[0], len(logs[0]), starts[1], len(logs[1]))
        assert found == expected, (logs, found, expected)

    check()
