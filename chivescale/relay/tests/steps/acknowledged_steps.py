"""Steps for the positions that entry hosts report to coordinators."""

from behave import given, then, when

from chivescale.messages import Position
from chivescale.relay._term_leases import TermLeases

SERVICE = "ledger"


def position_from(text: str) -> Position | None:
    if text in ("none", "nothing"):
        return None
    return Position(*map(int, text.split(".")))


@given('a guarded service and primary positions "{positions}"')
def commits(context, positions):
    context.leases = TermLeases()
    context.leases.guard({SERVICE})
    for pair in positions.split(", "):
        before, after = map(position_from, pair.split(" "))
        context.leases.record_commit(SERVICE, before, after)


@when("its configuration asks for no synchronous replica")
def unguarded(context):
    context.leases.guard(set())


@then("callers were told of {told}")
def told(context, told):
    known = context.leases.acknowledged.get(SERVICE)
    assert known == position_from(told), known
