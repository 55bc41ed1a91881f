"""Steps for the pure pool state."""

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
    "silence",
    "tick",
    "late tick",
)


def _effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


class Model:
    """Applies operations and checks every effect against plain facts."""

    def __init__(self):
        self.state = pool.PoolState(IDLE_S, random.Random(1))
        self.now = 0.0
        self.live, self.busy, self.stale = set(), {}, set()
        self.opening = set()
        self.open_tickets = {}
        self.tickets = 0

    def run(self, operation, pick):
        """Turn one drawn operation into an event."""
        self.now += 0.01
        event = self._event(operation, pick)
        if event is not None:
            self._check(self.state.step(event, self.now))
        self._check_state()

    def _event(self, operation, pick):
        if operation == "acquire":
            self.tickets += 1
            deadline = self.now + pick % 40 / 10
            self.open_tickets[self.tickets] = deadline
            return pool.Acquire(self.tickets, "abc"[pick % 3], deadline)
        if operation == "cancel":
            ticket = _choose(self.open_tickets, pick)
            self.open_tickets.pop(ticket, None)
            return pool.Cancel(ticket) if ticket else None
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
            return pool.Lost(number) if number else None
        if operation == "limit":
            return pool.SetLimit(pick % 5)
        if operation == "silence":
            self.stale |= self.live
            return pool.Silence()
        self.now += 100.0 if operation == "late tick" else 0.5
        return pool.Tick()

    def _connect_event(self, operation, pick):
        number = _choose(self.opening, pick)
        if not number:
            return None
        self.opening.discard(number)
        if operation == "connected":
            self.live.add(number)
            return pool.Connected(number)
        kind = ErrorKind.UNREACHABLE
        if operation == "overloaded":
            kind = ErrorKind.OVERLOADED
        return pool.ConnectFailed(number, Failure(kind, "test"))

    def _check(self, effects):
        for effect in effects:
            if isinstance(effect, pool.Open):
                assert effect.connection not in self.live
                self.opening.add(effect.connection)
                assert self.state.held <= self.state.limit
            elif isinstance(effect, pool.Give):
                assert effect.ticket in self.open_tickets
                assert self.open_tickets.pop(effect.ticket) > self.now
                assert effect.connection in self.live
                assert effect.connection not in self.busy
                assert effect.connection not in self.stale
                self.busy[effect.connection] = effect.ticket
            elif isinstance(effect, pool.Refuse):
                assert effect.ticket in self.open_tickets
                del self.open_tickets[effect.ticket]
            elif isinstance(effect, pool.Discard):
                assert effect.connection not in self.busy
                self.live.remove(effect.connection)

    def _check_state(self):
        state = self.state
        assert state.queued == len(self.open_tickets)
        assert set(state.busy) == set(self.busy)
        assert set(state.idle) == self.live - set(self.busy)
        assert state.opening == self.opening
        # Neither a free connection nor a request may be forgotten.
        assert not (state.idle and state.queued)
        if state.queued:
            assert state.next_time() is not None
        due = state.next_time()
        if due is not None and due <= self.now:
            before = (state.queued, state.held)
            self._check(state.step(pool.Tick(), self.now))
            after = state.next_time()
            assert after is None or after > self.now, (before, after)


def _choose(items, pick):
    ordered = sorted(items)
    return ordered[pick % len(ordered)] if ordered else 0


@then("no history of pool events breaks an invariant")
def random_histories(context):
    steps = st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 1000))

    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    @for_all(st.lists(steps, max_size=60))
    def check(history):
        model = Model()
        for operation, pick in history:
            model.run(operation, pick)

    check()


@given("a pool state with limit {limit:d} and {busy:d} busy connections")
def pool_state(context, limit, busy):
    context.state = pool.PoolState(IDLE_S, random.Random(1))
    context.now = 0.0
    context.ticket = 100
    _step(context, pool.SetLimit(limit))
    context.busy = _fill(context, busy)


def _step(context, event):
    context.effects = context.state.step(event, context.now)
    return context.effects


def _request(context, workspace="a"):
    context.ticket += 1
    deadline = context.now + 5.0
    return _step(context, pool.Acquire(context.ticket, workspace, deadline))


def _fill(context, count):
    numbers = []
    for _ in range(count):
        opened = _effects(_request(context), pool.Open)[0].connection
        given = _step(context, pool.Connected(opened))
        numbers.append(_effects(given, pool.Give)[0].connection)
    return numbers


@given("{count:d} idle connections")
def idle_connections(context, count):
    context.idle = _fill(context, count)
    for number in context.idle:
        _step(context, pool.Released(number, True))
    assert len(context.state.idle) == count


@when("a request waits and its connection attempt fails with {kind}")
def attempt_fails(context, kind):
    opened = _effects(_request(context), pool.Open)[0].connection
    context.waiting = context.ticket
    failure = Failure(ErrorKind(kind), "test")
    _step(context, pool.ConnectFailed(opened, failure))


@then("the waiting request is {outcome}")
def waiting_request(context, outcome):
    refused = [e.ticket for e in _effects(context.effects, pool.Refuse)]
    assert (refused == [context.waiting]) == (outcome == "refused")
    assert context.state.queued == int(outcome == "queued")


@then("a new request is {outcome}")
def new_request(context, outcome):
    effects = _request(context)
    assert bool(_effects(effects, pool.Refuse)) == (outcome == "refused")
    assert not _effects(effects, pool.Open), "attempt before the back-off"


@when("silence is suspected")
def suspect_silence(context):
    _step(context, pool.Silence())


@when("the limit becomes {limit:d}")
def set_limit(context, limit):
    _step(context, pool.SetLimit(limit))


@when("{seconds:d} idle seconds pass")
def seconds_pass(context, seconds):
    context.now += seconds
    _step(context, pool.Tick())


@then("both idle connections are discarded")
def both_discarded(context):
    discarded = _effects(context.effects, pool.Discard)
    assert {e.connection for e in discarded} == set(context.idle)


@then("the busy connection is discarded when it is released clean")
def busy_discarded(context):
    effects = _step(context, pool.Released(context.busy[0], True))
    assert _effects(effects, pool.Discard) == [pool.Discard(context.busy[0])]


@then("the pool holds {count:d} connection")
def pool_holds(context, count):
    assert context.state.held == count


@when("requests of workspaces {names} wait")
def requests_wait(context, names):
    context.owners = {}
    for name in names.split(", "):
        _request(context, name)
        context.owners[context.ticket] = name


@then("they are served in the order {names}")
def served_in_order(context, names):
    order, number = [], context.busy[0]
    for _ in context.owners:
        effects = _step(context, pool.Released(number, True))
        give = _effects(effects, pool.Give)[0]
        order.append(context.owners[give.ticket])
        number = give.connection
    assert order == names.split(", "), order


@when("an attempt is refused by the full endpoint while a request waits")
def attempt_overloaded(context):
    _step(context, pool.Acquire(900, "a", context.now + 60.0))
    (attempt,) = _effects(context.effects, pool.Open)
    failure = Failure(ErrorKind.OVERLOADED, "test")
    _step(context, pool.ConnectFailed(attempt.connection, failure))
    assert context.state.queued == 1


@when("the limit falls to {limit:d} and {seconds:d} s pass")
def limit_falls(context, limit, seconds):
    _step(context, pool.SetLimit(limit))
    context.now += seconds
    _step(context, pool.Tick())


@then("the next wake-up lies in the future")
def wakes_later(context):
    assert context.state.next_time() > context.now
