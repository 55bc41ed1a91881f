"""Steps for rate_shares.feature."""

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from chivescale.limits import RateLimit, ShareSize, TokenStock
from chivescale.limits.tests import random_rates
from chivescale.limits.tests.random_rates import WORKSPACE, Group


@then("{count:d} random histories of {members:d} coordinators keep the limit")
def keep_limit(context, count, members):
    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(st.integers(0, 2**31))
    def check(seed):
        random_rates.run_history(seed, members)

    check()


@given("{members:d} coordinators with the limit {rate:g}/s, burst {burst:g}")
def coordinators(context, members, rate, burst):
    context.members, context.limit = members, RateLimit(rate, burst)
    context.group = Group(members, context.limit)


@when(
    "{per_s:g} operations per second arrive at {hosts} of them for"
    " {seconds:d} s"
)
def operations_arrive(context, per_s, hosts, seconds):
    context.asked, context.admitted = random_rates.run_steady(
        context.members, context.limit, per_s, hosts, seconds
    )


@then("at least {share:d} percent are admitted")
def share_admitted(context, share):
    assert context.asked >= 4
    assert context.admitted * 100 >= share * context.asked, (
        context.admitted,
        context.asked,
    )


@then("{least:d} to {most:d} are admitted")
def count_admitted(context, least, most):
    assert least <= context.admitted <= most, context.admitted


@given("shares of a group of {before:d} at second 0")
def group_of(context, before):
    context.size = ShareSize()
    context.size.update(before, 0.0)


@when("the group has {after:d} members from second 1 on")
def group_has(context, after):
    context.divided = {}
    for second in range(1, 71):
        context.size.update(after, float(second))
        context.divided[second] = context.size.shares


@then(
    "limits are divided by {at_2:d} at second 2 and by {at_70:d} at second 70"
)
def divided_by(context, at_2, at_70):
    assert (context.divided[2], context.divided[70]) == (at_2, at_70)


@when("it may not add tokens for {seconds:d} s")
def adds_nothing(context, seconds):
    shares = context.group.members[0]
    shares.take(WORKSPACE, 100, 0.0)
    shares.configure({WORKSPACE: context.limit}, 1, False, 0.0)
    context.admitted = shares.take(WORKSPACE, 100, float(seconds))


@then("no operation is admitted")
def none_admitted(context):
    assert context.admitted == 0, context.admitted


@when(
    "the limit is lowered to {rate:g}/s, burst {burst:g} after {seconds:d} s"
)
def lowered(context, rate, burst, seconds):
    context.group.request(0, 0, float(seconds))
    context.group.configure(RateLimit(rate, burst), float(seconds))
    context.admitted = context.group.request(0, 200, float(seconds))


@then("{count:d} operations are admitted at once")
def admitted_at_once(context, count):
    # The tolerated operations are part of the burst.
    spare = random_rates.SLACK / 2
    assert context.admitted == count + spare, context.admitted


@when("12 operations arrive at once after 5 s and 3 are refused")
def refused_at_once(context):
    shares = context.group.members[0]
    shares.take(WORKSPACE, 20, 5.0)
    context.returns = [shares.retry_after_s(WORKSPACE, 5.0) for _ in range(3)]


@then("they are told to return after 100, 200 and 300 ms")
def told(context):
    assert [round(s * 1000) for s in context.returns] == [100, 200, 300], (
        context.returns
    )


@given("a host that got 2 tokens")
def host_got(context):
    context.stock, context.time = TokenStock(), 100.0
    context.stock.add(WORKSPACE, 2, context.time)
    context.contact = None


@when("{ms:d} ms pass")
def pass_ms(context, ms):
    context.time += ms / 1000


@given("a host that ran {rate:d} operations per second for {seconds:d} s")
def host_ran(context, rate, seconds):
    context.stock, context.time = TokenStock(), 100.0
    for _ in range(rate * seconds):
        context.time += 1 / rate
        context.stock.record_grant(WORKSPACE, context.time)
    context.contact = context.time


@when("no coordinator answers for {ms:d} ms")
def none_answers(context, ms):
    context.time += ms / 1000


def runs_without_asking(context) -> int:
    count = 0
    while count < 1000 and (
        context.stock.spend(WORKSPACE, context.time)
        if context.contact is None
        else context.stock.spend_alone(
            WORKSPACE, context.contact, context.time
        )
    ):
        count += 1
    return count


@then("it runs {count:d} operations without asking")
def runs_exactly(context, count):
    assert runs_without_asking(context) == count


@then("it runs {least:d} to {most:d} operations without asking")
def runs_between(context, least, most):
    count = runs_without_asking(context)
    assert least <= count <= most, count
