"""Steps for coordinators that join a group with a long log."""

import asyncio
import base64
import random
import shutil

from behave import given, then, when
from disk_steps import Coordinator, run, store

from chivescale.clock import now
from chivescale.errors import is_failure
from tools.processes import free_address

CHECK_PAUSE_S = 0.1
# Time until a leader has noticed that a member is gone.
SILENCE_S = 1.5
DOWN_S = 1.0


def padding(size: int, seed: int) -> bytes:
    """Return bytes that compression does not make smaller than `size`."""
    return b"#" + base64.b85encode(random.Random(seed).randbytes(size))


async def store_anywhere(context, content: bytes = b"") -> None:
    outcome = None
    for member in context.group:
        outcome = await store(context, member, content)
        if not is_failure(outcome):
            return
    raise AssertionError(outcome)


@given("{changes:d} configurations of {size:d} KB have been stored")
def stored(context, changes, size):
    async def work():
        for number in range(changes):
            await store_anywhere(context, padding(size << 10, number))

    run(context, work())


def follower(context) -> Coordinator:
    return next(m for m in context.group if not m.host.leading)


@when("a coordinator that does not lead is gone for good")
def gone(context):
    member = follower(context)
    context.group.remove(member)

    async def work():
        await member.stop()
        await asyncio.sleep(SILENCE_S)

    run(context, work())


@when("a new coordinator starts")
def joins(context):
    seeds = tuple(member.address for member in context.group)
    context.new = Coordinator(
        free_address(), seeds, context.folder, may_form=False
    )
    context.group.append(context.new)
    run(context, context.new.start())


def is_voter(context) -> bool:
    """Return whether the new coordinator and the leader say that it votes."""
    leader = next((m for m in context.group if m.host.leading), None)
    if leader is None or not context.new.host.group_status().voting:
        return False
    return context.new.address in leader.host.group_status().voters


@then("the new coordinator votes within {seconds:d} s")
def new_votes(context, seconds):
    async def work():
        deadline = now() + seconds
        while not is_voter(context):
            status = context.new.host.group_status()
            assert now() < deadline, status
            await asyncio.sleep(CHECK_PAUSE_S)

    run(context, work())


@when("another coordinator that does not lead loses its disk")
def loses_disk(context):
    others = [m for m in context.group if m is not context.new]
    member = next(m for m in others if not m.host.leading)

    async def work():
        await member.stop()
        shutil.rmtree(member.host.settings.data_dir)
        await asyncio.sleep(DOWN_S)
        seeds = tuple(m.address for m in context.group)
        again = Coordinator(
            member.address, seeds, context.folder, may_form=False
        )
        context.group[context.group.index(member)] = again
        await again.start()

    run(context, work())


@then("a configuration sent to each coordinator is accepted within {s:d} s")
def accepted_within(context, s):
    async def work():
        deadline = now() + s
        for member in context.group:
            while is_failure(outcome := await store(context, member)):
                assert now() < deadline, outcome
                await asyncio.sleep(CHECK_PAUSE_S)

    run(context, work())
