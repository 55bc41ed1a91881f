"""A simulated group of coordinators that machines join, leave and lose.

Extends `World` by what the hosts around the agreement do: the check of the
members at intervals, join requests that followers pass on, the limit on the
size of a message, and machines that start with the operator's current seeds.
"""

import itertools
import random
import zlib

import msgspec

from chivescale import agreement as ag
from chivescale.agreement.tests.explorer_hosts import (
    CALL_TIMEOUT_S,
    LARGE_BYTES,
    SEEDS,
    TIMING,
    ControlHost,
    exceeds_limit,
    plan_change,
    use_term,
)
from chivescale.agreement.tests.fake_disk import Disk
from chivescale.agreement.tests.fakes import World
from chivescale.coordinator._membership import (
    CHANGE_TIMEOUT_S,
    CHECK_INTERVAL_S,
    LEAVE_PAUSE_S,
    LEAVE_TIMEOUT_S,
)
from chivescale.errors import ErrorKind


class ControlWorld(World):
    """Simulates the coordinators of one system.

    A slot is the place of one machine and of those that replace it.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    size : int
        Number of control hosts. The first three form the group.
    losses : int
        Number of them that the group has to bear the loss of.

    Attributes
    ----------
    slots : list of str
        Name of the current machine of each slot.
    operator_list : list of str
        Machines in the order of the operator's list, without removed ones.
    """

    def __init__(self, seed: int, size: int, losses: int):
        super().__init__(seed, ())
        self.losses = losses
        self.names = ()
        self.numbers = itertools.count()
        self.known_sizes: dict[tuple, bool] = {}
        self.slots = [f"c{next(self.numbers)}" for _ in range(size)]
        self.operator_list = list(self.slots)
        for name in self.slots:
            self.create(name, may_form=True)
            self.schedule(self.rng.uniform(0.0, 0.3), "start", name)

    # Machines.

    def schedule(self, delay_s: float, method: str, *args) -> None:
        """Call a method of this object later."""
        self._enqueue(self.now + delay_s, (method, *args))

    def create(self, name: str, may_form: bool) -> None:
        """Add a machine with an empty disk; it is not started yet."""
        disk = Disk(f"{name}-{next(self.ids)}")
        rate = self.rng.uniform(0.995, 1.005)
        self.hosts[name] = ControlHost(
            name,
            disk,
            rate,
            self.seeds(),
            may_form=may_form,
            losses=self.losses,
        )

    def seeds(self) -> ag.Configuration:
        """Return the seeds of a settings file that is written now."""
        names = self.operator_list[:SEEDS]
        return ag.Configuration(tuple(ag.Member(n, n) for n in names))

    def start(self, name: str) -> None:
        """Start a stopped machine from its disk."""
        host = self.hosts[name]
        if host.machine is not None or host.gone:
            return
        host.state = []
        host.boot += 1
        host.roster, host.roster_term = ag.Roster(self.losses), 0
        host.change = None
        host.machine = ag.Agreement(
            name,
            host.initial,
            host.disk.recovered(),
            TIMING,
            random.Random(self.rng.random()),
            address=name,
            may_form=host.may_form,
        )
        self._step(host, ag.Tick())
        self.schedule(CHECK_INTERVAL_S, "check_members", name, host.boot)

    def crash(self, name: str) -> None:
        """End the process of a machine; it keeps only its disk."""
        super().crash(name)
        self.hosts[name].frozen_until = 0.0

    def wipe(self, name: str) -> None:
        """End the process and empty the disk; it may not form a group."""
        self.replace_disk(name)
        host = self.hosts[name]
        host.may_form, host.initial = False, self.seeds()

    def remove(self, name: str) -> None:
        """Remove a machine for good."""
        self.crash(name)
        self.hosts[name].gone = True
        self.operator_list = [n for n in self.operator_list if n != name]

    def replace(self, slot: int, delay_s: float) -> None:
        """Start an empty machine at another address in a slot later."""
        name = f"c{next(self.numbers)}"
        self.slots[slot] = name
        self.operator_list.append(name)
        self.create(name, may_form=False)
        self.schedule(delay_s, "start", name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a machine that does not return."""
        self.leave(name, self.now + LEAVE_TIMEOUT_S)

    def leave(self, name: str, deadline: float) -> None:
        """Ask the leader to remove a stopping host until it may end."""
        host = self.hosts[name]
        frozen = host.frozen_until > self.now
        if host.machine is not None and self.now < deadline:
            if frozen or self._ask_to_leave(host):
                self.schedule(LEAVE_PAUSE_S, "leave", name, deadline)
                return
        self.remove(name)

    def _ask_to_leave(self, host: ControlHost) -> bool:
        """Return whether a stopping host has to wait."""
        machine = host.machine
        own = machine.formed and machine.own_member
        if not own or not own.voter:
            return False
        if machine.ready:
            pending = _awaits_removal(machine, host.name)
            if pending and ag.can_lose_voter(machine.configuration):
                self._step(host, ag.StepDown())
            return pending
        target = machine.leader_address
        leader = self.hosts.get(target)
        links = {(host.name, target), (target, host.name)}
        unreachable = (
            leader is None
            or leader.machine is None
            or leader.frozen_until > self.now
            or links & self.blocked_links
        )
        if unreachable or not leader.machine.ready:
            return True
        machine = leader.machine
        use_term(leader)
        if machine.configuration.find(host.name, host.disk.incarnation):
            leader.roster.leave(host.name, self.now * leader.rate)
            if leader.change is None:
                self._start_change(leader)
        return _awaits_removal(machine, host.name)

    def use_seeds(self) -> None:
        """Write the settings of all machines anew and reload them."""
        for name in self.operator_list:
            host = self.hosts[name]
            machine = host.machine
            host.initial = self.seeds()
            if machine is not None and not machine.formed:
                self.crash(name)
                self.schedule(0.5, "start", name)

    def join_links(self, links: set[tuple[str, str]]) -> None:
        """End a cut of links."""
        self.blocked_links -= links

    # Member checks.

    def check_members(self, name: str, boot: int) -> None:
        """Check the members as a host does at intervals."""
        host = self.hosts[name]
        machine = host.machine
        if machine is None or host.boot != boot:
            return
        if host.frozen_until > self.now:
            wait_s = host.frozen_until - self.now
            self.schedule(wait_s, "check_members", name, boot)
            return
        if host.change is not None:
            self._finish_change(host)
        elif machine.ready:
            self._start_change(host)
        elif machine.seen and machine.leader_address:
            self._forward_join_requests(host)
        self.schedule(CHECK_INTERVAL_S, "check_members", name, boot)

    def _start_change(self, host: ControlHost) -> None:
        match plan_change(host, self.now * host.rate):
            case ag.Admit(name):
                event_type = ag.ReplaceMember
            case ag.Retire(name):
                event_type = ag.RemoveMember
            case _:
                return
        request_id = next(self.ids)
        host.change, host.change_index = (request_id, name), None
        host.change_deadline = self.now + CHANGE_TIMEOUT_S
        self.requests[request_id] = ()
        self._step(host, event_type(request_id, name))
        if host.machine is not None and host.change is not None:
            self._finish_change(host)

    def _finish_change(self, host: ControlHost) -> None:
        index = host.change_index
        done = index is not None and host.machine.applied >= index
        if done or self.now >= host.change_deadline:
            host.change = None

    def _forward_join_requests(self, host: ControlHost) -> None:
        seen = dict(host.machine.seen)
        target = host.machine.leader_address
        delay_s = self.rng.uniform(0.0005, 0.003)
        self.schedule(delay_s, "take_join_requests", host.name, target, seen)

    def take_join_requests(self, sender: str, target: str, seen) -> None:
        """Store join requests that another host passes on."""
        links = {(sender, target), (target, sender)}
        host = self.hosts.get(target)
        if host is None or host.machine is None or links & self.blocked_links:
            return
        if host.frozen_until > self.now:
            return
        machine = host.machine
        for member in seen.values():
            known = machine.configuration
            if known.find(member.name, member.incarnation) is None:
                machine.seen[member.name] = member
        origin = self.hosts[sender].machine
        if origin is None:
            return
        for name, member in seen.items():
            if origin.seen.get(name) == member:
                del origin.seen[name]

    # Changes of the configuration document.

    def write(self, size: int) -> list[bytes]:
        """Send a change of about `size` bytes to a leader, if there is one."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.machine is not None
            and host.machine.ready
            and host.frozen_until <= self.now
        ]
        leader = max(leaders, key=lambda h: h.machine.term, default=None)
        if leader is None:
            return []
        request_id = next(self.ids)
        command = b"change-%d-" % request_id + bytes(size)
        self.requests[request_id] = (command,)
        self._step(leader, ag.Propose(request_id, (command,)))
        return [command]

    def write_many(self, count: int, size: int) -> None:
        """Send several changes, five at a time."""
        for _ in range(min(count, 5)):
            self.write(size)
        if count > 5:
            self.schedule(0.1, "write_many", count - 5, size)

    # Transport and effects.

    def _deliver(self, event) -> None:
        if isinstance(event, tuple):
            getattr(self, event[0])(*event[1:])
        else:
            super()._deliver(event)

    def _report_loss(self, message) -> None:
        if isinstance(message, ag.AppendRequest | ag.SnapshotRequest):
            self._enqueue(self.now + CALL_TIMEOUT_S, ag.Undelivered(message))

    def _transmit(self, message) -> None:
        delay_s = self.rng.uniform(0.0005, 0.003)
        if exceeds_limit(message, self.known_sizes):
            # The receiver answers with the status 413.
            event = ag.Undelivered(message)
        else:
            event = ag.Received(message)
        self._enqueue(self.now + delay_s, event)

    def _execute(self, host: ControlHost, effect) -> list:
        change = host.change[0] if host.change else None
        match effect:
            case ag.Appended(request_id, first, _) if request_id == change:
                host.change_index = first
                return []
            case ag.Rejected(request_id, failure) if request_id == change:
                if failure.kind is ErrorKind.BAD_REQUEST:
                    host.machine.seen.pop(host.change[1], None)
                host.change = None
                return []
            case ag.TakeSnapshot(index):
                data = msgspec.json.encode([index, _checksum(host.state)])
                return [ag.SnapshotTaken(index, data + b" " * LARGE_BYTES)]
            case ag.Restore(snapshot):
                index, checksum = msgspec.json.decode(snapshot.data)
                indexes = range(1, index + 1)
                host.state = [self.committed[i] for i in indexes]
                assert _checksum(host.state) == checksum, "snapshot differs"
                return []
        return super()._execute(host, effect)

    # State of the group.

    def slot_of_leader(self) -> int | None:
        """Return the slot of the leader; None without one in a slot."""
        leader = self.leader()
        if leader is None or leader.name not in self.slots:
            return None
        return self.slots.index(leader.name)

    def unmet(self) -> str:
        """Return what keeps the group from being whole; empty if nothing."""
        leader = self.leader()
        if leader is None:
            return "no member leads"
        machine = leader.machine
        for name in self.slots:
            host = self.hosts[name]
            if host.machine is None:
                return f"{name} does not run"
            member = machine.configuration.find(name, host.disk.incarnation)
            if member is None or not member.voter:
                return f"{name} is no voter"
            if host.machine.applied < machine.commit:
                return f"{name} is not up to date"
        return ""

    def settle(self, timeout_s: float) -> str:
        """Run until the group is whole and accepts a change.

        Returns
        -------
        str
            What was not reached in time; empty if nothing.
        """
        deadline = self.now + timeout_s
        while self.now < deadline:
            if self.unmet():
                self.run(0.05)
                continue
            sent = self.write(10)
            if sent and self.run(
                1.0, lambda s=sent: s[0] in self.acknowledged
            ):
                if self.run(0.5, lambda: not self.unmet()):
                    return ""
        return self.unmet() or "no change is accepted"

    def check_acknowledged(self) -> None:
        """Check that every machine has every acknowledged change."""
        for name in self.slots:
            state = self.hosts[name].state
            for command, index in self.acknowledged.items():
                found = state[index - 1].data if index <= len(state) else b""
                assert found == command, f"{name} lost the change {index}"


def _awaits_removal(machine, name: str) -> bool:
    if machine.log.configuration_index > machine.commit:
        return True
    return ag.awaits_removal(name, machine.configuration, machine.seen)


def _checksum(entries) -> int:
    checksum = 0
    for entry in entries:
        checksum = zlib.crc32(entry.data, checksum)
    return checksum
