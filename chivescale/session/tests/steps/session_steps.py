"""Steps for session.feature."""

import sqlite3

import hypothesis
import hypothesis.strategies as st
from barrier_steps import make_status
from behave import given, then, when

from chivescale.errors import is_failure
from chivescale.messages import Position, ServiceRecord
from chivescale.session import (
    CREATE_REQUEST_TABLE,
    Freshness,
    SessionPosition,
    StatementKey,
    Token,
    format_token,
    parse_token,
    statement_digest,
)


def parse_position(text):
    term, position = text.split(".")
    return Position(int(term), int(position))


@when("the token text {text} is parsed for service ledger")
def parse_token_text(context, text):
    other = format_token(Token("atelier", Position(1, 1)))
    text = {"LONG": "c" * 300, "OTHER": other}.get(text, text)
    context.result = parse_token(text, "ledger")


@then("the result is {result}")
def check_token(context, result):
    if is_failure(context.result):
        assert result in context.result.reason, context.result
    else:
        assert context.result == Token("ledger", parse_position(result))


@then("tokens with random names and positions are parsed back unchanged")
def check_round_trip(context):
    numbers = st.integers(0, 2**63 - 1)
    names = st.text("abc.%25E-_ü", min_size=1, max_size=20)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(names, numbers, numbers)
    def check(name, term, position):
        token = Token(name, Position(term, position))
        assert parse_token(format_token(token), name) == token

    check()


@given("a connection with scope {scope}")
def create_connection(context, scope):
    context.session = SessionPosition("ledger", scope)


@when("these events are recorded: {events}")
def record_events(context, events):
    session = context.session
    for event in events.replace("-", "").split():
        kind, position_text = event.split(":")
        position = parse_position(position_text)
        if kind == "write":
            session.record_write(position)
        elif kind == "barrier":
            session.record_barrier(position)
        else:
            session.record_token(Token("ledger", position))


@then("a barrier is needed: {needed}, and reads must include {position}")
def check_barrier_needed(context, needed, position):
    expected = None if position == "none" else parse_position(position)
    assert context.session.needs_barrier() == (needed == "yes")
    assert context.session.required_position() == expected


@given("a freshness object with term {term:d} and primary a")
def create_freshness(context, term):
    record = ServiceRecord(
        "ledger", 3, term, term, "a", ("a", "b", "c"), ("1", "1", "1"), 1
    )
    context.freshness = Freshness()
    context.freshness.term_changed(record)


@when("these answers and samples are recorded: {records}")
def record_answers(context, records):
    for record in records.split():
        late = record.startswith("late:")
        name, rest = record.removeprefix("late:").split("@")
        at, value = rest.split("=")
        at = float(at)
        if name == "sample":
            context.freshness.add_sample(at, parse_position(value), 2)
            continue
        status = make_status(name, *value.split(":"))
        received = at + 5.0 if late else at + 0.1
        context.freshness.record_status(name, status, at, received)


@then("at 10 s the proven age of {endpoint} is {age}")
def check_age(context, endpoint, age):
    found = context.freshness.proven_age_s(endpoint, 10.0)
    assert found == (None if age == "none" else float(age)), found
    within = context.freshness.endpoints_within(100.0, None, 10.0)
    assert (endpoint in within) == (found is not None)


@then("{endpoint} holds {position}: {holds}")
def check_holds(context, endpoint, position, holds):
    found = context.freshness.holds_position(
        endpoint, parse_position(position)
    )
    assert found == (holds == "yes")


@when("10000 samples are recorded in 10 s")
def add_samples(context):
    for number in range(10000):
        position = Position(2, number + 1)
        context.freshness.add_sample(number / 1000, position, 2)


@then("at most 512 samples are kept")
def check_sample_count(context):
    assert len(context.freshness.sent_at) <= 512
    assert len(context.freshness.positions) == len(context.freshness.sent_at)


@then("a replica 4 s behind has a proven age under 4.5 s")
def check_lagging_age(context):
    status = make_status("b", 2, "2.6000")
    context.freshness.record_status("b", status, 10.0, 10.0)
    age = context.freshness.proven_age_s("b", 10.0)
    assert 4.0 <= age < 4.5, age


def parse_key(text):
    workspace, key, statement = text.split()[:3]
    return StatementKey(workspace, key, statement_digest(statement))


@given("a table of requests with a stored request {stored}")
def store_request(context, stored):
    context.database = sqlite3.connect(":memory:")
    context.database.execute(CREATE_REQUEST_TABLE)
    if stored == "-":
        return
    context.database.execute(parse_key(stored).insert_sql())
    result = stored.split()[3:]
    if result:
        sql = parse_key(stored).update_sql(*map(int, result))
        assert context.database.execute(sql).rowcount == 1


@when("the request {request} is looked up")
def look_up(context, request):
    key = parse_key(request)
    row = context.database.execute(key.select_sql()).fetchone()
    context.key_result = key.interpret(row)


@then("the result of the key is {result}")
def check_key_result(context, result):
    outcome = context.key_result
    if outcome is None:
        text = "none"
    elif is_failure(outcome):
        text = outcome.kind.value
    else:
        text = f"{outcome.affected_rows} rows, id {outcome.last_insert_id}"
    assert text == result, text
