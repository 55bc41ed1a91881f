"""Simulated network, disks and clocks for several `Agreement` machines.

A single seed determines the whole run. During the run, the simulation checks
that committed entries agree on all members, that each term has one leader and
that confirmed reads include every write acknowledged before them. At the end,
it checks that no acknowledged write is lost and that the group makes progress
once all faults have ended.
"""

import collections.abc
import heapq
import itertools
import math
import random

import msgspec

from chivescale import agreement as ag
from chivescale.agreement.tests.fake_disk import Disk
from chivescale.messages import encode

NAMES = ("c0", "c1", "c2", "c3", "c4")
TIMING = ag.Timing(snapshot_entries=40)
# Time for a group without faults to elect a leader, readmit two members and
# catch up. An election takes less than 0.4 s, and a lost snapshot is sent
# again after 5 s.
RECOVERY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 0.2


class Host(msgspec.Struct):
    """One member with its disk, its running machine and its state."""

    name: str
    disk: Disk
    rate: float
    initial: ag.Configuration
    machine: ag.Agreement | None = None
    state: list = msgspec.field(default_factory=list)
    frozen_until: float = 0.0
    wakeup: float = math.inf
    crash_after: collections.abc.Callable | None = None


class World:
    """Simulates the members and the network and checks invariants.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    names : tuple of str
        Initial members.
    """

    def __init__(self, seed: int, names: tuple[str, ...] = NAMES):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = names
        self.ids = itertools.count(1)
        self.queue: list = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.reordering = False
        self.crash_rate = 0.0
        self.max_message_bytes = math.inf
        self.committed: dict[int, ag.Entry] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged: dict[bytes, int] = {}
        self.pending: dict[tuple[str, int], tuple] = {}
        self.requests: dict[int, tuple] = {}
        self.confirmed_reads = 0
        self.deliveries = 0
        self.hosts: dict[str, Host] = {}
        for name in names:
            self.add_host(name, names)

    def add_host(self, name: str, members: tuple[str, ...]) -> None:
        """Add and start a host with `members` in its settings."""
        initial = ag.Configuration(tuple(ag.Member(n, n) for n in members))
        disk = Disk(f"{name}-{next(self.ids)}")
        # Clock rates differ by up to 1% (section 2.12 of the design).
        rate = self.rng.uniform(0.995, 1.005)
        self.hosts[name] = Host(name, disk, rate, initial)
        self.start(name)

    # Faults.

    def start(self, name: str) -> None:
        """Start a stopped member from its disk."""
        host = self.hosts[name]
        if host.machine is not None:
            return
        rng = random.Random(self.rng.random())
        host.state = []
        host.machine = ag.Agreement(
            name, host.initial, host.disk.recovered(), TIMING, rng
        )
        self._step(host, ag.Tick())

    def crash(self, name: str) -> None:
        """Stop a member; it keeps only its disk."""
        self.hosts[name].machine = None
        self.hosts[name].wakeup = math.inf

    def replace_disk(self, name: str) -> None:
        """Stop a member and replace its disk by an empty one."""
        self.crash(name)
        self.hosts[name].disk = Disk(f"{name}-{next(self.ids)}")

    def replacement_is_survivable(self, name: str) -> bool:
        """Return whether a quorum of disks remains in each configuration."""
        kept = {
            (host.name, host.disk.incarnation)
            for host in self.hosts.values()
            if host.name != name
        }
        for host in self.hosts.values():
            for configuration in host.disk.configurations():
                voters = {
                    (m.name, m.incarnation) for m in configuration.voters
                }
                if len(voters & kept) < configuration.quorum:
                    return False
        return True

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a member; messages that arrive during the pause wait."""
        self.hosts[name].frozen_until = self.now + seconds

    def isolate(self, *group: str) -> None:
        """Cut all links between a group of members and the others."""
        for member in group:
            for other in set(self.names) - set(group):
                self.blocked_links |= {(member, other), (other, member)}

    def end_faults(self) -> None:
        """End all faults and start all members."""
        self.blocked_links.clear()
        self.loss_rate = self.duplication_rate = self.crash_rate = 0.0
        self.reordering = False
        for host in self.hosts.values():
            host.frozen_until = 0.0
            self.start(host.name)

    # Requests.

    def leader(self) -> Host | None:
        """Return the ready leader with the highest term."""
        ready = [
            host
            for host in self.hosts.values()
            if host.machine is not None and host.machine.ready
        ]
        return max(ready, key=lambda h: h.machine.term, default=None)

    def propose(
        self, name: str | None = None, count: int = 1, size: int = 0
    ) -> list[bytes]:
        """Propose commands on one member or on the leader.

        Each is padded by `size` bytes.
        """
        host = self.hosts[name] if name else self.leader()
        if host is None or host.machine is None:
            return []
        commands = [
            b"command-%d" % next(self.ids) + b"." * size for _ in range(count)
        ]
        request_id = next(self.ids)
        self.requests[request_id] = tuple(commands)
        self._step(host, ag.Propose(request_id, tuple(commands)))
        return commands

    def read(self, name: str) -> int:
        """Request a confirmed read from one member."""
        host = self.hosts[name]
        request_id = next(self.ids)
        # The read must include every write acknowledged so far.
        min_index = max(self.acknowledged.values(), default=0)
        self.requests[request_id] = (min_index,)
        if host.machine is not None:
            self._step(host, ag.ConfirmRead(request_id))
        return request_id

    def change(self, event_type, name: str) -> int:
        """Request a membership change from the leader."""
        leader = self.leader()
        request_id = next(self.ids)
        if leader is not None:
            self.requests[request_id] = ()
            self._step(leader, event_type(request_id, name))
        return request_id

    # Time.

    def run(self, seconds: float, until=None) -> bool:
        """Advance the time; stop early once `until` returns True."""
        end = self.now + seconds
        while not (until and until()):
            next_host = min(self.hosts.values(), key=self._wakeup)
            next_message = self.queue[0][0] if self.queue else math.inf
            at = min(self._wakeup(next_host), next_message)
            if at > end:
                self.now = end
                return not until
            self.now = max(self.now, at)
            if next_message <= self._wakeup(next_host):
                self._deliver(heapq.heappop(self.queue)[2])
            else:
                self._step(next_host, ag.Tick())
        return True

    def _wakeup(self, host: Host) -> float:
        return max(host.wakeup, host.frozen_until)

    def _deliver(self, event) -> None:
        if isinstance(event, str):
            self.start(event)
            return
        message, header = event.message, event.message.header
        lost = isinstance(event, ag.Undelivered)
        host = self.hosts[header.sender if lost else header.target]
        blocked = (header.sender, header.target) in self.blocked_links
        if host.machine is None or (blocked and not lost):
            self._report_loss(message)
        elif host.frozen_until > self.now:
            self._enqueue(host.frozen_until, event)
        else:
            self.deliveries += 1
            self._step(host, event)

    def _report_loss(self, message) -> None:
        """Report the loss to the sender after the call timeout."""
        if isinstance(message, ag.AppendRequest | ag.SnapshotRequest):
            self._enqueue(self.now + CALL_TIMEOUT_S, ag.Undelivered(message))

    def _enqueue(self, at: float, event) -> None:
        heapq.heappush(self.queue, (at, next(self.ids), event))

    def _transmit(self, message) -> None:
        if message.header.target not in self.hosts:
            return
        too_large = len(encode(message)) > self.max_message_bytes
        if too_large or self.rng.random() < self.loss_rate:
            self._report_loss(message)
            return
        copies = 1 + (self.rng.random() < self.duplication_rate)
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, 0.003)
            if self.reordering:
                delay = 10 ** self.rng.uniform(-3.5, 0.7)
            self._enqueue(self.now + delay, ag.Received(message))

    # Steps and checks.

    def _step(self, host: Host, event) -> None:
        machine = host.machine
        events = [event]
        while events:
            for effect in machine.step(events.pop(0), self.now * host.rate):
                events += self._execute(host, effect)
                if self._crashes_after(host, effect):
                    self.crash(host.name)
                    restart_at = self.now + self.rng.uniform(0.01, 0.5)
                    self._enqueue(restart_at, host.name)
                    return
        self._check_leader(host)
        # The margin avoids an endless series of early ticks due to rounding.
        host.wakeup = machine.next_wakeup() / host.rate + 1e-6

    def _crashes_after(self, host: Host, effect) -> bool:
        """Return whether a host crashes right after sending a message.

        This is the worst moment of a step: other members act on the message,
        and any data that was not stored before it was sent is lost.
        """
        if not isinstance(effect, ag.Send):
            return False
        if host.crash_after is not None and host.crash_after(effect.message):
            host.crash_after = None
            return True
        return self.rng.random() < self.crash_rate

    def _check_leader(self, host: Host) -> None:
        machine = host.machine
        if machine.role is ag.Role.LEADER:
            expected = self.leaders.setdefault(machine.term, machine.identity)
            assert expected == machine.identity, (
                f"term {machine.term}: leaders {expected}, {machine.identity}"
            )

    def _execute(self, host: Host, effect) -> list:
        match effect:
            case ag.Persist(hard_state, entries):
                host.disk.persist(hard_state, entries)
            case ag.SaveSnapshot(snapshot, hard_state, entries):
                host.disk.snapshot = snapshot
                host.disk.hard_state = hard_state
                host.disk.entries = list(entries)
            case ag.Restore(snapshot):
                host.state = msgspec.json.decode(
                    snapshot.data, type=list[ag.Entry]
                )
                self._check_state(host)
            case ag.TakeSnapshot(index):
                data = msgspec.json.encode(host.state)
                return [ag.SnapshotTaken(index, data)]
            case ag.Send(_, message):
                host.disk.check_stored(message)
                self._transmit(message)
            case ag.Apply(entry):
                self._check_apply(host, entry)
            case ag.Appended(request_id, first, term):
                for at, command in enumerate(self.requests[request_id], first):
                    self.pending[host.disk.incarnation, at] = (term, command)
            case ag.ReadConfirmed(request_id, index):
                (min_index,) = self.requests[request_id]
                assert index >= min_index, (
                    f"read at {index}, written {min_index}"
                )
                assert index <= host.machine.applied
                self.confirmed_reads += 1
        return []

    def _check_apply(self, host: Host, entry: ag.Entry) -> None:
        expected = self.committed.setdefault(entry.index, entry)
        assert expected == entry, f"{host.name}: {entry} instead of {expected}"
        host.state.append(entry)
        assert len(host.state) == entry.index, "applied out of order"
        term, command = self.pending.pop(
            (host.disk.incarnation, entry.index), (0, b"")
        )
        if term == entry.term:
            self.acknowledged[command] = entry.index

    def _check_state(self, host: Host) -> None:
        for entry in host.state:
            expected = self.committed.get(entry.index)
            assert expected == entry, f"{host.name}: snapshot has {entry}"

    def check_outcome(self) -> None:
        """End all faults, readmit lost members and check the final state."""
        self.end_faults()
        assert self.run(RECOVERY_TIMEOUT_S, self._recovered), (
            "no progress after the end of all faults"
        )
        for name in self.names:
            state = self.hosts[name].state
            data = {entry.data: entry.index for entry in state}
            for command, index in self.acknowledged.items():
                assert data.get(command) == index, f"{name} lost {command}"
            assert [self.committed[e.index] for e in state] == state

    def _recovered(self) -> bool:
        """Propose until all members are voters and applied a new command."""
        leader = self.leader()
        if leader is None:
            return False
        members = leader.machine.configuration
        if not members.formed:
            return False
        for name in self.names:
            incarnation = self.hosts[name].disk.incarnation
            found = members.find(name, incarnation)
            if found is None and name in leader.machine.seen:
                self.change(ag.ReplaceMember, name)
            if found is None or not found.voter:
                return False
        if not self.propose(leader.name):
            return False
        index = leader.machine.log.last_index
        return self.run(0.5, lambda: self._all_applied(index))

    def _all_applied(self, index: int) -> bool:
        machines = [self.hosts[name].machine for name in self.names]
        return all(m is not None and m.applied >= index for m in machines)
