"""Steps for the replicated state."""

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from chivescale.errors import is_failure
from chivescale.messages import (
    AcceptSheet,
    Batch,
    BeginTerm,
    DrainHost,
    EndpointRecord,
    EstablishTerm,
    HostRecord,
    LeaveEndpoint,
    RegisterEndpoint,
    RegisterHost,
    RemoveEndpoint,
    RemoveHost,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.state import ClusterState, _state

NAMES = ("a", "b", "c")


def _endpoint(name, service="s", incarnation="new") -> EndpointRecord:
    return EndpointRecord(name, service, "z", incarnation, "m", "h", 2, 35)


def _sheet(number, digest, services=("s",), workspaces=()) -> AcceptSheet:
    return AcceptSheet(
        number,
        digest,
        tuple(ServiceRecord(name) for name in services),
        tuple(WorkspaceRecord(name, "hash") for name in workspaces),
    )


def _apply(context, command) -> None:
    state = context.state
    context.result = state.apply(state.index + 1, command)


@given("sheet {number:d} with digest {digest} is current")
def current_sheet(context, number, digest):
    context.state = ClusterState()
    _apply(context, _sheet(number, digest))
    assert context.result.index == context.state.index


@when("sheet {number:d} with digest {digest} is applied")
def apply_sheet(context, number, digest):
    _apply(context, _sheet(number, digest))


@then("the result is {expected}")
def result_is(context, expected):
    result = context.result
    if is_failure(result):
        assert result.kind.value == expected, result
    else:
        repeated = getattr(result, "repeated", False)
        assert expected == ("repeated" if repeated else "accepted"), result


@then("sheet {number:d} {digest} is current")
def check_current_sheet(context, number, digest):
    sheet = context.state.sheet
    assert (sheet.number, sheet.digest) == (number, digest)


@given(
    "a service with reserved term {reserved:d} and established term {term:d}"
)
def service_with_terms(context, reserved, term):
    current_sheet(context, 5, "abc")
    for value in sorted({term, reserved}):
        _apply(context, BeginTerm("s", value))
        if value == term:
            _apply(context, _establish(term))


def _establish(term: int) -> EstablishTerm:
    return EstablishTerm("s", term, "e1", ("e1",), ("new",), 1)


@when("{command} of term {term:d} is applied")
def apply_term(context, command, term):
    begin = BeginTerm("s", term)
    _apply(context, begin if command == "begin" else _establish(term))


@then(
    "the service has reserved term {reserved:d} and established term {term:d}"
)
def check_terms(context, reserved, term):
    record = context.state.services["s"]
    assert (record.begun_term, record.term) == (reserved, term), record
    assert record.primary == ("e1" if term else "")


@when("sheet {number:d} without the service is applied")
def apply_without_service(context, number):
    _apply(context, _sheet(number, "x", ()))
    data = context.state.to_bytes()
    context.state = ClusterState.from_bytes(data)


@when("sheet {number:d} with the service is applied")
def apply_with_service(context, number):
    _apply(context, _sheet(number, "x"))


@then("the service is removed")
def service_removed(context):
    assert "s" not in context.state.services
    assert ("service", "s") in context.state.changes_since(1).removed


@given("an endpoint e1 of incarnation new that is a voter")
def registered_voter(context):
    service_with_terms(context, 1, 1)
    _apply(context, RegisterEndpoint(_endpoint("e1")))


@when("{command} for {name} of incarnation {incarnation} is applied")
def apply_endpoint(context, command, name, incarnation):
    command_type = {"leave": LeaveEndpoint, "remove": RemoveEndpoint}[command]
    _apply(context, command_type(name, incarnation))


def _commands():
    names = st.sampled_from(NAMES)
    incarnations = st.sampled_from(("i1", "i2"))
    terms = st.integers(1, 5)
    groups = st.frozensets(names).map(sorted).map(tuple)
    membership = st.one_of(
        st.builds(
            lambda n, i: RegisterHost(HostRecord(n, "z", "a", "m", i)),
            names,
            incarnations,
        ),
        st.builds(RemoveHost, names, incarnations),
        st.builds(
            lambda n, s, i: RegisterEndpoint(_endpoint(n, s, i)),
            names,
            names,
            incarnations,
        ),
        st.builds(LeaveEndpoint, names, incarnations),
        st.builds(RemoveEndpoint, names, incarnations),
    )
    return st.one_of(
        st.builds(_sheet, st.integers(1, 6), names, groups, groups),
        membership,
        st.lists(membership, max_size=4).map(tuple).map(Batch),
        st.builds(DrainHost, names),
        st.builds(BeginTerm, names, terms),
        st.builds(
            EstablishTerm,
            names,
            terms,
            names,
            st.just(NAMES),
            st.just(NAMES),
            terms,
        ),
    )


def _content(state):
    return (
        state.index,
        state.sheet,
        state.workspaces,
        state.services,
        state.hosts,
        state.endpoints,
    )


@then("random commands leave every copy equal to the state")
def check_copies(context):
    # The flags of a step select whether the first copy is updated from the
    # state, whether the second copy is updated from the first one, and
    # whether the state is restored from its snapshot.
    step = st.tuples(_commands(), st.booleans(), st.booleans(), st.booleans())

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(st.lists(step, max_size=40), st.integers(1, 4))
    def check(steps, max_removals):
        _state.MAX_REMOVALS = max_removals
        state, first, second = ClusterState(), ClusterState(), ClusterState()
        reserved: dict[str, int] = {}
        for index, (command, pull, relay, restart) in enumerate(steps, 3):
            state.apply(index, command)
            for name, record in state.services.items():
                assert record.begun_term >= reserved.get(name, 0)
                assert record.term <= record.begun_term
                reserved[name] = record.begun_term
            if restart:
                state = ClusterState.from_bytes(state.to_bytes())
            if pull:
                first.merge(state.changes_since(first.index))
                assert _content(first) == _content(state)
            if relay:
                second.merge(first.changes_since(second.index))
                assert _content(second) == _content(first)

    default = _state.MAX_REMOVALS
    try:
        check()
    finally:
        _state.MAX_REMOVALS = default


@given("a state that has discarded removals")
def discarded_removals(context):
    context.state = state = ClusterState()
    sheet = _sheet(1, "x", ("s",), ("w",))
    state.apply(1, sheet)
    for index in range(_state.MAX_REMOVALS + 10):
        host = HostRecord(f"h{index}", "z", "a", "m", "i")
        state.apply(state.index + 1, RegisterHost(host))
    context.stale_copy = ClusterState()
    context.stale_copy.merge(state.changes_since(0))
    for index in range(_state.MAX_REMOVALS + 10):
        state.apply(state.index + 1, RemoveHost(f"h{index}", "i"))
        if index == 20:
            context.recent_copy = ClusterState()
            context.recent_copy.merge(state.changes_since(0))


@then("a copy from before them is replaced in full and becomes equal")
def check_stale_copy(context):
    reply = context.state.changes_since(context.stale_copy.index)
    assert reply.full and not reply.removed
    assert context.stale_copy.merge(reply)
    assert _content(context.stale_copy) == _content(context.state)


@then("a copy from after them receives only the changes")
def check_recent_copy(context):
    reply = context.state.changes_since(context.recent_copy.index)
    assert not reply.full and not reply.workspaces
    assert len(reply.removed) == _state.MAX_REMOVALS + 10 - 21
    assert context.recent_copy.merge(reply)
    assert _content(context.recent_copy) == _content(context.state)


@given("a copy at index {index:d}")
def copy_at_index(context, index):
    context.state = ClusterState()
    context.state.apply(index, _sheet(5, "abc"))
    context.copy = ClusterState()
    context.copy.merge(context.state.changes_since(0))
    context.content = _content(context.copy)


@when("it merges a full reply of index {index:d}")
def merge_older_reply(context, index):
    other = ClusterState()
    other.apply(index, _sheet(4, "xyz", ("t",)))
    assert not context.copy.merge(other.changes_since(0))


@then("it has not changed")
def copy_unchanged(context):
    assert _content(context.copy) == context.content


def _apply_random_change(context) -> None:
    name = f"e{context.rng.randrange(60)}"
    known = context.state.endpoints.get(name)
    if known is not None and context.rng.random() < 0.3:
        command = RemoveEndpoint(name, known.incarnation)
    else:
        number = str(context.rng.randrange(3))
        command = RegisterEndpoint(_endpoint(name, incarnation=number))
    before = dict(context.state.endpoints)
    _apply(context, command)
    after = context.state.endpoints
    if after.get(name) != before.get(name):
        context.changed_at[name] = context.state.index


@given("a cluster state after {count:d} random changes")
def random_changes(context, count):
    context.rng = random.Random(count)
    context.changed_at = {}
    context.state = ClusterState()
    for _ in range(count):
        _apply_random_change(context)


@when(
    "the state is restored from its snapshot and {count:d} more changes apply"
)
def restore_and_change(context, count):
    context.state = ClusterState.from_bytes(context.state.to_bytes())
    for _ in range(count):
        _apply_random_change(context)


@then("every delta equals the records changed after its index")
def check_deltas(context):
    state = context.state
    for index in range(1, state.index + 1):
        expected = sorted(
            name
            for name, last_index in context.changed_at.items()
            if last_index > index and name in state.endpoints
        )
        reply = state.changes_since(index)
        assert [record.endpoint for record in reply.endpoints] == expected, (
            index
        )
