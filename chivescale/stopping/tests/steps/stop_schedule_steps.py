"""Steps for the schedule of a planned stop."""

from behave import given, then

from chivescale.stopping import StopSchedule

ASKED_AT = 100.0


@given("a host that runs")
def running(context):
    context.schedule = StopSchedule()


@given("a host with a grace period of {grace:d} ms that was asked to stop")
def asked(context, grace):
    context.grace_s = grace / 1000
    context.schedule = StopSchedule()
    context.schedule.begin(ASKED_AT, context.grace_s)
    assert context.schedule.begun


@given("asked again after {ms:d} ms")
def asked_again(context, ms):
    context.schedule.begin(after(ms), context.grace_s)


def after(ms: int) -> float:
    return ASKED_AT + ms / 1000


@then("after {ms:d} ms with {work} it {does}")
def process_end(context, ms, work, does):
    ended = context.schedule.has_ended(after(ms), work == "work")
    assert ended == (does == "ends")


@then(
    "a session opened after {opened:d} ms and idle after {ms:d} ms is {state}"
)
def idle_session(context, opened, ms, state):
    closed = context.schedule.closes_idle(after(ms), after(opened))
    assert closed == (state == "closed")


@then("a session that is answered after {ms:d} ms is {state} then")
def answered_session(context, ms, state):
    closed = context.schedule.closes_answered(after(ms))
    assert closed == (state == "closed")


@then(
    "after {ms:d} ms a begin is {begin} and an open transaction {transaction}"
)
def transactions(context, ms, begin, transaction):
    refusal = context.schedule.refuse_begin(after(ms))
    assert (refusal.kind if refusal else "taken") == begin
    refusal = context.schedule.refuse_in_transaction(after(ms))
    assert (refusal.kind if refusal else "goes on") == transaction


@then("after {ms:d} ms a statement limited to {limit:d} ms is {verdict}")
def single_statement(context, ms, limit, verdict):
    refusal = context.schedule.refuse_statement(after(ms), after(ms + limit))
    assert (refusal.kind if refusal else "taken") == verdict
