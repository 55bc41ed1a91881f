"""Steps for leases on primaries."""

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from chivescale.lease import (
    GRANT_S,
    Epoch,
    Grant,
    Grantor,
    GroupView,
    LeaseAnswer,
    LeaseHolder,
    RevocationStatus,
    is_revoked,
)
from chivescale.lease._messages import CLOCK_RATE_FRACTION
from chivescale.lease.tests.lease_model import (
    EVENTS,
    SERVICE,
    Model,
    Violation,
    run_random,
)

VIEW = GroupView("q", 3, True)
START_S = 1000.0


def parse_grants(text: str) -> tuple[Grant, ...]:
    grants = []
    for item in text.split(", "):
        member, remaining, index, *rest = item.split()
        withheld = (SERVICE,) if rest == ["withheld"] else ()
        grants.append(Grant(member, float(remaining), int(index), withheld))
    return tuple(grants)


def answer(epoch: int, grants: str, voters: int, quorum: str) -> LeaseAnswer:
    epochs = {SERVICE: Epoch(epoch, "b")} if epoch else {}
    return LeaseAnswer(epoch, epochs, quorum, voters, parse_grants(grants))


@given("epoch {epoch:d} and grants {grants} of {voters:d} voters")
def epoch_and_grants(context, epoch, grants, voters):
    context.epoch = epoch
    context.holder = LeaseHolder()
    context.holder.apply(answer(epoch, grants, voters, "q"), START_S, START_S)
    context.holder.confirm()


@when("grants {grants} of {voters:d} other voters arrive")
def other_grants(context, grants, voters):
    context.holder.apply(answer(0, grants, voters, "other"), START_S, START_S)


def holds(context, epoch: int, after_s: float) -> bool:
    return context.holder.holds(SERVICE, epoch, START_S + after_s)


@then("the lease is not held")
def not_held(context):
    assert not holds(context, context.epoch, 0.0)


@then("the lease lasts {seconds:g} s")
def lasts(context, seconds):
    margin_s = seconds * (1 - CLOCK_RATE_FRACTION)
    assert holds(context, context.epoch, seconds - margin_s - 0.001)
    assert not holds(context, context.epoch, seconds - margin_s + 0.001)


@when("epoch {epoch:d} begins")
def epoch_begins(context, epoch):
    context.holder.apply(
        LeaseAnswer(epoch, {SERVICE: Epoch(epoch, "c")}, "q", 3),
        START_S,
        START_S,
    )


@when("epoch {epoch:d} begins, which is closed, with grants {grants}")
def closed_epoch_begins(context, epoch, grants):
    closed = {SERVICE: Epoch(epoch, "c", open=False)}
    context.holder.apply(
        LeaseAnswer(epoch, closed, "q", 3, parse_grants(grants)),
        START_S,
        START_S,
    )


@then("the lease on epoch {epoch:d} is held for {seconds:g} s and not longer")
def retired_lasts(context, epoch, seconds):
    assert holds(context, epoch, seconds * CLOCK_RATE_FRACTION - 0.001)
    assert not holds(context, epoch, seconds)


@when("the host confirms")
def host_confirms(context):
    assert context.holder.confirm() == 7


@then("the lease on epoch {epoch:d} is not held")
def retired_not_held(context, epoch):
    assert not holds(context, epoch, 0.0)


@then("the lease is not held when {seconds:g} s have passed on a slower clock")
def slow_clock(context, seconds):
    assert not holds(context, context.epoch, seconds * 0.99)


@given("a coordinator that started {ago:g} s ago and knows epoch {known:d}")
def coordinator(context, ago, known):
    context.grantor = Grantor("a", START_S - ago)
    context.grantor.learn({SERVICE: Epoch(known, "b")})


@given("a host that got a grant {ago:g} s ago and confirmed epoch {index:d}")
def host_with_grant(context, ago, index):
    at = START_S - ago
    context.grantor.record_request("h", index)
    context.grantor.answer_host("h", index, VIEW, at, at)


@when("the host releases its leases")
def host_releases(context):
    context.grantor.release("h")


@then("revocation up to epoch {index:d} is {outcome}")
def revocation(context, index, outcome):
    status = context.grantor.status(index, START_S)
    confirmed = status.withdrawn and not status.unconfirmed_s
    assert confirmed == (outcome == "confirmed"), status


@given("another coordinator that renewed its grant {ago:g} s ago")
def peer_renewed(context, ago):
    context.grantor.answer_peer("b", 0, VIEW, START_S - ago)


@given("that learned epoch {index:d} {ago:g} s ago")
def learned(context, index, ago):
    context.grantor.learn({SERVICE: Epoch(index, "c")})


@then(
    "revocation up to epoch {index:d} waits {seconds:g} s for grants that are"
    " passed on"
)
def waits_for_passed(context, index, seconds):
    passed_s = context.grantor.status(index, START_S).passed_s
    assert abs(passed_s.get("b", 0.0) - seconds) < 0.001, passed_s


@given("a coordinator that passes on a grant of which {left:g} s are left")
def passes_on(context, left):
    context.grantor = Grantor("a", START_S - 100)
    received = LeaseAnswer(0, {}, "q", 3, (Grant("b", left, 0),))
    context.grantor.record_answer(received, START_S)


@then("a host is granted at most {left:g} s of it")
def passed_on(context, left):
    made = context.grantor.answer_host("h", 0, VIEW, START_S, START_S + 0.1)
    remaining = {g.member: g.remaining_s for g in made.grants}
    assert remaining["a"] == GRANT_S
    assert 0 < remaining["b"] <= left - 0.1


@given("members that answered {answers}")
def members_answered(context, answers):
    context.statuses = {}
    for item in answers.split(", "):
        member, word, *rest = item.split()
        unconfirmed_s, confirmed, passed_s = {}, (), {}
        if "+" in rest:
            passed_s = {rest[1]: float(rest[2])}
        elif word == "awaits":
            unconfirmed_s = {rest[0]: float(rest[1])}
        elif word == "confirms":
            confirmed = (rest[0],)
        status = RevocationStatus(
            word != "pending", unconfirmed_s, confirmed, passed_s
        )
        context.statuses[member] = (START_S, status)


@then("former leases {ended} after {seconds:g} s")
def former_leases(context, ended, seconds):
    found = is_revoked(context.statuses, ("a", "b", "c"), START_S + seconds)
    assert found == (ended == "have ended"), found


class LeaseMachine(RuleBasedStateMachine):
    """Runs the events of the model in an order that hypothesis chooses."""

    members = 3
    totals: dict[str, int] = {}

    @initialize(seed=strategies.integers(0, 2**32))
    def start(self, seed):
        self.model = Model(random.Random(seed), members=self.members)

    @rule(
        events=strategies.lists(
            strategies.sampled_from(
                [e for e, w in EVENTS.items() for _ in range(round(10 * w))]
            ),
            min_size=20,
            max_size=100,
        )
    )
    def run(self, events):
        for event in events:
            event(self.model)

    def teardown(self):
        for name, count in self.model.counts.items():
            self.totals[name] = self.totals.get(name, 0) + count


@when("random events with {members:d} coordinators happen in many runs")
def random_events(context, members):
    class Machine(LeaseMachine):
        totals = {}

    Machine.members = members
    context.violation = None
    try:
        run_state_machine_as_test(
            Machine,
            settings=hypothesis.settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=30,
                stateful_step_count=20,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )
    except Violation as err:
        context.violation = err
    context.totals = Machine.totals


@then("no rule is broken, and writes, reads and promotions took place")
def no_rule_broken(context):
    assert context.violation is None, context.violation
    assert all(context.totals[n] > 10 for n in ("writes", "reads")), (
        context.totals
    )
    assert context.totals["promotions"] > 0, context.totals


@when('{steps:d} random events of seed {seed:d} happen with the flaw "{flaw}"')
def flawed_events(context, steps, seed, flaw):
    context.violation = None
    try:
        run_random(seed, steps, flaw=flaw)
    except Violation as err:
        context.violation = err


@then("a rule is broken")
def rule_broken(context):
    assert context.violation is not None
