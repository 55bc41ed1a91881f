"""Steps for confirmations."""

from barrier_steps import status_of
from behave import given, then, when

from chivescale.messages import Position, ServiceRecord, TermStart
from chivescale.session import (
    AskHistory,
    AskPositions,
    Confirmations,
    Confirmed,
    HistoryReceived,
    PositionReceived,
    ProvedAbsent,
    TermEstablished,
    Tick,
    Unknown,
    Wait,
)

OUTCOMES = {Confirmed: "confirmed", ProvedAbsent: "absent", Unknown: "unknown"}


def record_of(term, primary, voters):
    names = tuple(voters.split(", "))
    ones = ("1",) * len(names)
    return ServiceRecord("ledger", 3, term, term, primary, names, ones)


def apply(context, event):
    context.effects += context.confirmations.step(event, context.now)


@given("term {term:d} with primary {primary} and voters {voters}")
def begin_term(context, term, primary, voters):
    record = record_of(term, primary, voters)
    context.confirmations = Confirmations(record)
    context.now = 50.0
    context.effects = []
    context.writes = 0


@when("write {place} waits and the positions {positions} arrive")
def wait(context, place, positions):
    term, position = place.split(".")
    context.writes += 1
    wanted = Position(int(term), int(position))
    apply(context, Wait(context.writes, wanted, context.now + 5.0))
    positions_arrive(context, positions)


@when("the positions {positions} arrive")
def positions_arrive(context, positions):
    for part in positions.replace("-", "").split():
        name, *fields = part.split(":")
        apply(context, PositionReceived(name, status_of(name, *fields)))


@when("term {term:d} is established with primary {primary} and voters {names}")
def establish(context, term, primary, names):
    apply(context, TermEstablished(record_of(term, primary, names)))


@when("{name} at {place} reports the terms {starts}")
def report(context, name, place, starts):
    pairs = (each.split(":") for each in starts.split())
    found = tuple(TermStart(int(term), int(at)) for term, at in pairs)
    status = status_of(name, 4, place, "1", found)
    apply(context, HistoryReceived(name, status))


@when("the deadline of the write passes")
def deadline_passes(context):
    context.now += 5.0
    apply(context, Tick())


@then("the write is {outcome}")
def write_is(context, outcome):
    found = [
        OUTCOMES[type(effect)]
        for effect in context.effects
        if type(effect) in OUTCOMES
    ]
    assert found == ([] if outcome == "open" else [outcome]), found


@then("{name} is asked for its history")
def history_asked(context, name):
    asked = [e.endpoint for e in context.effects if type(e) is AskHistory]
    assert asked == [name], asked


@then("b and c were asked once for 2.10")
def asked_once(context):
    asked = [e for e in context.effects if type(e) is AskPositions]
    assert asked == [AskPositions(("b", "c"), Position(2, 10))], asked


@then("b is asked for 2.12")
def asked_next(context):
    assert context.effects[-1] == AskPositions(("b",), Position(2, 12))
