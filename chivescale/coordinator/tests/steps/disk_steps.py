"""Steps for groups of coordinators on disks that fill up."""

import asyncio
import errno
import os
import pathlib
import tempfile

import msgspec
from behave import given, then, when

from chivescale.catalog import Catalog
from chivescale.clock import now
from chivescale.coordinator import CoordinatorHost, CoordinatorSettings
from chivescale.coordinator import _host as host_module
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.httpio import HttpClient, HttpServer
from tools.processes import free_address

START_S = 15.0
STORE_PAUSE_S = 0.05


def decode_document(document: bytes) -> Catalog | Failure:
    # A document can be made larger by bytes behind this sign.
    content, _, _ = document.partition(b"#")
    try:
        return Catalog(msgspec.json.decode(content, type=int), (), ())
    except msgspec.MsgspecError as err:
        return Failure(ErrorKind.BAD_REQUEST, str(err))


class Coordinator:
    """One coordinator with its server and its disk."""

    def __init__(
        self,
        address: str,
        seeds: tuple[str, ...],
        folder: str,
        may_form: bool = True,
    ):
        self.address = address
        self.full = False
        self.host = CoordinatorHost(
            CoordinatorSettings(
                name=address,
                zone="z1",
                address=address,
                seeds=seeds,
                data_dir=str(pathlib.Path(folder) / address),
                may_form=may_form,
            ),
            HttpClient(),
            None,
            None,
            decode_document,
        )
        new_agreement = self.host.new_agreement

        def on_faulty_disk():
            agreement = new_agreement()
            agreement.log.write = self.write
            return agreement

        self.host.new_agreement = on_faulty_disk
        self.host.agreement.log.write = self.write
        # Nothing is promoted in these scenarios.
        self.host.promoter.begin = lambda: None
        self.server = HttpServer(
            self.host.handle, path_limits=self.host.path_limits
        )

    def write(self, descriptor: int, data: bytes) -> int:
        """Write, only in part while the disk is full."""
        if not self.full:
            return os.write(descriptor, data)
        if len(data) > 8:
            return os.write(descriptor, data[:8])
        raise OSError(errno.ENOSPC, "No space left on device")

    async def start(self) -> None:
        await self.server.start(self.address)
        await self.host.start()

    async def stop(self) -> None:
        await self.host.stop()
        await self.server.close()


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("{count:d} coordinators on loopback")
def coordinators(context, count):
    start(context, count)


@given(
    "{count:d} coordinators on loopback that compact their log every"
    " {entries:d} entries"
)
def compacting(context, count, entries):
    usual = host_module.SNAPSHOT_ENTRIES
    host_module.SNAPSHOT_ENTRIES = entries
    context.add_cleanup(setattr, host_module, "SNAPSHOT_ENTRIES", usual)
    start(context, count)


def create_group(context, count: int) -> None:
    """Create coordinators that are stopped at the end of the scenario."""
    context.loop = asyncio.new_event_loop()
    folder = tempfile.TemporaryDirectory()
    context.folder = folder.name
    seeds = tuple(free_address() for _ in range(count))
    context.group = [Coordinator(s, seeds, folder.name) for s in seeds]

    async def end():
        for member in context.group:
            await member.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def clean_up():
        run(context, end())
        context.loop.close()
        folder.cleanup()

    context.add_cleanup(clean_up)


def start(context, count: int) -> None:
    create_group(context, count)
    context.version = 0
    context.accepted_while_full = 0

    async def begin():
        for member in context.group:
            await member.start()
        async with asyncio.timeout(START_S):
            while not all(votes(m, count) for m in context.group):
                await asyncio.sleep(0.05)
            while is_failure(await store(context, context.group[0])):
                await asyncio.sleep(0.05)

    run(context, begin())


def votes(member: Coordinator, count: int) -> bool:
    status = member.host.group_status()
    return (
        status.voting
        and len(status.voters) == count
        and bool(status.leader)
        and not status.failure
    )


async def store(context, member: Coordinator, padding: bytes = b""):
    """Store the next version through a coordinator."""
    context.version += 1
    document = str(context.version).encode() + padding
    catalog = decode_document(document)
    return await member.host.store_catalog(catalog, document)


@when(
    "the disk of each is full for {seconds:g} s in turn, {first} first, while"
    " configurations are stored"
)
def full_in_turn(context, seconds, first):
    async def keep_storing():
        while True:
            for member in context.group:
                outcome = await store(context, member)
                full = any(m.full for m in context.group)
                context.accepted_while_full += full and not is_failure(outcome)
                await asyncio.sleep(STORE_PAUSE_S)

    async def work():
        storing = asyncio.ensure_future(keep_storing())
        leads = [m for m in context.group if m.host.leading]
        others = [m for m in context.group if not m.host.leading]
        order = leads + others if first == "the leader" else others + leads
        for member in order:
            member.full = True
            await asyncio.sleep(seconds)
            member.full = False
            await asyncio.sleep(0.3)
        storing.cancel()

    run(context, work())


@when("the {task} of each coordinator fails once unexpectedly")
def task_fails(context, task):
    for member in context.group:
        part = getattr(member.host, task)
        name = "_change_members" if task == "membership" else "merge"
        target = part if task == "membership" else part.hosts
        name = name if task == "membership" else "expire"
        fail_once(target, name, member)

    run(context, asyncio.sleep(1.5))
    failed = [m for m in context.group if getattr(m, "failed", False)]
    assert failed, "no task has failed"


def fail_once(target, name: str, member: Coordinator) -> None:
    original = getattr(target, name)

    def failing(*args):
        member.failed = True
        setattr(target, name, original)
        raise RuntimeError("unexpected")

    setattr(target, name, failing)


@then("configurations were accepted while a disk was full")
def accepted(context):
    assert context.accepted_while_full >= 5, context.accepted_while_full


@then("every coordinator votes again within {seconds:d} s")
def all_vote(context, seconds):
    count = len(context.group)

    async def work():
        deadline = now() + seconds
        while not all(votes(m, count) for m in context.group):
            states = [m.host.group_status() for m in context.group]
            assert now() < deadline, states
            await asyncio.sleep(0.05)

    run(context, work())


@then("a configuration sent to each coordinator is accepted at the first call")
def accepted_by_each(context):
    for member in context.group:
        outcome = run(context, store(context, member))
        assert not is_failure(outcome), outcome


@then("every coordinator reads back the newest configuration")
def reads_back(context):
    for member in context.group:
        document = run(context, member.host.read_document())
        assert document == str(context.version).encode(), document
