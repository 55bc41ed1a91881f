"""Steps for decisions of the relay, with fake connections."""

import asyncio
import random
import types
from unittest import mock

from behave import given, then, when

from chivescale import clock
from chivescale.catalog import Consistency, Route
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.registry import EndpointBeat
from chivescale.relay import _pool
from chivescale.relay._endpoint import Endpoint, InFlightStatement, Service
from chivescale.relay._executor import Executor
from chivescale.relay._freshness import ConfirmedPosition
from chivescale.relay._host import connection_shares
from chivescale.relay._isolation import IsolationMonitor
from chivescale.relay._pool import ConnectionPool

LONG_AGO_S = 100.0


class FakeConnection:
    """Connection that records whether it was closed."""

    def __init__(self, workspace=""):
        self.workspace = workspace
        self.usable = True
        self.values: dict[str, str] = {}
        self.last_session = None
        self.used_at = 0.0

    def abort(self) -> None:
        self.usable = False

    close = abort


def endpoint(name: str, zone: str = "near", slots: int = 2) -> Endpoint:
    heartbeat = EndpointBeat(
        name, "ledger", "127.0.0.1:9", zone, slots, False, False, 1, 1
    )
    return Endpoint(heartbeat, None)


def running(started: float, connection, abortable: bool) -> InFlightStatement:
    return InFlightStatement(started, connection, abortable)


def make_service(endpoints) -> Service:
    service = Service("ledger", "near", random.Random(1))
    service.endpoints = {e.beat.endpoint: e for e in endpoints}
    return service


# Endpoint selection.


@given("endpoints where {facts}")
def facts(context, facts):
    time = clock.now()
    made = {name: endpoint(name) for name in "ab"}
    service = make_service(made.values())
    # By default, `b` has just reported not to be the primary.
    made["b"].not_primary_at = time - 0.1
    for number, fact in enumerate(facts.split(", ")):
        name, what = fact.split(" ", 1)
        at = time - 1.0 + number * 0.1
        match what:
            case "claims" | "claims later":
                made[name].primary_since = at
                made[name].not_primary_at = 0.0
            case "refused":
                made[name].not_primary_at = at
                made[name].not_primary_at = time - 0.2
                made["a"].primary_since = time - 1.0
            case "suspected":
                made[name].suspected = True
            case "refused long ago":
                made[name].not_primary_at = time - 0.8
                made["b"].not_primary_at = time - 0.7
            case "confirmed":
                made[name].not_primary_at = 0.0
                service.record_primary(made[name], Position(3, 1), at)
    if "b claims later" in facts:
        made["b"].primary_since = time - 0.05
    context.service = service


@then("writes go to {order}")
def writes_go(context, order):
    found = context.service.primary_candidates(clock.now())
    names = ", ".join(e.beat.endpoint for e in found) or "nothing"
    assert names == order, names


@given("endpoints {endpoints}")
def endpoints_given(context, endpoints):
    import msgspec

    time = clock.now()
    made = []
    context.service = service = make_service([])
    for text in endpoints.split(", "):
        name, latency, under_way, zone, *flags = text.split(" ")
        one = endpoint(name, zone)
        one.latency_s, one.latency_measured_at = int(latency) / 1000, time
        one.position = Position(3, 10)
        for _ in range(int(under_way)):
            one.running[running(time, FakeConnection(), True)] = None
        if "primary" in flags:
            service.primary = name
        if "draining" in flags:
            one.beat = msgspec.structs.replace(one.beat, draining=True)
        if "behind" in flags:
            one.position = Position(3, 2)
            one.lagging_until = time + 1.0
        one.suspected = "suspected" in flags
        made.append(one)
    service.endpoints = {e.beat.endpoint: e for e in made}


@then("a read that needs position {need:d} goes to {choice}")
def read_goes(context, need, choice):
    found = context.service.read_candidates(
        Position(3, need), set(), clock.now()
    )
    name = found[0].beat.endpoint if found else "nothing"
    assert name == choice, name


@when("{seconds:d} s pass without a response")
def no_answer(context, seconds):
    context.time = clock.now() + seconds


@then("the expected latencies differ by less than {ms:d} ms")
def latencies(context, ms):
    values = [
        e.expected_latency_s(context.time)
        for e in context.service.endpoints.values()
    ]
    assert max(values) - min(values) < ms / 1000, values


@given("an endpoint whose statements of the last second took {latencies} ms")
@given("an endpoint whose statements of the last second took  ms")
def latencies_given(context, latencies=""):
    context.endpoint = endpoint("a")
    context.time = clock.now()
    for latency in latencies.split():
        context.endpoint.record_response(
            None, int(latency) / 1000, context.time
        )


@then("it admits {share} of new work")
def admits(context, share):
    draws = [n / 100 for n in range(100)]
    admitted = sum(context.endpoint.admits(context.time, d) for d in draws)
    expected = {"all": (100, 100), "a half": (45, 55), "a third": (30, 37)}
    least, most = expected[share]
    assert least <= admitted <= most, admitted


# Pools.


@given("a pool with 1 connection that is in use")
def pool_lent(context):
    async def refuse(timeout_s, workspace):
        return Failure(ErrorKind.ENDPOINT_FULL, "full")

    context.pool = ConnectionPool(refuse)
    context.connection = FakeConnection()
    context.pool.lent = 1


@when("statements of priority 2, 1, 2 and 0 wait for it")
def statements_wait(context):
    context.priorities = (2, 1, 2, 0)


@when("the connection is returned 4 times")
def returned(context):
    async def work():
        order = []

        async def wait(priority):
            connection = await context.pool.acquire(priority, 5.0, {}, None)
            assert connection is context.connection
            order.append(priority)
            context.pool.release(connection)

        tasks = [asyncio.ensure_future(wait(p)) for p in context.priorities]
        await asyncio.sleep(0)
        context.pool.release(context.connection)
        await asyncio.gather(*tasks)
        return order

    context.order = asyncio.run(work())


@then("they got it in the order 0, 1, 2, 2")
def order_is(context):
    assert context.order == [0, 1, 2, 2], context.order


@when("a statement waits for at most {ms:d} ms")
def waits(context, ms):
    context.answer = asyncio.run(context.pool.acquire(1, ms / 1000, {}, None))


@then("it fails as overloaded and the connection is not lost")
def refused(context):
    assert is_failure(context.answer)
    assert context.answer.kind is ErrorKind.OVERLOADED
    context.pool.release(context.connection)
    assert context.pool.idle == [context.connection] and context.pool.lent == 0


@given("a pool of {limit:d} connections that holds {held}")
def pool_of_workspaces(context, limit, held):
    context.opened = []

    async def connect(timeout_s, workspace):
        context.opened.append(workspace)
        await asyncio.sleep(0)
        return FakeConnection(workspace)

    context.pool = ConnectionPool(connect)
    context.pool.limit = limit
    context.lent = []
    for part in held.split(", "):
        state, _, workspace = part.partition(" ")
        if state == "idle":
            context.pool.idle.append(FakeConnection(workspace))
        elif state == "lent":
            context.pool.lent += 1
            context.lent.append(FakeConnection(workspace))


@when("statements of {waiting} wait")
def workspaces_wait(context, waiting):
    context.waiting = waiting.split(", ")


@when("connections are returned after {ms:d} ms each")
def returned_each(context, ms):
    order = []

    async def use(workspace):
        connection = await context.pool.acquire(1, 5.0, {}, None, workspace)
        assert not is_failure(connection), connection
        order.append((workspace, connection.workspace))
        await asyncio.sleep(ms / 1000)
        context.pool.release(connection)

    async def work():
        tasks = [asyncio.ensure_future(use(w)) for w in context.waiting]
        await asyncio.sleep(ms / 1000)
        for connection in context.lent:
            context.pool.release(connection)
        await asyncio.gather(*tasks)

    asyncio.run(work())
    context.order = order


@then("they run on connections of their own in the order {order}")
def own_connections(context, order):
    assert all(w == own for w, own in context.order), context.order
    assert ", ".join(w for w, _ in context.order) == order, context.order


@then("{count:d} connections were opened")
def count_opened(context, count):
    assert len(context.opened) == count, context.opened
    assert context.pool.lent == context.pool.opening == 0
    assert context.pool.held <= context.pool.limit


@given("a pool that may open 4 connections of which the endpoint accepts 2")
def pool_limited(context):
    context.attempts = 0

    async def connect(timeout_s, workspace):
        context.attempts += 1
        accepted = context.attempts <= 2
        await asyncio.sleep(0)
        if not accepted:
            return Failure(ErrorKind.ENDPOINT_FULL, "full")
        return FakeConnection()

    context.pool = ConnectionPool(connect)
    context.pool.limit = 4


@when("4 statements request a connection at once")
def four(context):
    async def work():
        ask = [context.pool.acquire(1, 0.2, {}, None) for _ in range(4)]
        return await asyncio.gather(*ask)

    context.answers = asyncio.run(work())


@then("2 get one and 2 wait without being refused")
def two_and_two(context):
    connections = [a for a in context.answers if not is_failure(a)]
    assert len(connections) == 2, context.answers
    kinds = {a.kind for a in context.answers if is_failure(a)}
    # They waited for a connection to be returned until the timeout.
    assert kinds == {ErrorKind.OVERLOADED}, kinds


@then("no further connection is tried for 400 ms")
def no_further(context):
    before = context.attempts
    answer = asyncio.run(context.pool.acquire(1, 0.05, {}, None))
    assert is_failure(answer)
    assert context.attempts == before, context.attempts


@when("a statement requests a connection every {ms:d} ms for {seconds:d} s")
def asks_for_long(context, ms, seconds):
    context.before = context.attempts
    offset = 0.0

    async def work():
        nonlocal offset
        for _ in range(seconds * 1000 // ms):
            offset += ms / 1000
            answer = await context.pool.acquire(1, 0.0, {}, None)
            assert is_failure(answer)
            await asyncio.sleep(0)

    real = clock.now
    with mock.patch.object(_pool, "now", lambda: real() + offset):
        asyncio.run(work())


@then("at most {count:d} further connections were tried")
def tried(context, count):
    further = context.attempts - context.before
    assert 1 <= further <= count, further


@given("{hosts:d} hosts connected to an endpoint that accepts {accepted:d}")
def connected_hosts(context, hosts, accepted):
    context.connection_shares = connection_shares(accepted, hosts)


@then("each keeps {standing:d} and may hold {most:d}")
def keeps(context, standing, most):
    assert context.connection_shares == (standing, most), (
        context.connection_shares
    )


@given("a pool whose endpoint is unreachable")
def unreachable(context):
    context.attempts = 0

    async def connect(timeout_s, workspace):
        context.attempts += 1
        return Failure(ErrorKind.CONNECTION_REFUSED, "refused")

    context.pool = ConnectionPool(connect)


@when("a statement requests a connection twice")
def asks_twice(context):
    async def work():
        return [await context.pool.acquire(1, 1.0, {}, None) for _ in range(2)]

    context.answers = asyncio.run(work())


@then("the second request fails without another attempt")
def no_attempt(context):
    assert [a.kind for a in context.answers] == [
        ErrorKind.CONNECTION_REFUSED
    ] * 2
    assert context.attempts == 1


# Endpoints that do not respond.


@given(
    "an endpoint with a read, a write and a statement of a transaction"
    " in flight"
)
def under_way(context):
    context.endpoint = endpoint("a")
    context.connections = {
        "read": FakeConnection(),
        "write": FakeConnection(),
        "transaction": FakeConnection(),
    }
    for name, connection in context.connections.items():
        entry = running(0.0, connection, name != "write")
        context.endpoint.running[entry] = None


@given("new connections {connect}")
def new_connections(context, connect):
    async def reachable(address, timeout_s):
        return connect == "succeed"

    context.endpoint.probe = reachable


@when("they get no reply for {ms:d} ms and {other}")
def silent_for(context, ms, other):
    time = clock.now()
    context.endpoint.running = {
        running(time - ms / 1000, each.link, each.abortable): None
        for each in context.endpoint.running
    }
    if other == "another reply arrived 200 ms ago":
        context.endpoint.last_response_at = time - 0.2

    async def work():
        context.endpoint.check_timeouts(time)
        await asyncio.sleep(0.01)
        context.endpoint.check_timeouts(time)
        if context.endpoint.probe_task is not None:
            context.endpoint.probe_task.cancel()

    asyncio.run(work())


@then("it is {state}, and {aborted} are aborted")
def state_is(context, state, aborted):
    assert context.endpoint.suspected == (state == "suspected")
    assert context.endpoint.usable(clock.now()) == (state == "trusted")
    gone = [
        n
        for n, connection in context.connections.items()
        if not connection.usable
    ]
    assert (", ".join(gone) or "none") == aborted, gone


# Isolation.


@given(
    "a host whose coordinators are {coordinators} and primaries {primaries}"
)
def host_given(context, coordinators, primaries):
    async def can_reach(service):
        return (service, primaries) != ("s2", "partly unreachable")

    host = types.SimpleNamespace(
        by_id={},
        sessions=set(),
        follower=types.SimpleNamespace(connected=coordinators == "reachable"),
        catalog=object(),
        max_connections={"s1": 1, "s2": 1},
        executor=types.SimpleNamespace(
            can_reach=can_reach, check_timeouts=lambda time: None
        ),
    )
    context.isolation_monitor = IsolationMonitor(host)
    asyncio.run(run_for(context.isolation_monitor, 0.25))


async def run_for(isolation_monitor, seconds: float) -> None:
    task = asyncio.ensure_future(isolation_monitor.run())
    await asyncio.sleep(seconds)
    task.cancel()


@then("it is {ready}")
def readiness(context, ready):
    cut_off = context.isolation_monitor.isolated_since is not None
    assert cut_off == (ready == "not ready")


@given("an isolated host with 3 idle sessions and 1 in a transaction")
def with_sessions(context):
    sessions = set()

    class Session:
        opened_at = 0.0

        def __init__(self, idle):
            self.idle = idle

        def close(self):
            sessions.discard(self)

    for idle in (True, True, True, False):
        sessions.add(Session(idle))
    host = types.SimpleNamespace(sessions=sessions)
    context.sessions = sessions
    context.isolation_monitor = IsolationMonitor(host)
    context.isolation_monitor.isolated_since = 50.0


@when("{seconds:d} s have passed since then")
def passed(context, seconds):
    context.isolation_monitor.close_idle_sessions(50.0 + seconds)


@then("{count:d} sessions are open")
@then("{count:d} session is open")
def open_sessions(context, count):
    assert len(context.sessions) == count


# Freshness.


@given("a confirmed position {known} and a session commit at {commit}")
def confirmed_and_commit(context, known, commit):
    context.service = make_service([])
    # The query for the position was sent after the commit but answered before
    # it, so its position may be lower although it is newer.
    context.service.confirmed.record(position(known), clock.now())
    context.session_position = position(commit)


def position(text: str) -> Position:
    return Position(*map(int, text.split(".")))


@then("a read of a {consistency} route needs {need}")
def read_needs(context, consistency, need):
    route = Route(
        "r",
        "mill",
        "/",
        "ledger",
        Consistency(consistency),
        800,
        200.0,
        1,
        accepted_staleness_ms=2500,
    )
    session = types.SimpleNamespace(
        positions={"ledger": context.session_position}
    )
    work = types.SimpleNamespace(session=session)
    executor = Executor(lambda name: context.service)
    found = asyncio.run(
        executor.read_barriers.required_position(
            context.service, route, clock.now(), work
        )
    )
    assert found == position(need), found


@given("a position that was confirmed {age:d} ms ago")
def proven(context, age):
    context.confirmed = ConfirmedPosition()
    context.confirmed.record(Position(3, 10), LONG_AGO_S)
    context.now = LONG_AGO_S + age / 1000


@given("a position 3.10 that was confirmed 100 ms ago")
def proven_before(context):
    context.confirmed = ConfirmedPosition()
    context.confirmed.record(Position(3, 10), LONG_AGO_S - 0.1)


@when("a reply arrives with position 3.8 of a statement sent 200 ms ago")
def late_answer(context):
    context.confirmed.record(Position(3, 8), LONG_AGO_S - 0.2)


@then("the confirmed position is 3.10")
def position_is(context):
    assert context.confirmed.position == Position(3, 10)


@then("a read with accepted staleness {staleness:d} ms {verdict} use it")
def may_rely(context, staleness, verdict):
    # Floating point: compare with a margin of 0.1 ms.
    covers = context.confirmed.covers(context.now - 1e-4, staleness / 1000)
    assert covers == (verdict == "may"), context.now


@given(
    "positions 3.10, 3.20, 3.30 and 4.5 confirmed 3000, 1300, 700 and 20 ms"
    " ago"
)
def confirmed_before(context):
    context.confirmed = ConfirmedPosition()
    for term, number, ago_ms in (
        (3, 10, 3000),
        (3, 20, 1300),
        (3, 30, 700),
        (4, 5, 20),
    ):
        context.confirmed.record(
            Position(term, number), LONG_AGO_S - ago_ms / 1000
        )


@then("a position for {staleness:d} ms of staleness is {need}")
def staleness_needs(context, staleness, need):
    sent_at, found = context.confirmed.oldest_for(LONG_AGO_S, staleness / 1000)
    assert f"{found.term}.{found.position}" == need, found
    newest = sent_at == context.confirmed.sent_at
    assert newest or LONG_AGO_S - sent_at <= staleness / 1000, sent_at
