"""Steps for barriers.feature."""

from behave import given, then, when

from chivescale.messages import EndpointStatus, Position
from chivescale.session import (
    BarrierFailed,
    BarrierReady,
    Barriers,
    ReadArrived,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
    Tick,
)


def make_status(
    name, promised_term, position_text, incarnation="1", term_starts=()
):
    term, position = position_text.split(".")
    return EndpointStatus(
        endpoint=name,
        service="ledger",
        incarnation=incarnation,
        role="replica",
        promised_term=int(promised_term),
        last=Position(int(term), int(position)),
        mysql_address="",
        admin_address="",
        term_starts=term_starts,
    )


def process_event(context, event):
    effects = context.barriers.step(event, context.now)
    context.effects += effects
    for effect in effects:
        if isinstance(effect, StartRound):
            contacted = context.contacted.setdefault(effect.round, set())
            contacted.update(effect.endpoints)


def make_term(term, voters, primary):
    names = tuple(voters.split(", "))
    return TermChanged(names, ("1",) * len(names), primary, int(term))


def receive_answers(context, number, text):
    for part in text.split():
        name, *fields = part.split(":")
        if fields == ["-"]:
            event = StatusFailed(number, name)
        else:
            event = StatusReceived(number, name, make_status(name, *fields))
        process_event(context, event)


@given("voters {voters} with primary {primary} in term {term}")
def create_barriers(context, voters, primary, term):
    context.barriers = Barriers(make_term(term, voters, primary))
    context.now = 100.0
    context.effects = []
    context.contacted = {}


@when("read {read:d} joins and the answers {text} arrive")
def join_read(context, read, text):
    process_event(context, ReadArrived(read, context.now + 5.0))
    receive_answers(context, context.barriers.last_round, text)


@when("the second round gets the answers {text}")
def answer_second_round(context, text):
    receive_answers(context, 2, text)


@when("the first round gets the answers {text}")
def answer_first_round(context, text):
    receive_answers(context, 1, text)


@when("{seconds:f} s pass")
def pass_time(context, seconds):
    end = context.now + seconds
    while (at := context.barriers.wake_at) is not None and at <= end:
        context.now = max(context.now, at)
        process_event(context, Tick())
        later = context.barriers.wake_at
        assert later is None or later > context.now, "busy loop"
    context.now = end


@when("term {term} is published with voters {voters} and primary {primary}")
def publish_term(context, term, voters, primary):
    process_event(context, make_term(term, voters, primary))


@then("the barrier is {outcome}")
def check_outcome(context, outcome):
    actual = "deferred" if context.barriers.unpublished_term else "pending"
    for effect in context.effects:
        if isinstance(effect, BarrierFailed):
            actual = effect.failure.kind.value
        if isinstance(effect, BarrierReady):
            position = effect.position
            holders = "".join(effect.holders) or "-"
            actual = (
                f"{position.term}.{position.position} "
                f"promised {effect.promised_term} at {holders}"
            )
    assert actual == outcome, actual


@then("the barrier was sent {seconds:f} s ago")
def check_sent_at(context, seconds):
    (ready,) = [e for e in context.effects if isinstance(e, BarrierReady)]
    assert abs(context.now - ready.sent_at - seconds) < 1e-9, ready


@then("reads {read:d} are ready")
def check_ready(context, read):
    ready = [e for e in context.effects if isinstance(e, BarrierReady)]
    assert [e.read_ids for e in ready] == [(read,)], ready


@then("round {number:d} is in progress for reads {read:d}")
def check_round(context, number, read):
    assert context.barriers.rounds[number].read_ids == {read}


@then("the endpoints contacted are {names}")
def check_contacted(context, names):
    contacted = context.contacted[context.barriers.last_round]
    assert sorted(contacted) == names.split(", "), contacted


@then("new connections are used")
def check_new_connections(context):
    rounds = [e for e in context.effects if isinstance(e, StartRound)]
    assert rounds[-1].round == 2
    assert all(e.fresh for e in rounds if e.round == 2), rounds
