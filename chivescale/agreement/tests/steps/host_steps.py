"""Steps for agreement hosts with real files and connections."""

import asyncio
import errno
import pathlib
import shutil
import tempfile
import time

from behave import given, then, when

from chivescale import agreement as ag
from chivescale.errors import ErrorKind, is_failure
from chivescale.settings import AgreementSettings, ControlMember
from chivescale.transport import Client, Server

# Far more than the steps need, so that they do not time out on a busy machine.
TIMEOUT_S = 20.0
SETTINGS = AgreementSettings(snapshot_entries=100)


class StallingProxy:
    """TCP proxy to a server that can stall all open connections."""

    def __init__(self):
        self.target: tuple[str, int] | None = None
        self.generation = 0
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        generation = self.generation
        try:
            inner, outer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self._pump(reader, outer, generation),
                self._pump(inner, writer, generation),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _pump(self, reader, writer, generation: int):
        while data := await reader.read(65536):
            if generation == self.generation:
                writer.write(data)
        writer.close()

    async def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Member:
    """One host with its proxy, server, client and applied commands."""

    def __init__(self, name: str, folder: pathlib.Path):
        self.name, self.folder = name, folder
        self.proxy = StallingProxy()
        self.host: ag.AgreementHost | None = None
        self.state: list[str] = []
        self.running = False

    async def start(self, members):
        self.state.clear()
        self.log = ag.DurableLog(self.folder)
        self.client = Client(b"secret")
        callbacks = ag.Callbacks(
            lambda index, command: self.state.append(command.decode()),
            lambda: "\n".join(self.state).encode(),
            self._restore,
            lambda leading, term: None,
        )
        self.host = ag.AgreementHost(
            self.name, members, self.log, self.client, SETTINGS, callbacks
        )
        self.server = Server(b"secret", self.host.routes())
        await self.server.start("127.0.0.1:0")
        self.proxy.target = self.server.runner.addresses[0]
        assert await self.host.start() is None
        self.running = True

    def _restore(self, data: bytes) -> None:
        self.state[:] = data.decode().split("\n")

    async def close(self):
        if self.running:
            self.running = False
            await self.host.close()
            await self.server.close()
            await self.client.close()


class Group:
    """All members on one event loop, which runs only during steps."""

    def __init__(self, count: int):
        self.loop = asyncio.new_event_loop()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.members = [
            Member(f"c{i}", self.folder / f"c{i}") for i in range(count)
        ]
        self.sent = 0

    async def start(self):
        addresses = [await m.proxy.start() for m in self.members]
        self.settings = tuple(
            ControlMember(member.name, address)
            for member, address in zip(self.members, addresses, strict=True)
        )
        for member in self.members:
            await member.start(self.settings)

    def close(self):
        async def close_all():
            for member in self.members:
                await member.close()
                await member.proxy.close()

        self.loop.run_until_complete(close_all())
        self.loop.close()
        shutil.rmtree(self.folder)

    def leader(self) -> Member | None:
        running = [m for m in self.members if m.running and m.host.is_leader]
        return max(running, key=lambda m: m.host.term, default=None)

    async def wait(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "condition not reached"
            await asyncio.sleep(0.01)

    async def propose(self) -> None:
        """Propose until a command succeeds; retry after unknown outcomes."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            leader = self.leader()
            if leader is not None:
                self.sent += 1
                command = b"command-%d" % self.sent
                found = await leader.host.propose(
                    command, time.monotonic() + 1.0
                )
                if not is_failure(found):
                    return
            await asyncio.sleep(0.01)
        raise AssertionError("no command was accepted")


def _run(context, coroutine):
    return context.group.loop.run_until_complete(coroutine)


@given("{count:d} agreement hosts on loopback")
def hosts_on_loopback(context, count):
    context.group = group = Group(count)
    context.add_cleanup(group.close)
    _run(context, group.start())
    _run(context, group.wait(group.leader))


@then(
    "{count:d} concurrent commands are applied once, in the same order, by all"
)
def concurrent_commands(context, count):
    group = context.group

    async def send():
        host = group.leader().host
        deadline = time.monotonic() + TIMEOUT_S
        commands = [b"bulk-%d" % n for n in range(count)]
        calls = (host.submit(command, deadline) for command in commands)
        return await asyncio.gather(*calls)

    outcomes = _run(context, send())
    assert not any(map(is_failure, outcomes)), outcomes
    context.last_index = max(outcome.index for outcome in outcomes)
    assert len({outcome.index for outcome in outcomes}) == count
    all_equal(context)
    state = group.leader().state
    assert len(state) == len(set(state)) >= count


@then("all members apply the same commands")
def all_equal(context):
    group = context.group
    _run(context, group.propose())
    last = f"command-{group.sent}"
    _run(
        context,
        group.wait(lambda: all(last in m.state for m in group.members)),
    )
    states = [member.state for member in group.members]
    assert all(state == states[0] for state in states)


@then("the leader confirms a read at or above the last command")
def read_confirmed(context):
    host = context.group.leader().host
    found = _run(context, host.confirm_read(time.monotonic() + TIMEOUT_S))
    assert not is_failure(found), found
    assert context.last_index <= found <= host.last_applied


@then("a follower rejects commands and returns the leader's address")
def follower_rejects(context):
    group = context.group
    leader = group.leader()
    follower = next(m for m in group.members if m is not leader)
    deadline = time.monotonic() + TIMEOUT_S
    found = _run(context, follower.host.propose(b"x", deadline))
    assert found.kind is ErrorKind.NOT_LEADER, found
    address = {m.name: m.address for m in group.settings}[leader.name]
    assert found.leader_address == address


@when("every open connection between members becomes unresponsive")
def stall_connections(context):
    for member in context.group.members:
        member.proxy.generation += 1


@then("a command is accepted")
def command_is_accepted(context):
    _run(context, context.group.propose())


@when("the leader is closed")
def close_leader(context):
    context.closed = context.group.leader()
    _run(context, context.closed.close())


@when("the closed member starts again")
def start_closed(context):
    _run(context, context.closed.start(context.group.settings))


@when("both followers are closed")
def close_followers(context):
    context.leader = context.group.leader()
    for member in context.group.members:
        if member is not context.leader:
            _run(context, member.close())


@then("a command ends with outcome_unknown and no read is confirmed")
def nothing_confirmed(context):
    host = context.leader.host

    async def ask():
        deadline = time.monotonic() + 1.0
        return await asyncio.gather(
            host.propose(b"x", deadline), host.confirm_read(deadline)
        )

    proposed, read = _run(context, ask())
    assert proposed.kind is ErrorKind.OUTCOME_UNKNOWN, proposed
    assert read.kind in (ErrorKind.NO_QUORUM, ErrorKind.NOT_LEADER), read
    assert "x" not in context.leader.state


@when("the disk of the leader is full")
def fill_disk(context):
    def fail(*_):
        raise OSError(errno.ENOSPC, "no space left on device")

    context.closed = context.group.leader()
    context.closed.log.write = fail


@when("a command is sent to it")
def send_to_full(context):
    deadline = time.monotonic() + TIMEOUT_S
    host = context.closed.host
    context.outcome = _run(context, host.propose(b"x", deadline))


@then("the command ends with outcome_unknown and the member is stopped")
def stopped(context):
    assert context.outcome.kind is ErrorKind.OUTCOME_UNKNOWN, context.outcome
    assert context.closed.host.failure.kind is ErrorKind.STORAGE_FAILED
    assert not context.closed.host.is_leader


@then("the stopped member replies to requests with storage_failed")
def replies_storage_failed(context):
    member = context.closed
    header = ag.Header("c9", "i", member.name, member.log.incarnation, 99)
    message = ag.VoteRequest(header, True, 99, 1 << 30, 99, "")
    address = ":".join(map(str, member.proxy.target))
    found = _run(
        context,
        member.client.call(
            address,
            "POST",
            "/v1/agreement",
            ag.AgreementMessage,
            message,
            timeout_s=TIMEOUT_S,
        ),
    )
    assert is_failure(found) and found.kind is ErrorKind.STORAGE_FAILED, found


@when("a follower loses its disk and starts again")
def follower_loses_disk(context):
    group = context.group
    context.lost = next(m for m in group.members if m is not group.leader())
    _run(context, context.lost.close())
    shutil.rmtree(context.lost.folder)
    _run(context, context.lost.start(group.settings))


@when("the leader replaces it")
def replace_lost(context):
    group, name = context.group, context.lost.name

    async def replace():
        found = None
        for _ in range(200):
            leader = group.leader()
            if leader is not None:
                deadline = time.monotonic() + TIMEOUT_S
                found = await leader.host.replace_member(name, deadline)
                if not is_failure(found):
                    return
            await asyncio.sleep(0.05)
        raise AssertionError(found)

    _run(context, replace())


@then("it becomes a voter with its new incarnation")
def voter_again(context):
    group, lost = context.group, context.lost

    def votes():
        leader = group.leader()
        found = leader and leader.host.configuration.find(
            lost.name, lost.log.incarnation
        )
        return found is not None and found.voter

    _run(context, group.wait(votes))
