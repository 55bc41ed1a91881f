"""Steps for the first start of a group of coordinators."""

import asyncio
import pathlib
import shutil

from behave import given, then, when
from disk_steps import Coordinator, create_group, run

from chivescale.clock import now
from tools.processes import free_address

# A process has written its data directory, and no group has formed.
ALONE_S = 0.3


@given("3 coordinators that start for the first time, one of them late")
def first_start(context):
    create_group(context, 3)

    async def begin():
        for member in context.group[:2]:
            await member.start()
        await asyncio.sleep(ALONE_S)

    run(context, begin())


async def replace(context, number: int, seeds=None) -> None:
    """Put a new process that must not form in the place of one that ended."""
    settings = context.group[number].host.settings
    folder = str(pathlib.Path(settings.data_dir).parent)
    context.group[number] = Coordinator(
        settings.address, seeds or settings.seeds, folder, may_form=False
    )


def lose_disk(context, number: int) -> None:
    shutil.rmtree(context.group[number].host.settings.data_dir)


def leads(context) -> list[str]:
    return [m.address for m in context.group if m.host.leading]


@when("{ended} end and start again without the permission to form")
def ends(context, ended):
    count = {"the first": 1, "the first and second": 2}[ended]

    async def work():
        for number in range(count):
            await context.group[number].stop()
            await replace(context, number)
            await context.group[number].start()

    run(context, work())


@when(
    "the first ends, {change}, and it starts again without the permission to"
    " form"
)
def ends_and_changes(context, change):
    async def work():
        await context.group[0].stop()
        seeds = None
        if change == "its disk is lost":
            lose_disk(context, 0)
        else:
            own, second, _ = context.group[0].host.settings.seeds
            seeds = (own, second, free_address())
        await replace(context, 0, seeds)
        await context.group[0].start()

    run(context, work())


@when("the late one starts")
def late_starts(context):
    run(context, context.group[2].start())


@then("the group forms within {seconds:d} s")
def forms(context, seconds):
    async def work():
        deadline = now() + seconds
        while not all(m.host.group_status().voting for m in context.group):
            states = [m.host.group_status() for m in context.group]
            assert now() < deadline, states
            await asyncio.sleep(0.05)

    run(context, work())


@then("the group has not formed after {seconds:d} s")
def has_not_formed(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert not leads(context)
    assert not any(m.host.agreement.machine.formed for m in context.group)


@when("all end and two of them lose their disks")
def two_lose_disks(context):
    async def work():
        for number, member in enumerate(context.group):
            await member.stop()
            if number:
                lose_disk(context, number)
            await replace(context, number)

    run(context, work())


@when("all start again without the permission to form")
def all_start(context):
    async def work():
        for member in context.group:
            await member.start()

    run(context, work())


@then("nobody leads within {seconds:d} s")
def nobody_leads(context, seconds):
    async def work():
        deadline = now() + seconds
        while now() < deadline:
            assert not leads(context)
            await asyncio.sleep(0.05)

    run(context, work())
