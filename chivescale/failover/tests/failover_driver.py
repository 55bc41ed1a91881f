"""Simulation of failover under random faults, in virtual time.

``run_random(seed, steps)`` returns counters of the run. It raises
AssertionError with the seed at the first violated invariant.
"""

import heapq
import random
import sys

from chivescale import failover as fo
from chivescale.failover.tests.group_endpoint import InMemoryEndpoint
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
    """A control host that considers itself leader."""

    def __init__(self, simulation: "Simulation", name: str):
        self.simulation = simulation
        self.name = name
        seed = simulation.rng.random()
        self.failover = fo.Failover(
            SERVICE, fo.Timing(), random.Random(seed), simulation.now
        )
        self.table = EndpointTable(simulation.now)
        self.verdicts = fo.Verdicts()
        self.apply_state()

    def apply_state(self) -> None:
        state = self.simulation.state
        endpoints = tuple(state.endpoints.values())
        self.table.step(
            EndpointsApplied(endpoints, tuple(state.services.values())),
            self.simulation.now,
        )
        record = state.services[SERVICE]
        self.step_failover(
            fo.StateApplied(record, endpoints, {"z1": 2, "z2": 1})
        )

    def tick(self) -> None:
        self.step_table(Tick())
        record = self.failover.group.record
        agreed = self.verdicts.agreed(
            SERVICE, record.term, record.primary, HOSTS, self.simulation.now
        )
        if agreed:
            self.step_failover(
                fo.VerdictReached(
                    record.term,
                    record.primary,
                    agreed.verdict,
                    agreed.since,
                    agreed.needs_probe,
                )
            )
        self.step_failover(fo.Tick())

    def step_table(self, event) -> None:
        for effect in self.table.step(event, self.simulation.now):
            for command in effect.commands:
                self.simulation.propose(self, command)

    def announce(self, status) -> None:
        if self.table.is_stale(status, self.simulation.now):
            return
        self.step_table(EndpointAnnounced(status))
        self.step_failover(fo.Announced(status))

    def step_failover(self, event) -> None:
        for effect in self.failover.step(event, self.simulation.now):
            self.execute(effect)

    def execute(self, effect) -> None:
        simulation = self.simulation
        if isinstance(effect, fo.Propose):
            simulation.propose(self, effect.command)
        elif isinstance(effect, fo.LogPhase):
            simulation.phases.append((simulation.now, self.name, effect))
        else:
            self.send_request(effect)

    def send_request(self, effect) -> None:
        simulation, requested_at = self.simulation, self.simulation.now
        name, term = effect.endpoint, effect.term
        if isinstance(effect, fo.SendPromise):
            kind = "promise"

            def run(endpoint):
                message = Promise(SERVICE, term)
                reply = endpoint.promise(message, simulation.now)
                return fo.PromiseAnswered(name, term, reply)
        elif isinstance(effect, fo.SendPromote):
            kind = "promote"

            def run(endpoint):
                message = Promote(SERVICE, term, effect.voters)
                reply = endpoint.promote(message, simulation.now)
                return fo.PromoteAnswered(name, term, reply)
        elif isinstance(effect, fo.SendFollow):
            kind = "follow"

            def run(endpoint):
                endpoint.follow(Follow(SERVICE, term, effect.primary, ""))
        else:
            kind = "position"

            def run(endpoint):
                status = endpoint.status(simulation.now)
                return fo.PositionAnswered(name, requested_at, status)

        def failed(refused):
            self.step_failover(
                fo.RequestFailed(name, kind, term, requested_at, refused)
            )

        simulation.deliver_request(
            self.name,
            name,
            effect.address,
            run,
            self.on_answer,
            failed,
            effect.timeout_s,
            getattr(effect, "fresh", False),
        )

    def on_answer(self, event) -> None:
        if isinstance(event, fo.PositionAnswered):
            self.step_table(EndpointAnnounced(event.status))
        if event is not None:
            self.step_failover(event)


class Simulation:
    """Simulated endpoints, watchers, leaders, control log and network."""

    def __init__(
        self, seed: int, spares: int = 1, loss_rate=0.02, interval_scale=1
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.event_count = 0
        self.loss_rate = loss_rate
        self.announcements_lost = False
        self.disconnected: set[frozenset[str]] = set()
        # (host, endpoint) pairs whose open connections no longer respond.
        self.stalled_connections: set[tuple[str, str]] = set()
        self.phases: list = []
        self.state = ClusterState()
        self.state.tables["service"].put(SERVICE, ServiceRecord(SERVICE, 3), 0)
        self.endpoints = {
            f"e{n}": InMemoryEndpoint(f"e{n}", f"z{n % 3}")
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
            self.every(
                0.004 * interval_scale, lambda n=name: self.replicate(n)
            )
        for host in HOSTS:
            tick_s = 0.02 if interval_scale == 1 else 0.05
            self.every(tick_s, lambda h=host: self.step_watcher(h, fo.Tick()))
        self.every(0.02, lambda: [leader.tick() for leader in self.leaders])
        self.every(0.01 * interval_scale, self.write)

    # Virtual time.

    def after(self, delay: float, action) -> None:
        self.event_count += 1
        heapq.heappush(
            self.queue, (self.now + delay, self.event_count, action)
        )

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

    # Network.

    def network_delay(self) -> float:
        return self.rng.uniform(0.0003, 0.004)

    def connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.disconnected

    def drops_message(self, one: str, other: str) -> bool:
        return (
            not self.connected(one, other)
            or self.rng.random() < self.loss_rate
        )

    def deliver_request(
        self, origin, name, address, run, done, failed, timeout_s, fresh
    ) -> None:
        """Deliver a request and its answer, or report a timeout."""
        state = {"open": True}
        endpoint = self.endpoints[name]

        def end(action, *arguments):
            if state["open"]:
                state["open"] = False
                action(*arguments)

        def answer(event):
            if not self.drops_message(origin, name):
                self.after(self.network_delay(), lambda: end(done, event))

        def arrive():
            current = address == f"{name}:{endpoint.boot_count}"
            if not endpoint.up or not current:
                self.after(self.network_delay(), lambda: end(failed, True))
            elif self.now < endpoint.frozen_until:
                self.after(endpoint.frozen_until - self.now, arrive)
            else:
                answer(run(endpoint))

        self.after(timeout_s, lambda: end(failed, False))
        silent = not fresh and (origin, name) in self.stalled_connections
        if origin not in HOSTS:
            # The next request uses another connection.
            self.stalled_connections.discard((origin, name))
        if not silent and not self.drops_message(origin, name):
            self.after(self.network_delay(), arrive)

    # Control log.

    def propose(self, leader: Leader, command) -> None:
        """Commit a command; the command or its result can be lost."""
        draw = self.rng.random()
        if draw < self.loss_rate / 2:
            if hasattr(command, "term"):
                event = fo.ProposalFailed(command)
                self.after(0.3, lambda: leader.step_failover(event))
            return

        def commit():
            result = self.state.apply(self.state.index + 1, command)
            if isinstance(result, TermEstablished):
                self.check_established(command)
            for each in self.leaders:
                self.after(self.network_delay() * 3, each.apply_state)
            for host in HOSTS:
                self.after(
                    self.network_delay() * 3,
                    lambda h=host: self.publish_state(h),
                )
            if not hasattr(command, "term"):
                return
            accepted = not hasattr(result, "kind")
            record = self.state.services[SERVICE]
            event = fo.Committed(command, accepted, record)
            if draw < self.loss_rate:
                event = fo.ProposalFailed(command)
            self.after(
                self.network_delay(), lambda: leader.step_failover(event)
            )

        self.after(self.network_delay() * 2, commit)

    def check_established(self, command: EstablishTerm) -> None:
        """Check that the new primary holds every confirmed write."""
        self.promotions += 1
        log = self.endpoints[command.primary].log[: command.marker]
        held = {entry.write for entry in log}
        for write, (term, _) in self.confirmed.items():
            if term < command.term:
                assert write in held, f"confirmed write {write} lost"

    # Watchers.

    def publish_state(self, host: str) -> None:
        endpoints = tuple(self.state.endpoints.values())
        record = self.state.services[SERVICE]
        self.step_watcher(host, fo.WatchService(record, endpoints))

    def step_watcher(self, host: str, event) -> None:
        for effect in self.watchers[host].step(event, self.now):
            if isinstance(effect, fo.Report):
                for leader in self.leaders:
                    if self.rng.random() >= self.loss_rate:
                        leader.verdicts.record(effect.suspicion, self.now)
            else:
                self.send_probe(host, effect)

    def send_probe(self, host: str, effect: fo.Probe) -> None:
        name, probe = effect.endpoint, effect.probe
        self.deliver_request(
            host,
            name,
            effect.address,
            lambda e: fo.ProbeReply(name, probe, e.status(self.now)),
            lambda event: self.step_watcher(host, event),
            lambda refused: self.step_watcher(
                host, fo.ProbeError(name, probe, refused)
            ),
            effect.timeout_s,
            effect.fresh,
        )

    # Endpoints and callers.

    def is_running(self, name: str) -> bool:
        endpoint = self.endpoints[name]
        return endpoint.up and self.now >= endpoint.frozen_until

    def announce(self, name: str) -> None:
        if not self.is_running(name) or self.announcements_lost:
            return
        status = self.endpoints[name].status(self.now)
        late = self.rng.uniform(0, 0.8) if self.rng.random() < 0.1 else 0
        for leader in self.leaders:
            if not self.drops_message("h1", name):
                self.after(
                    late + self.network_delay(),
                    lambda x=leader: x.announce(status),
                )

    def replicate(self, name: str) -> None:
        replica = self.endpoints[name]
        primary = self.endpoints.get(replica.primary)
        if replica.role != "replica" or not self.is_running(name):
            return
        if not primary or not self.is_running(primary.name):
            return
        if self.drops_message(name, primary.name):
            return
        term, source, start = (
            replica.promised,
            primary.name,
            replica.boot_count,
        )
        answer = primary.serve_replication(term, replica.log)

        def deliver():
            if self.is_running(name) and replica.boot_count == start:
                replica.append_replicated(term, source, answer, self.now)

        if answer is not None and replica.lagging:
            replica.contact_at = self.now
        elif answer is not None:
            self.after(self.network_delay(), deliver)

    def write(self) -> None:
        """Write through any endpoint that considers itself primary."""
        record = self.state.services[SERVICE]
        names = [n for n, e in self.endpoints.items() if e.role == "primary"]
        if not names or record.term == 0:
            return
        name = self.rng.choice(names)
        if not self.is_running(name):
            return
        self.writes += 1
        write, position = self.writes, self.endpoints[name].write(self.writes)
        if position is None:
            return
        for wait in (0.008, 0.02, 0.05, 0.2):
            self.after(wait, lambda: self.acknowledge(write, position, name))

    def acknowledge(self, write: int, position, name: str) -> None:
        """Acknowledge a write once a quorum holds it (section 2.1)."""
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

    def await_first_term(self) -> None:
        """Wait until the first term is established."""
        for _ in range(100):
            self.run(0.1)
            if self.state.services[SERVICE].term:
                return
        raise AssertionError("no first term")

    # Faults.

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

    def do_disconnect(self, endpoint) -> None:
        others = [*self.endpoints, *HOSTS, "l1", "l2"]
        for other in self.rng.sample(others, self.rng.randint(1, 6)):
            if other != endpoint.name:
                self.disconnected.add(frozenset((endpoint.name, other)))

    def do_heal(self, endpoint) -> None:
        self.disconnected.clear()

    def do_stall_connections(self, endpoint) -> None:
        for host in (*HOSTS, "l1", "l2"):
            self.stalled_connections.add((host, endpoint.name))

    def do_second_leader(self, endpoint) -> None:
        if len(self.leaders) == 1:
            self.leaders.append(Leader(self, "l2"))

    def do_new_leader(self, endpoint) -> None:
        old = self.leaders.pop(0)
        old.step_failover(fo.LeadershipLost())
        if not self.leaders:
            self.leaders.append(Leader(self, old.name))

    def do_leave(self, endpoint) -> None:
        leaving = sum(e.leaving for e in self.endpoints.values())
        endpoint.leaving = endpoint.up and (endpoint.leaving or not leaving)

    def do_lose_disk(self, endpoint) -> None:
        """Lose a disk unless another loss is still unrepaired.

        After two of three voters lost their disks, confirmed writes cannot
        be preserved.
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
        self.disconnected.clear()
        self.stalled_connections.clear()
        while len(self.leaders) > 1:
            self.do_new_leader(None)
        for endpoint in self.endpoints.values():
            endpoint.frozen_until = 0.0
            if not endpoint.up or endpoint.leaving:
                endpoint.restart()


ACTIONS = tuple(
    name.removeprefix("do_")
    for name in dir(Simulation)
    if name.startswith("do_")
)
WAITS_S = (0.01, 0.1, 0.5, 1.5)


def run_script(seed: int, script) -> Simulation:
    """Run (action, endpoint, wait) faults, heal, and require progress."""
    simulation = Simulation(seed)
    try:
        simulation.await_first_term()
        for action, name, wait_s in script:
            getattr(simulation, f"do_{action}")(simulation.endpoints[name])
            simulation.run(wait_s)
        simulation.heal_all()
        simulation.run(12.0)
        before = len(simulation.confirmed)
        simulation.run(1.0)
        assert len(simulation.confirmed) > before, "no progress after healing"
    except AssertionError as err:
        raise AssertionError(f"seed {seed}: {err}") from err
    return simulation


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
    simulation = run_script(seed, script)
    return {
        "confirmed": len(simulation.confirmed),
        "promotions": simulation.promotions,
        "term": simulation.state.services[SERVICE].term,
    }


def run_normal_disturbances(seed: int, minutes: int = 60) -> Simulation:
    """Check that normal disturbances cause no promotion.

    They are pauses up to 300 ms, replication lag, lost messages and
    announcements, established connections that stop responding while new
    ones work, and one entry host that cannot reach the primary.
    """
    simulation = Simulation(seed, spares=0, loss_rate=0.005, interval_scale=25)
    simulation.await_first_term()
    rng, primary = simulation.rng, simulation.state.services[SERVICE].primary
    for _ in range(minutes * 30):
        endpoint = simulation.endpoints[rng.choice(list(simulation.endpoints))]
        if rng.random() < 0.5:
            simulation.do_pause(endpoint)
        endpoint.lagging = rng.random() < 0.5
        simulation.announcements_lost = rng.random() < 0.3
        if rng.random() < 0.05:
            simulation.do_stall_connections(endpoint)
        if rng.random() < 0.05:
            simulation.do_heal(endpoint)
            simulation.disconnected.add(
                frozenset((rng.choice(HOSTS), primary))
            )
        simulation.run(2.0)
    reasons = [p.fields["reason"] for _, _, p in simulation.phases]
    assert simulation.promotions == 1, f"seed {seed}: {reasons}"
    return simulation


if __name__ == "__main__":
    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        print(number, run_random(number, int(sys.argv[3])), flush=True)
