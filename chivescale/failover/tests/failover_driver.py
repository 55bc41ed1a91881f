"""Random faults against failover in virtual time.

``run_random(seed, steps)`` returns figures of the run and raises
AssertionError with the seed on the first broken rule.
"""

import heapq
import random
import sys

from chivescale import failover as fo
from chivescale.failover.tests.group_endpoint import FakeEndpoint
from chivescale.membership import (
    EndpointAnnounced,
    EndpointsApplied,
    EndpointTable,
    Tick,
)
from chivescale.messages import (
    EstablishTerm,
    Follow,
    Promise,
    Promote,
    ServiceRecord,
)
from chivescale.state import ClusterState, TermEstablished

SERVICE = "ledger"
HOSTS = ("h1", "h2", "h3")


class Leader:
    """A control host that believes it leads."""

    def __init__(self, world: "World", name: str):
        self.world = world
        self.name = name
        seed = world.rng.random()
        self.failover = fo.Failover(
            SERVICE, fo.Timing(), random.Random(seed), world.now
        )
        self.table = EndpointTable(world.now)
        self.verdicts = fo.Verdicts()
        self.see_state()

    def see_state(self) -> None:
        state = self.world.state
        endpoints = tuple(state.endpoints.values())
        self.table.step(
            EndpointsApplied(endpoints, tuple(state.services.values())),
            self.world.now,
        )
        record = state.services[SERVICE]
        self.drive(fo.StateApplied(record, endpoints, {"z1": 2, "z2": 1}))

    def tick(self) -> None:
        self.run_table(Tick())
        record = self.failover.group.record
        agreed = self.verdicts.agreed(
            SERVICE, record.term, record.primary, HOSTS, self.world.now
        )
        if agreed:
            self.drive(
                fo.VerdictReached(
                    record.term,
                    record.primary,
                    agreed.verdict,
                    agreed.since,
                    agreed.needs_probe,
                )
            )
        self.drive(fo.Tick())

    def run_table(self, event) -> None:
        for effect in self.table.step(event, self.world.now):
            for command in effect.commands:
                self.world.propose(self, command)

    def announce(self, status) -> None:
        if self.table.is_stale(status, self.world.now):
            return
        self.run_table(EndpointAnnounced(status))
        self.drive(fo.Announced(status))

    def drive(self, event) -> None:
        for effect in self.failover.step(event, self.world.now):
            self.execute(effect)

    def execute(self, effect) -> None:
        world = self.world
        if isinstance(effect, fo.Propose):
            world.propose(self, effect.command)
        elif isinstance(effect, fo.LogPhase):
            world.phases.append((world.now, self.name, effect))
        else:
            self.request(effect)

    def request(self, effect) -> None:
        world, asked_at = self.world, self.world.now
        name, term = effect.endpoint, effect.term
        if isinstance(effect, fo.SendPromise):
            kind = "promise"

            def run(endpoint):
                message = Promise(SERVICE, term)
                reply = endpoint.promise(message, world.now)
                return fo.PromiseAnswered(name, term, reply)
        elif isinstance(effect, fo.SendPromote):
            kind = "promote"

            def run(endpoint):
                message = Promote(SERVICE, term, effect.voters)
                reply = endpoint.promote(message, world.now)
                return fo.PromoteAnswered(name, term, reply)
        elif isinstance(effect, fo.SendFollow):
            kind = "follow"

            def run(endpoint):
                endpoint.follow(Follow(SERVICE, term, effect.primary, ""))
        else:
            kind = "position"

            def run(endpoint):
                status = endpoint.status(world.now)
                return fo.PositionAnswered(name, asked_at, status)

        def failed(refused):
            self.drive(fo.RequestFailed(name, kind, term, asked_at, refused))

        world.call(
            self.name,
            name,
            effect.address,
            run,
            self.answered,
            failed,
            effect.timeout_s,
            getattr(effect, "fresh", False),
        )

    def answered(self, event) -> None:
        if isinstance(event, fo.PositionAnswered):
            self.run_table(EndpointAnnounced(event.status))
        if event is not None:
            self.drive(event)


class World:
    """Endpoints, watchers, two leaders, a log and a network."""

    def __init__(self, seed: int, spares: int = 1, loss=0.02, pace=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.count = 0
        self.loss = loss
        self.announcements_lost = False
        self.cut: set[frozenset[str]] = set()
        # Connections that were open when they went silent, per pair.
        self.stuck: set[tuple[str, str]] = set()
        self.phases: list = []
        self.state = ClusterState()
        self.state.tables["service"].put(SERVICE, ServiceRecord(SERVICE, 3), 0)
        self.endpoints = {
            f"e{n}": FakeEndpoint(f"e{n}", f"z{n % 3}")
            for n in range(1, spares + 4)
        }
        self.writes = 0
        self.confirmed: dict[int, tuple[int, int]] = {}
        self.confirmed_by: dict[int, set[str]] = {}
        self.promotions = 0
        self.watchers = {h: fo.Watcher(h, SERVICE) for h in HOSTS}
        self.leaders = [Leader(self, "l1")]
        for name in self.endpoints:
            self.every(1.0, lambda n=name: self.announce(n))
            self.every(0.004 * pace, lambda n=name: self.pull(n))
        for host in HOSTS:
            tick_s = 0.02 if pace == 1 else 0.05
            self.every(tick_s, lambda h=host: self.watch(h, fo.Tick()))
        self.every(0.02, lambda: [leader.tick() for leader in self.leaders])
        self.every(0.01 * pace, self.write)

    # time

    def after(self, delay: float, action) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, action))

    def every(self, interval: float, action) -> None:
        def run():
            action()
            self.after(interval * self.rng.uniform(0.9, 1.1), run)

        self.after(interval * self.rng.random(), run)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    # network

    def delay(self) -> float:
        return self.rng.uniform(0.0003, 0.004)

    def connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    def lost(self, one: str, other: str) -> bool:
        return not self.connected(one, other) or self.rng.random() < self.loss

    def call(
        self, origin, name, address, run, done, failed, timeout_s, fresh
    ) -> None:
        """Deliver a request and its answer, or time out."""
        state = {"open": True}
        endpoint = self.endpoints[name]

        def end(action, *arguments):
            if state["open"]:
                state["open"] = False
                action(*arguments)

        def answer(event):
            if not self.lost(origin, name):
                self.after(self.delay(), lambda: end(done, event))

        def arrive():
            current = address == f"{name}:{endpoint.starts}"
            if not endpoint.up or not current:
                self.after(self.delay(), lambda: end(failed, True))
            elif self.now < endpoint.frozen_until:
                self.after(endpoint.frozen_until - self.now, arrive)
            else:
                answer(run(endpoint))

        self.after(timeout_s, lambda: end(failed, False))
        silent = not fresh and (origin, name) in self.stuck
        if origin not in HOSTS:
            # The next call does not get the connection that this one holds.
            self.stuck.discard((origin, name))
        if not silent and not self.lost(origin, name):
            self.after(self.delay(), arrive)

    # log

    def propose(self, leader: Leader, command) -> None:
        """Commit a command of any leader, or lose its answer."""
        fate = self.rng.random()
        if fate < self.loss / 2:
            if hasattr(command, "term"):
                event = fo.ProposalFailed(command)
                self.after(0.3, lambda: leader.drive(event))
            return

        def commit():
            result = self.state.apply(self.state.index + 1, command)
            if isinstance(result, TermEstablished):
                self.established(command)
            for each in self.leaders:
                self.after(self.delay() * 3, each.see_state)
            for host in HOSTS:
                self.after(self.delay() * 3, lambda h=host: self.show(h))
            if not hasattr(command, "term"):
                return
            accepted = not hasattr(result, "kind")
            record = self.state.services[SERVICE]
            event = fo.Committed(command, accepted, record)
            if fate < self.loss:
                event = fo.ProposalFailed(command)
            self.after(self.delay(), lambda: leader.drive(event))

        self.after(self.delay() * 2, commit)

    def established(self, command: EstablishTerm) -> None:
        """Check that the new primary holds every confirmed write."""
        self.promotions += 1
        log = self.endpoints[command.primary].log[: command.marker]
        held = {entry.write for entry in log}
        for write, (term, _) in self.confirmed.items():
            if term < command.term:
                assert write in held, f"confirmed write {write} lost"

    # watchers

    def show(self, host: str) -> None:
        endpoints = tuple(self.state.endpoints.values())
        record = self.state.services[SERVICE]
        self.watch(host, fo.WatchService(record, endpoints))

    def watch(self, host: str, event) -> None:
        for effect in self.watchers[host].step(event, self.now):
            if isinstance(effect, fo.Report):
                for leader in self.leaders:
                    if self.rng.random() >= self.loss:
                        leader.verdicts.record(effect.suspicion, self.now)
            else:
                self.probe(host, effect)

    def probe(self, host: str, effect: fo.Probe) -> None:
        name, probe = effect.endpoint, effect.probe
        self.call(
            host,
            name,
            effect.address,
            lambda e: fo.ProbeReply(name, probe, e.status(self.now)),
            lambda event: self.watch(host, event),
            lambda refused: self.watch(
                host, fo.ProbeError(name, probe, refused)
            ),
            effect.timeout_s,
            effect.fresh,
        )

    # endpoints and callers

    def running(self, name: str) -> bool:
        endpoint = self.endpoints[name]
        return endpoint.up and self.now >= endpoint.frozen_until

    def announce(self, name: str) -> None:
        if not self.running(name) or self.announcements_lost:
            return
        status = self.endpoints[name].status(self.now)
        late = self.rng.uniform(0, 0.8) if self.rng.random() < 0.1 else 0
        for leader in self.leaders:
            if not self.lost("h1", name):
                self.after(
                    late + self.delay(),
                    lambda x=leader: x.announce(status),
                )

    def pull(self, name: str) -> None:
        replica = self.endpoints[name]
        primary = self.endpoints.get(replica.primary)
        if replica.role != "replica" or not self.running(name):
            return
        if not primary or not self.running(primary.name):
            return
        if self.lost(name, primary.name):
            return
        term, source, start = replica.promised, primary.name, replica.starts
        answer = primary.serve(term, replica.log)

        def take():
            if self.running(name) and replica.starts == start:
                replica.take(term, source, answer, self.now)

        if answer is not None and replica.lagging:
            replica.contact_at = self.now
        elif answer is not None:
            self.after(self.delay(), take)

    def write(self) -> None:
        """Write through the published primary or a fenced earlier one."""
        record = self.state.services[SERVICE]
        names = [n for n, e in self.endpoints.items() if e.role == "primary"]
        if not names or record.term == 0:
            return
        name = self.rng.choice(names)
        if not self.running(name):
            return
        self.writes += 1
        write, position = self.writes, self.endpoints[name].write(self.writes)
        if position is None:
            return
        for wait in (0.008, 0.02, 0.05, 0.2):
            self.after(wait, lambda: self.confirm(write, position, name))

    def confirm(self, write: int, position, name: str) -> None:
        """Acknowledge a write by the rule of section 2.1."""
        record = self.state.services[SERVICE]
        if position.term != record.term or write in self.confirmed:
            return
        held = 0
        for voter, incarnation in zip(
            record.voters, record.incarnations, strict=True
        ):
            endpoint = self.endpoints[voter]
            held += (
                endpoint.incarnation == incarnation
                and endpoint.last.term == position.term
                and endpoint.last.position >= position.position
            )
        if held >= len(record.voters) // 2 + 1:
            self.confirmed[write] = (position.term, position.position)
            by = self.confirmed_by.setdefault(position.term, set())
            by.add(name)
            assert len(by) == 1, f"two primaries of term {position.term}"

    def register_all(self) -> None:
        """Wait until the first term is established."""
        for _ in range(100):
            self.run(0.1)
            if self.state.services[SERVICE].term:
                return
        raise AssertionError("no first term")

    # faults

    def do_freeze(self, endpoint) -> None:
        until = self.now + self.rng.uniform(0.5, 4.0)
        endpoint.frozen_until = max(endpoint.frozen_until, until)

    def do_pause(self, endpoint) -> None:
        until = self.now + self.rng.uniform(0.0, 0.3)
        endpoint.frozen_until = max(endpoint.frozen_until, until)

    def do_kill(self, endpoint) -> None:
        endpoint.up = False

    def do_restart(self, endpoint) -> None:
        endpoint.restart()

    def do_cut(self, endpoint) -> None:
        others = [*self.endpoints, *HOSTS, "l1", "l2"]
        for other in self.rng.sample(others, self.rng.randint(1, 6)):
            if other != endpoint.name:
                self.cut.add(frozenset((endpoint.name, other)))

    def do_heal(self, endpoint) -> None:
        self.cut.clear()

    def do_stick(self, endpoint) -> None:
        for host in (*HOSTS, "l1", "l2"):
            self.stuck.add((host, endpoint.name))

    def do_second_leader(self, endpoint) -> None:
        if len(self.leaders) == 1:
            self.leaders.append(Leader(self, "l2"))

    def do_new_leader(self, endpoint) -> None:
        old = self.leaders.pop(0)
        old.drive(fo.LeadershipLost())
        if not self.leaders:
            self.leaders.append(Leader(self, old.name))

    def do_leave(self, endpoint) -> None:
        leaving = sum(e.leaving for e in self.endpoints.values())
        endpoint.leaving = endpoint.up and (endpoint.leaving or not leaving)

    def do_lose_disk(self, endpoint) -> None:
        """Lose a disk while no other loss awaits repair.

        With two lost of three voters no rule could keep the writes.
        """
        record = self.state.services[SERVICE]
        whole = all(
            self.endpoints[voter].incarnation == incarnation
            for voter, incarnation in zip(
                record.voters, record.incarnations, strict=True
            )
        )
        known = record.begun_term == record.term and not any(
            leader.failover.attempt for leader in self.leaders
        )
        if whole and known:
            endpoint.restart(lose_disk=True)

    def heal_all(self) -> None:
        self.cut.clear()
        self.stuck.clear()
        while len(self.leaders) > 1:
            self.do_new_leader(None)
        for endpoint in self.endpoints.values():
            endpoint.frozen_until = 0.0
            if not endpoint.up or endpoint.leaving:
                endpoint.restart()


ACTIONS = tuple(
    name.removeprefix("do_") for name in dir(World) if name.startswith("do_")
)
WAITS_S = (0.01, 0.1, 0.5, 1.5)


def run_script(seed: int, script) -> World:
    """Run faults given as (action, endpoint, wait), heal, want progress."""
    world = World(seed)
    try:
        world.register_all()
        for action, name, wait_s in script:
            getattr(world, f"do_{action}")(world.endpoints[name])
            world.run(wait_s)
        world.heal_all()
        world.run(12.0)
        before = len(world.confirmed)
        world.run(1.0)
        assert len(world.confirmed) > before, "no progress after healing"
    except AssertionError as err:
        raise AssertionError(f"seed {seed}: {err}") from err
    return world


def run_random(seed: int, steps: int = 40) -> dict[str, int]:
    """Run `steps` random faults, heal, and require progress."""
    rng = random.Random(seed)
    script = [
        (
            rng.choice(ACTIONS),
            f"e{rng.randint(1, 4)}",
            rng.choice(WAITS_S),
        )
        for _ in range(steps)
    ]
    world = run_script(seed, script)
    return {
        "confirmed": len(world.confirmed),
        "promotions": world.promotions,
        "term": world.state.services[SERVICE].term,
    }


def run_quiet(seed: int, minutes: int = 60) -> World:
    """Run an hour of what is normal: it must cause no promotion.

    Pauses up to 300 ms, replication lag, lost messages and announcements,
    connections that stay silent while new ones work, and one entry host
    that cannot reach the primary.
    """
    world = World(seed, spares=0, loss=0.005, pace=25)
    world.register_all()
    rng, primary = world.rng, world.state.services[SERVICE].primary
    for _ in range(minutes * 30):
        endpoint = world.endpoints[rng.choice(list(world.endpoints))]
        if rng.random() < 0.5:
            world.do_pause(endpoint)
        endpoint.lagging = rng.random() < 0.5
        world.announcements_lost = rng.random() < 0.3
        if rng.random() < 0.05:
            world.do_stick(endpoint)
        if rng.random() < 0.05:
            world.do_heal(endpoint)
            world.cut.add(frozenset((rng.choice(HOSTS), primary)))
        world.run(2.0)
    reasons = [p.fields["reason"] for _, _, p in world.phases]
    assert world.promotions == 1, f"seed {seed}: {reasons}"
    return world


if __name__ == "__main__":
    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        print(number, run_random(number, int(sys.argv[3])), flush=True)
