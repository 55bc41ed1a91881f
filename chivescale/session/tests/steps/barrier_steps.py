"""Steps for barriers."""

from behave import given, then, when

from chivescale.messages import EndpointStatus, Position
from chivescale.session import (
    BarrierFailed,
    BarrierReady,
    Barriers,
    Join,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
    Tick,
)


def status_of(name, promised, place, incarnation="1", starts=()):
    term, position = place.split(".")
    return EndpointStatus(
        endpoint=name,
        service="ledger",
        incarnation=incarnation,
        role="replica",
        promised_term=int(promised),
        last=Position(int(term), int(position)),
        mysql_address="",
        admin_address="",
        term_starts=starts,
    )


def apply(context, event):
    effects = context.barriers.step(event, context.now)
    context.effects += effects
    for effect in effects:
        if isinstance(effect, StartRound):
            asked = context.asked.setdefault(effect.round, set())
            asked.update(effect.endpoints)


def term_of(term, voters, primary):
    names = tuple(voters.split(", "))
    return TermChanged(names, ("1",) * len(names), primary, int(term))


def answer(context, number, text):
    for part in text.split():
        name, *fields = part.split(":")
        if fields == ["-"]:
            event = StatusFailed(number, name)
        else:
            event = StatusReceived(number, name, status_of(name, *fields))
        apply(context, event)


@given("voters {voters} with primary {primary} in term {term}")
def start(context, voters, primary, term):
    context.barriers = Barriers(term_of(term, voters, primary))
    context.now = 100.0
    context.effects = []
    context.asked = {}


@when("read {read:d} joins and the answers {text} arrive")
def join(context, read, text):
    apply(context, Join(read, context.now + 5.0))
    answer(context, context.barriers.last_round, text)


@when("the second round gets the answers {text}")
def second_round(context, text):
    answer(context, 2, text)


@when("the first round gets the answers {text}")
def first_round(context, text):
    answer(context, 1, text)


@when("{seconds:f} s pass")
def pass_time(context, seconds):
    end = context.now + seconds
    while (at := context.barriers.wake_at) is not None and at <= end:
        context.now = max(context.now, at)
        apply(context, Tick())
        later = context.barriers.wake_at
        assert later is None or later > context.now, "busy loop"
    context.now = end


@when("term {term} is published with voters {voters} and primary {primary}")
def publish(context, term, voters, primary):
    apply(context, term_of(term, voters, primary))


@then("the barrier is {outcome}")
def outcome_is(context, outcome):
    found = "held" if context.barriers.unknown_term else "open"
    for effect in context.effects:
        if isinstance(effect, BarrierFailed):
            found = effect.failure.kind.value
        if isinstance(effect, BarrierReady):
            place = effect.position
            holders = "".join(effect.holders) or "-"
            found = (
                f"{place.term}.{place.position} "
                f"promised {effect.promised_term} at {holders}"
            )
    assert found == outcome, found


@then("the barrier was sent {seconds:f} s ago")
def sent_ago(context, seconds):
    (ready,) = [e for e in context.effects if isinstance(e, BarrierReady)]
    assert abs(context.now - ready.sent_at - seconds) < 1e-9, ready


@then("reads {read:d} are ready")
def reads_ready(context, read):
    ready = [e for e in context.effects if isinstance(e, BarrierReady)]
    assert [e.read_ids for e in ready] == [(read,)], ready


@then("round {number:d} is under way for reads {read:d}")
def round_under_way(context, number, read):
    assert context.barriers.rounds[number].reads == {read}


@then("the endpoints asked are {names}")
def asked_are(context, names):
    asked = context.asked[context.barriers.last_round]
    assert sorted(asked) == names.split(", "), asked


@then("fresh connections are used")
def fresh_used(context):
    rounds = [e for e in context.effects if isinstance(e, StartRound)]
    assert rounds[-1].round == 2
    assert all(e.fresh for e in rounds if e.round == 2), rounds
