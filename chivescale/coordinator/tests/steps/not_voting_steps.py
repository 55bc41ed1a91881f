"""Steps for members that are not voters."""

import asyncio
import io

from behave import given, then, when
from disk_steps import run
from leaving_steps import (
    alive,
    choose,
    kill,
    leading,
    states,
    wait_for,
)

from chivescale import agreement as ag
from chivescale.agreement import _members
from chivescale.agreement.tests.fakes import World
from chivescale.coordinator import _membership
from chivescale.coordinator._not_voting import NotVoting, reasons_of
from chivescale.telemetry import COUNTERS


def names(text: str) -> list[str]:
    return [] if text == "none" else text.split()


def update(context, seconds: float) -> list[str]:
    reasons = dict.fromkeys(context.without_vote, ("silent", ""))
    return context.watch.update(reasons, seconds)


@given("members without a vote: {first}")
def without_vote(context, first):
    context.watch = NotVoting()
    context.without_vote = names(first)
    assert update(context, 100.0) == []


@when("{later} are without a vote {seconds:g} s later")
def later_without_vote(context, later, seconds):
    context.without_vote = names(later)
    context.told = update(context, 100.0 + seconds)


@then("it is told about {told}")
def told_about(context, told):
    assert context.told == names(told), context.told


@then("60 s later it is told about {again}")
def told_again(context, again):
    assert update(context, 160.0) == names(again)


@given("a simulated group of five with a learner that has not caught up")
def simulated(context):
    usual = _members._caught_up
    context.add_cleanup(setattr, _members, "_caught_up", usual)
    _members._caught_up = lambda *_: False
    context.world = world = World(7)
    assert world.run(2.0, world.leader)
    world.add_host("c9", world.names)
    assert world.run(2.0, lambda: "c9" in world.leader().machine.seen)
    world.change(ag.ReplaceMember, "c9")
    world.run(1.0)


@when("the learner {state} and 5 entries are committed")
def learner_is(context, state):
    world = context.world
    if state == "has crashed":
        world.crash("c9")
        world.run(1.0)
    elif state == "pauses":
        world.freeze("c9", 5.0)
    commands = world.propose(count=5)
    assert world.run(0.2, lambda: commands[-1] in world.acknowledged)
    if state == "keeps up":
        world.run(0.5)


@then('the reason is "{reason}"')
def reason_is(context, reason):
    leader = context.world.leader()
    time = context.world.now * leader.rate
    watch = NotVoting()
    watch.update(reasons_of(leader.machine, True, True, time), time)
    assert list(watch.described().values()) == [reason], watch.described()


def given_reasons(member) -> list[str]:
    return list(member.host.group_status().not_voting.values())


@then('the leader gives "{reason}" as the reason within {seconds:g} s')
def leader_gives(context, reason, seconds):
    run(
        context,
        wait_for(
            lambda: (
                leading(context) is not None
                and given_reasons(leading(context)) == [reason]
            ),
            seconds,
            lambda: states(context),
        ),
    )


@then('the successor gives "{reason}" as the reason within {seconds:g} s')
def successor_gives(context, reason, seconds):
    run(
        context,
        wait_for(
            lambda: any(
                text.startswith(reason)
                for text in given_reasons(context.successor)
            ),
            seconds,
            lambda: states(context),
        ),
    )


@then('within {seconds:g} s the log and the counter name "{reason}" once')
def told_once(context, seconds, reason):
    key = ("members_not_voting", reason)
    before = COUNTERS.counts[key]
    output, log_event = io.StringIO(), _membership.log_event

    def record(event, level="info", **fields):
        print(event, fields.get("reason"), file=output)

    context.add_cleanup(setattr, _membership, "log_event", log_event)
    _membership.log_event = record
    run(context, asyncio.sleep(seconds))
    _membership.log_event = log_event
    assert COUNTERS.counts[key] == before + 1, COUNTERS.counts
    lines = output.getvalue().splitlines()
    assert lines.count(f"member_not_voting {reason}") == 1, lines


@then("no host gives a reason within {seconds:g} s")
def no_reason(context, seconds):
    run(
        context,
        wait_for(
            lambda: not any(s.not_voting for s in states(context)),
            seconds,
            lambda: states(context),
        ),
    )


@when("the others of a follower are killed")
def others_killed(context):
    context.left = choose(context, "a follower")

    async def work():
        for member in alive(context):
            if member is not context.left:
                await kill(context, member)

    run(context, work())


@then('it gives "{reason}" as the reason within {seconds:g} s')
def it_gives(context, reason, seconds):
    run(
        context,
        wait_for(
            lambda: given_reasons(context.left) == [reason],
            seconds,
            lambda: states(context),
        ),
    )
