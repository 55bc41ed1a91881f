"""Steps for confirmations.feature."""

from barrier_steps import make_status
from behave import given, then, when

from chivescale.messages import Position, ServiceRecord, TermStart
from chivescale.session import (
    Confirmations,
    Confirmed,
    OutcomeUnknown,
    PollPositions,
    PositionReceived,
    RequestTermStarts,
    TermEstablished,
    TermStartsReceived,
    Tick,
    WriteAbsent,
    WriteAccepted,
)

OUTCOMES = {
    Confirmed: "confirmed",
    WriteAbsent: "absent",
    OutcomeUnknown: "unknown",
}


def make_record(term, primary, voters):
    names = tuple(voters.split(", "))
    incarnations = ("1",) * len(names)
    return ServiceRecord("ledger", 3, term, term, primary, names, incarnations)


def process_event(context, event):
    context.effects += context.confirmations.step(event, context.now)


@given("term {term:d} with primary {primary} and voters {voters}")
def create_confirmations(context, term, primary, voters):
    record = make_record(term, primary, voters)
    context.confirmations = Confirmations(record)
    context.now = 50.0
    context.effects = []
    context.writes = 0


@when("write {write} is pending and the positions {positions} arrive")
def add_write(context, write, positions):
    term, position = write.split(".")
    context.writes += 1
    target = Position(int(term), int(position))
    process_event(
        context, WriteAccepted(context.writes, target, context.now + 5.0)
    )
    receive_positions(context, positions)


@when("the positions {positions} arrive")
def receive_positions(context, positions):
    for part in positions.replace("-", "").split():
        name, *fields = part.split(":")
        process_event(
            context, PositionReceived(name, make_status(name, *fields))
        )


@when("term {term:d} is established with primary {primary} and voters {names}")
def establish_term(context, term, primary, names):
    process_event(context, TermEstablished(make_record(term, primary, names)))


@when("{name} at {position} reports the terms {starts}")
def report_history(context, name, position, starts):
    pairs = (each.split(":") for each in starts.split())
    term_starts = tuple(TermStart(int(term), int(at)) for term, at in pairs)
    status = make_status(name, 4, position, "1", term_starts)
    process_event(context, TermStartsReceived(name, status))


@when("the deadline of the write passes")
def pass_deadline(context):
    context.now += 5.0
    process_event(context, Tick())


@then("the write is {outcome}")
def check_outcome(context, outcome):
    actual = [
        OUTCOMES[type(effect)]
        for effect in context.effects
        if type(effect) in OUTCOMES
    ]
    assert actual == ([] if outcome == "pending" else [outcome]), actual


@then("the history of {name} is requested")
def check_history_requested(context, name):
    requested = [
        e.endpoint for e in context.effects if type(e) is RequestTermStarts
    ]
    assert requested == [name], requested


@then("b and c were polled once for 2.10")
def check_polled_once(context):
    requested = [e for e in context.effects if type(e) is PollPositions]
    assert requested == [PollPositions(("b", "c"), Position(2, 10))], requested


@then("b is polled for 2.12")
def check_next_poll(context):
    assert context.effects[-1] == PollPositions(("b",), Position(2, 12))
