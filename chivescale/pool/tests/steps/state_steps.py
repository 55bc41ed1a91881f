"""Steps for the state machine of the pool."""

import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from chivescale import pool
from chivescale.errors import ErrorKind, Failure

IDLE_S = 30.0
OPERATIONS = (
    "acquire",
    "acquire",
    "cancel",
    "connected",
    "connected",
    "failed",
    "overloaded",
    "keep",
    "keep",
    "drop",
    "lost",
    "limit",
    "suspect",
    "tick",
    "late tick",
)


def _select(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


class Model:
    """Reference model: applies operations and checks every effect."""

    def __init__(self):
        self.state = pool.PoolState(IDLE_S, random.Random(1))
        self.now = 0.0
        self.open_connections, self.busy, self.suspect = set(), {}, set()
        self.opening = set()
        self.queued_requests = {}
        self.last_request_id = 0

    def run(self, operation, pick):
        """Apply one random operation."""
        self.now += 0.01
        event = self._event(operation, pick)
        if event is not None:
            self._check(self.state.step(event, self.now))
        self._check_state()

    def _event(self, operation, pick):
        if operation == "acquire":
            self.last_request_id += 1
            deadline = self.now + pick % 40 / 10
            self.queued_requests[self.last_request_id] = deadline
            return pool.Acquire(
                self.last_request_id, "abc"[pick % 3], deadline
            )
        if operation == "cancel":
            request_id = _choose(self.queued_requests, pick)
            self.queued_requests.pop(request_id, None)
            return pool.Cancel(request_id) if request_id else None
        if operation in ("connected", "failed", "overloaded"):
            return self._connect_event(operation, pick)
        if operation in ("keep", "drop"):
            number = _choose(self.busy, pick)
            if not number:
                return None
            del self.busy[number]
            return pool.Released(number, operation == "keep")
        if operation == "lost":
            number = _choose(self.state.idle, pick)
            return pool.ConnectionLost(number) if number else None
        if operation == "limit":
            return pool.SetLimit(pick % 5)
        if operation == "suspect":
            self.suspect |= self.open_connections
            return pool.SuspectConnections()
        self.now += 100.0 if operation == "late tick" else 0.5
        return pool.Tick()

    def _connect_event(self, operation, pick):
        number = _choose(self.opening, pick)
        if not number:
            return None
        self.opening.discard(number)
        if operation == "connected":
            self.open_connections.add(number)
            return pool.Connected(number)
        kind = ErrorKind.UNREACHABLE
        if operation == "overloaded":
            kind = ErrorKind.OVERLOADED
        return pool.ConnectFailed(number, Failure(kind, "test"))

    def _check(self, effects):
        for effect in effects:
            if isinstance(effect, pool.OpenConnection):
                assert effect.connection_id not in self.open_connections
                self.opening.add(effect.connection_id)
                assert self.state.held <= self.state.limit
            elif isinstance(effect, pool.Assign):
                assert effect.request_id in self.queued_requests
                assert self.queued_requests.pop(effect.request_id) > self.now
                assert effect.connection_id in self.open_connections
                assert effect.connection_id not in self.busy
                assert effect.connection_id not in self.suspect
                self.busy[effect.connection_id] = effect.request_id
            elif isinstance(effect, pool.Reject):
                assert effect.request_id in self.queued_requests
                del self.queued_requests[effect.request_id]
            elif isinstance(effect, pool.CloseConnection):
                assert effect.connection_id not in self.busy
                self.open_connections.remove(effect.connection_id)

    def _check_state(self):
        state = self.state
        assert state.queued == len(self.queued_requests)
        assert set(state.busy) == set(self.busy)
        assert set(state.idle) == self.open_connections - set(self.busy)
        assert state.opening == self.opening
        # No request may stay queued while a connection is idle.
        assert not (state.idle and state.queued)
        if state.queued:
            assert state.next_tick_at() is not None
        due = state.next_tick_at()
        if due is not None and due <= self.now:
            before = (state.queued, state.held)
            self._check(state.step(pool.Tick(), self.now))
            after = state.next_tick_at()
            assert after is None or after > self.now, (before, after)


def _choose(items, pick):
    ordered = sorted(items)
    return ordered[pick % len(ordered)] if ordered else 0


@then("no sequence of pool events violates an invariant")
def check_random_sequences(context):
    steps = st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 1000))

    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    @for_all(st.lists(steps, max_size=60))
    def check(history):
        model = Model()
        for operation, pick in history:
            model.run(operation, pick)

    check()


@given("a pool state with limit {limit:d} and {busy:d} busy connections")
def create_pool_state(context, limit, busy):
    context.state = pool.PoolState(IDLE_S, random.Random(1))
    context.now = 0.0
    context.last_request_id = 100
    _step(context, pool.SetLimit(limit))
    context.busy = _fill(context, busy)


def _step(context, event):
    context.effects = context.state.step(event, context.now)
    return context.effects


def _request(context, workspace="a"):
    context.last_request_id += 1
    deadline = context.now + 5.0
    return _step(
        context, pool.Acquire(context.last_request_id, workspace, deadline)
    )


def _fill(context, count):
    numbers = []
    for _ in range(count):
        new = _select(_request(context), pool.OpenConnection)[0].connection_id
        assigned = _step(context, pool.Connected(new))
        numbers.append(_select(assigned, pool.Assign)[0].connection_id)
    return numbers


@given("{count:d} idle connections")
def add_idle_connections(context, count):
    context.idle = _fill(context, count)
    for number in context.idle:
        _step(context, pool.Released(number, True))
    assert len(context.state.idle) == count


@when("a request is queued and its connection attempt fails with {kind}")
def fail_attempt(context, kind):
    opened = _select(_request(context), pool.OpenConnection)[0].connection_id
    context.queued_request = context.last_request_id
    failure = Failure(ErrorKind(kind), "test")
    _step(context, pool.ConnectFailed(opened, failure))


@then("the queued request is {outcome}")
def check_queued_request(context, outcome):
    rejected = [e.request_id for e in _select(context.effects, pool.Reject)]
    assert (rejected == [context.queued_request]) == (outcome == "rejected")
    assert context.state.queued == int(outcome == "queued")


@then("a new request is {outcome}")
def check_new_request(context, outcome):
    effects = _request(context)
    assert bool(_select(effects, pool.Reject)) == (outcome == "rejected")
    assert not _select(effects, pool.OpenConnection), (
        "attempt to connect during the backoff"
    )


@when("the open connections are suspected")
def suspect_connections(context):
    _step(context, pool.SuspectConnections())


@when("the limit becomes {limit:d}")
def set_limit(context, limit):
    _step(context, pool.SetLimit(limit))


@when("{seconds:d} idle seconds pass")
def advance_time(context, seconds):
    context.now += seconds
    _step(context, pool.Tick())


@then("both idle connections are closed")
def check_idle_closed(context):
    closed = _select(context.effects, pool.CloseConnection)
    assert {e.connection_id for e in closed} == set(context.idle)


@then("the busy connection is closed although it is released clean")
def check_busy_closed(context):
    effects = _step(context, pool.Released(context.busy[0], True))
    assert _select(effects, pool.CloseConnection) == [
        pool.CloseConnection(context.busy[0])
    ]


@then("the pool holds {count:d} connection")
def check_held(context, count):
    assert context.state.held == count


@when("requests of workspaces {names} are queued")
def queue_requests(context, names):
    context.workspaces = {}
    for name in names.split(", "):
        _request(context, name)
        context.workspaces[context.last_request_id] = name


@then("they are served in the order {names}")
def check_order(context, names):
    order, number = [], context.busy[0]
    for _ in context.workspaces:
        effects = _step(context, pool.Released(number, True))
        assignment = _select(effects, pool.Assign)[0]
        order.append(context.workspaces[assignment.request_id])
        number = assignment.connection_id
    assert order == names.split(", "), order


@when(
    "the endpoint rejects an attempt as overloaded while a request is queued"
)
def reject_attempt(context):
    _step(context, pool.Acquire(900, "a", context.now + 60.0))
    (attempt,) = _select(context.effects, pool.OpenConnection)
    failure = Failure(ErrorKind.OVERLOADED, "test")
    _step(context, pool.ConnectFailed(attempt.connection_id, failure))
    assert context.state.queued == 1


@when("the limit falls to {limit:d} and {seconds:d} s pass")
def lower_limit(context, limit, seconds):
    _step(context, pool.SetLimit(limit))
    context.now += seconds
    _step(context, pool.Tick())


@then("the next tick is in the future")
def check_next_tick(context):
    assert context.state.next_tick_at() > context.now
