"""Steps for coordinators that stop, are replaced and return."""

import asyncio
import pathlib
import shutil

import msgspec
from behave import given, then, when
from disk_steps import Coordinator, run, store, votes

from chivescale.agreement import _members, _roster
from chivescale.clock import now
from chivescale.errors import is_failure
from tools.processes import free_address

WATCH_PAUSE_S = 0.01
STOP_LIMIT_S = 10.0


def alive(context) -> list[Coordinator]:
    return [m for m in context.group if m not in gone(context)]


def gone(context) -> list[Coordinator]:
    if not hasattr(context, "gone"):
        context.gone = []
    return context.gone


def leading(context) -> Coordinator | None:
    found = [m for m in alive(context) if m.host.leading]
    return found[0] if found else None


def voters(context) -> tuple[str, ...]:
    leader = leading(context)
    return leader.host.group_status().voters if leader else ()


async def wait_for(condition, seconds: float, describe) -> None:
    deadline = now() + seconds
    while not condition():
        assert now() < deadline, describe()
        await asyncio.sleep(0.02)


def states(context) -> list:
    return [m.host.group_status() for m in alive(context)]


def choose(context, words: str) -> Coordinator:
    leader = leading(context)
    if words == "the leader":
        return leader
    return next(m for m in alive(context) if m is not leader)


async def stop(context, member: Coordinator) -> None:
    """End a process as a signal to stop does."""
    began = now()
    await member.host.leave()
    gone(context).append(member)
    await member.stop()
    context.stop_s = now() - began


async def kill(context, member: Coordinator) -> None:
    gone(context).append(member)
    await member.stop()


async def start(context, member: Coordinator, wipe: bool = False) -> None:
    """Start a process again, at its place in the group."""
    settings = member.host.settings
    folder = pathlib.Path(settings.data_dir)
    if wipe:
        shutil.rmtree(folder)
    again = Coordinator(
        member.address, settings.seeds, str(folder.parent), may_form=False
    )
    context.group[context.group.index(member)] = again
    if member in gone(context):
        gone(context).remove(member)
    await again.start()


def add_successor(context) -> Coordinator:
    settings = context.group[0].host.settings
    folder = str(pathlib.Path(settings.data_dir).parent)
    context.successor = Coordinator(
        free_address(), settings.seeds, folder, may_form=False
    )
    context.group.append(context.successor)
    return context.successor


@when("a successor joins as a voter")
def successor_joins(context):
    async def work():
        count = len(context.group) + 1
        await add_successor(context).start()
        await wait_for(
            lambda: votes(context.successor, count),
            5.0,
            lambda: states(context),
        )

    run(context, work())


@when("a successor is admitted as a learner that has not caught up")
def successor_learns(context):
    usual = _members._caught_up
    context.add_cleanup(setattr, _members, "_caught_up", usual)
    context.caught_up = usual
    _members._caught_up = lambda *_: False

    async def work():
        await add_successor(context).start()
        address = context.successor.address
        await wait_for(
            lambda: all(address in s.learners for s in states(context)),
            5.0,
            lambda: states(context),
        )

    run(context, work())


@when("the successor catches up after {seconds:g} s")
def successor_catches_up(context, seconds):
    async def work():
        await asyncio.sleep(seconds)
        _members._caught_up = context.caught_up

    run(context, work())


@when("{words} stops for good")
def stops_for_good(context, words):
    run(context, stop(context, choose(context, words)))


@when("{words} begins to stop for good")
def begins_to_stop(context, words):
    member = choose(context, words)

    async def work():
        context.stopping = asyncio.ensure_future(stop(context, member))

    run(context, work())


async def end_of_stop(context) -> float:
    if hasattr(context, "stopping"):
        async with asyncio.timeout(STOP_LIMIT_S):
            await context.stopping
    return context.stop_s


@then("it stopped within {seconds:g} s")
def stopped_within(context, seconds):
    took_s = run(context, end_of_stop(context))
    assert took_s < seconds, took_s


@then("it stopped after {least:g} to {most:g} s")
def stopped_after(context, least, most):
    took_s = run(context, end_of_stop(context))
    assert least <= took_s < most, took_s


@then("the group has {count:d} voters within {seconds:g} s")
def has_voters_within(context, count, seconds):
    run(
        context,
        wait_for(
            lambda: voter_counts(context) == {count},
            seconds,
            lambda: states(context),
        ),
    )


def voter_counts(context) -> set[int]:
    """Return the numbers of voters that the running members know of."""
    return {len(m.host.group_status().voters) for m in alive(context)}


@then("the group has {count:d} voters")
def has_voters(context, count):
    # A former leader that has left needs no successor for this.
    assert voter_counts(context) == {count}, states(context)


@then("the successor is a voter in its place")
def in_its_place(context):
    for status in states(context):
        assert context.successor.address in status.voters, status
        for member in gone(context):
            assert member.address not in status.voters, status


@then("the successor is a voter within {seconds:g} s")
def successor_votes(context, seconds):
    run(
        context,
        wait_for(
            lambda: context.successor.host.group_status().voting,
            seconds,
            lambda: states(context),
        ),
    )


@when("another voter loses its disk and starts again")
def loses_disk(context):
    async def work():
        listed = states(context)[0].voters
        member = next(
            m
            for m in alive(context)
            if m.address in listed and m is not context.group[-1]
        )
        await kill(context, member)
        await start(context, member, wipe=True)

    run(context, work())


@then("a configuration is accepted within {seconds:g} s")
def accepted_within(context, seconds):
    async def work():
        deadline = now() + seconds
        while True:
            member = alive(context)[0]
            outcome = await store(context, member)
            if not is_failure(outcome):
                return
            assert now() < deadline, (outcome, states(context))
            await asyncio.sleep(0.05)

    run(context, work())


@when(
    "each stops and starts again {pause:g} s later, while configurations are"
    " stored"
)
def rolling(context, pause):
    context.fewest = len(context.group)

    async def watch():
        while True:
            found = voters(context)
            if found:
                context.fewest = min(context.fewest, len(found))
            await asyncio.sleep(WATCH_PAUSE_S)

    async def keep_storing():
        while True:
            await store(context, alive(context)[0])
            await asyncio.sleep(0.05)

    async def work():
        tasks = [asyncio.ensure_future(f()) for f in (watch, keep_storing)]
        for member in list(context.group):
            await stop(context, member)
            await asyncio.sleep(pause)
            await start(context, member)
            await asyncio.sleep(pause)
        for task in tasks:
            assert not task.done(), task
            task.cancel()

    run(context, work())


@then("there were never fewer than {count:d} voters")
def never_fewer(context, count):
    assert context.fewest >= count, context.fewest


@when("all others are killed and all start again")
def all_killed(context):
    async def work():
        for member in alive(context):
            await kill(context, member)
        for member in list(context.group):
            await start(context, member)

    run(context, work())


@when("all stop at the same time")
def all_stop(context):
    async def work():
        began = now()
        await asyncio.gather(*(stop(context, m) for m in alive(context)))
        context.all_stopped_s = now() - began

    run(context, work())


@then("all stopped within {seconds:g} s")
def all_stopped(context, seconds):
    assert context.all_stopped_s < seconds, context.all_stopped_s


@when("all start again")
def all_start(context):
    async def work():
        for member in list(context.group):
            await start(context, member)

    run(context, work())


@then("every host holds the newest configuration within {seconds:g} s")
def holds_newest(context, seconds):
    run(
        context,
        wait_for(
            lambda: all(s.version == context.version for s in states(context)),
            seconds,
            lambda: states(context),
        ),
    )


@given("learners are removed after 1 s of silence")
def learners_removed(context):
    usual = _roster.RETIRE_LEARNER_AFTER_S
    context.add_cleanup(setattr, _roster, "RETIRE_LEARNER_AFTER_S", usual)
    _roster.RETIRE_LEARNER_AFTER_S = 1.0


@when("the successor is killed")
def successor_killed(context):
    run(context, kill(context, context.successor))


@then("the group has no learner within {seconds:g} s")
def no_learner(context, seconds):
    run(
        context,
        wait_for(
            lambda: not any(s.learners for s in states(context)),
            seconds,
            lambda: states(context),
        ),
    )


@when("the successor starts again and catches up")
def successor_starts(context):
    _members._caught_up = context.caught_up
    run(context, start(context, context.successor))


@when("a follower is killed")
@when("another follower is killed")
def follower_killed(context):
    context.killed = choose(context, "a follower")
    run(context, kill(context, context.killed))


@when("the killed host starts again")
def killed_starts(context):
    run(context, start(context, context.killed))


@when("a successor takes its place")
def takes_place(context):
    async def work():
        await add_successor(context).start()
        await wait_for(
            lambda: (
                context.successor.address in voters(context)
                and context.killed.address not in voters(context)
            ),
            6.0,
            lambda: states(context),
        )

    run(context, work())


@when("the others are replaced one after the other")
def others_replaced(context):
    async def work():
        for member in alive(context)[:-1]:
            successor = add_successor(context)
            await successor.start()
            await wait_for(
                lambda s=successor: s.host.group_status().voting,
                5.0,
                lambda: states(context),
            )
            await stop(context, member)

    run(context, work())
    known = {context.killed.address} | {m.address for m in gone(context)}
    assert not known & set(voters(context)), states(context)


@when("the killed host starts again with the present seeds")
def killed_starts_with_seeds(context):
    seeds = tuple(member.address for member in alive(context))
    killed = context.killed
    killed.host.settings = msgspec.structs.replace(
        killed.host.settings, seeds=seeds
    )
    run(context, start(context, killed))
