"""Random simulations of session consistency against the group model.

``python -m chivescale.session.tests.random_run SEED COUNT STEPS`` executes
runs with consecutive seeds.
"""

import collections
import random
import sys

from chivescale.session import (
    BarrierFailed,
    BarrierReady,
    Barriers,
    Confirmations,
    Confirmed,
    Freshness,
    OutcomeUnknown,
    PollFailed,
    PollPositions,
    PositionReceived,
    ReadArrived,
    RequestTermStarts,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
    TermEstablished,
    TermStartsFailed,
    TermStartsReceived,
    Tick,
    WriteAbsent,
    WriteAccepted,
)
from chivescale.session.tests.group_model import Group

ACTIONS = {
    "write": 6,
    "read": 6,
    "replicate": 12,
    "deliver": 70,
    "advance": 10,
    "publish": 8,
    "begin": 1,
    "partition": 1,
    "heal": 1,
    "lose_data": 1,
    "tick": 6,
}


class EntryHost:
    """Entry host with the state machines of one service."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.barriers = Barriers(_term_changed(record))
        self.confirmations = Confirmations(record)
        self.freshness = Freshness(max_samples=16)
        self.freshness.term_changed(record)


class Simulation:
    """One simulation; the `check_` methods raise on a violation."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.group = Group(self.rng, self.rng.choice((1, 3, 3, 3, 5)))
        record = self.group.record
        self.hosts = [EntryHost("h0", record), EntryHost("h1", record)]
        for host in self.hosts:
            self.group.partition[host.name] = 0
        self.messages: list = []
        self.last_id = 0
        self.confirmed_writes: list[tuple[float, str]] = []
        self.absent_writes: set[str] = set()
        self.pending_reads: dict[int, int] = {}
        self.pending_writes: dict[int, str] = {}
        self.counts = collections.Counter()

    def step(self, action: str) -> None:
        self.now += self.rng.choice((0.0, 0.001, 0.003, 0.01))
        getattr(self, f"do_{action}")()
        for host in self.hosts:
            self.check_ages(host)

    def do_write(self):
        host = self.rng.choice(self.hosts)
        primary = host.record.primary
        if not self.connected(host, primary):
            return
        self.last_id += 1
        number = self.last_id
        position = self.group.write(primary, f"w{number}")
        if position is not None:
            self.pending_writes[number] = f"w{number}"
            deadline = self.now + self.rng.uniform(0.1, 3.0)
            wait = WriteAccepted(number, position, deadline)
            self.messages.append(lambda: self.confirm(host, wait))

    def do_read(self):
        host = self.rng.choice(self.hosts)
        self.last_id += 1
        self.pending_reads[self.last_id] = len(self.confirmed_writes)
        deadline = self.now + self.rng.uniform(0.05, 3.0)
        self.barrier(host, ReadArrived(self.last_id, deadline))

    def do_replicate(self):
        self.group.replicate()

    def do_deliver(self):
        if self.messages:
            self.messages.pop(self.rng.randrange(len(self.messages)))()

    def do_advance(self):
        established = len(self.group.records)
        self.group.advance()
        if len(self.group.records) > established:
            self.check_established()

    def do_publish(self):
        # The second host receives published terms late.
        host = self.rng.choice(self.hosts[:1] * 10 + self.hosts)
        record = self.rng.choice(self.group.records[-2:])
        if record.term > host.record.term:
            host.record = record
        host.freshness.term_changed(record)
        self.barrier(host, _term_changed(record))
        self.confirm(host, TermEstablished(record))

    def do_begin(self):
        self.group.begin()
        self.counts["begin"] += 1

    def do_partition(self):
        for name in self.group.partition:
            self.group.partition[name] = int(self.rng.random() < 0.3)

    def do_heal(self):
        for name in self.group.partition:
            self.group.partition[name] = 0

    def do_lose_data(self):
        self.group.lose_data()

    def do_tick(self):
        for host in self.hosts:
            self.barrier(host, Tick())
            self.confirm(host, Tick())

    def connected(self, host, name):
        partition = self.group.partition
        return partition[host.name] == partition[name]

    def request_status(self, host, name, answer, failed):
        """Send a request whose answer or failure is delivered later."""
        sent_at = self.now

        def answer_request():
            if not self.connected(host, name) or self.rng.random() < 0.1:
                if self.rng.random() < 0.5:
                    self.messages.append(failed)
                return
            status = self.group.endpoints[name].status()

            def receive():
                if self.rng.random() < 0.9:
                    host.freshness.record_status(
                        name, status, sent_at, self.now
                    )
                answer(status)

            self.messages.append(receive)

        self.messages.append(answer_request)

    def barrier(self, host, event):
        for effect in host.barriers.step(event, self.now):
            match effect:
                case StartRound():
                    for name in effect.endpoints:
                        self.request_round_status(host, effect.round, name)
                case BarrierReady():
                    self.counts["ready"] += 1
                    host.freshness.add_sample(
                        effect.sent_at, effect.position, effect.promised_term
                    )
                    for read in effect.read_ids:
                        self.check_read(
                            host, self.pending_reads.pop(read), effect
                        )
                case BarrierFailed():
                    self.counts[effect.failure.kind.value] += 1
                    for read in effect.read_ids:
                        del self.pending_reads[read]

    def request_round_status(self, host, number, name):
        self.request_status(
            host,
            name,
            lambda status: self.barrier(
                host, StatusReceived(number, name, status)
            ),
            lambda: self.barrier(host, StatusFailed(number, name)),
        )

    def confirm(self, host, event):
        for effect in host.confirmations.step(event, self.now):
            match effect:
                case PollPositions():
                    for name in effect.endpoints:
                        self.request_position(host, name)
                case RequestTermStarts():
                    self.request_history(host, effect.endpoint)
                case Confirmed():
                    self.check_confirmed(
                        self.pending_writes.pop(effect.write_id)
                    )
                case WriteAbsent():
                    self.check_absent(self.pending_writes.pop(effect.write_id))
                case OutcomeUnknown():
                    self.counts["unknown"] += 1
                    del self.pending_writes[effect.write_id]

    def request_position(self, host, name):
        self.request_status(
            host,
            name,
            lambda status: self.confirm(host, PositionReceived(name, status)),
            lambda: self.confirm(host, PollFailed(name)),
        )

    def request_history(self, host, name):
        self.request_status(
            host,
            name,
            lambda status: self.confirm(
                host, TermStartsReceived(name, status)
            ),
            lambda: self.confirm(host, TermStartsFailed(name)),
        )

    def check_read(self, host, confirmed_count, ready):
        """Check that endpoints eligible for a read hold all earlier writes."""
        for name in self.group.endpoints:
            if name in ready.holders:
                # Proven for the incarnation of the voter that answered.
                self.counts["served"] += 1
                self.check_holds(
                    host, name, confirmed_count, "holder", voter=True
                )
            if host.freshness.holds_position(
                name, ready.position
            ) and host.freshness.has_promised_term(name, ready.promised_term):
                self.counts["served"] += 1
                self.check_holds(host, name, confirmed_count, "read")

    def check_ages(self, host):
        """Check that data of proven age A holds all writes confirmed A ago."""
        for name in self.group.endpoints:
            age = host.freshness.proven_age_s(name, self.now)
            if age is None:
                continue
            self.counts["age_proven"] += 1
            before = self.now - age - 1e-9
            confirmed_count = sum(
                1 for at, _ in self.confirmed_writes if at < before
            )
            self.check_holds(host, name, confirmed_count, f"age {age:.3f}")

    def check_holds(
        self, host, name, confirmed_count, description, voter=False
    ):
        endpoint = self.group.endpoints[name]
        incarnation = None if voter else host.freshness.incarnation(name)
        if incarnation is None:
            record = host.record
            incarnation = record.incarnations[record.voters.index(name)]
        if str(endpoint.incarnation) != incarnation:
            # Connections to the previous incarnation are closed.
            return
        missing = {
            entry for _, entry in self.confirmed_writes[:confirmed_count]
        }
        missing -= endpoint.entries()
        assert not missing, f"{description} at {name} lacks {sorted(missing)}"

    def check_confirmed(self, entry):
        self.counts["confirmed"] += 1
        self.confirmed_writes.append((self.now, entry))
        term = self.entry_term(entry)
        if term is None or term < self.group.record.term:
            assert entry in self.group.established_log_entries, (
                f"{entry} is lost"
            )

    def check_absent(self, entry):
        self.counts["absent"] += 1
        self.absent_writes.add(entry)
        assert entry not in self.group.established_log_entries, (
            f"{entry} is present"
        )

    def check_established(self):
        self.counts["established"] += 1
        confirmed = {entry for _, entry in self.confirmed_writes}
        lost = confirmed - self.group.established_log_entries
        assert not lost, f"established term lacks {sorted(lost)}"
        reappeared = self.absent_writes & self.group.established_log_entries
        assert not reappeared, (
            f"established term has absent writes {sorted(reappeared)}"
        )

    def entry_term(self, entry):
        for endpoint in self.group.endpoints.values():
            for term, each in endpoint.log:
                if each == entry:
                    return term
        return None

    def finish(self):
        """Heal all faults and check that every read and write completes."""
        self.do_heal()
        self.group.skip_probability = dict.fromkeys(
            self.group.skip_probability, 0.0
        )
        for _ in range(400):
            self.now += 0.02
            self.do_tick()
            for action in ("replicate", "replicate", "advance", "publish"):
                getattr(self, f"do_{action}")()
            for _ in range(20):
                self.do_deliver()
        assert not self.pending_reads, (
            f"reads without an outcome: {self.pending_reads}"
        )
        assert not self.pending_writes, (
            f"writes without an outcome: {self.pending_writes}"
        )


def run_random(seed: int, steps: int) -> collections.Counter:
    """Run `steps` random actions and return the counts of events."""
    run = Simulation(seed)
    # The weights vary between runs, because some combinations of faults occur
    # only with uncommon weights.
    names = list(ACTIONS)
    weights = [
        weight * run.rng.choice((0.2, 1.0, 1.0, 4.0))
        for weight in ACTIONS.values()
    ]
    for action in run.rng.choices(names, weights, k=steps):
        run.step(action)
    run.finish()
    return run.counts


def _term_changed(record) -> TermChanged:
    return TermChanged(
        record.voters, record.incarnations, record.primary, record.term
    )


def main() -> None:
    """Execute the runs and print the total counts."""
    first, count, steps = (int(argument) for argument in sys.argv[1:4])
    totals = collections.Counter()
    for seed in range(first, first + count):
        try:
            totals += run_random(seed, steps)
        except AssertionError as err:
            print(f"seed {seed}: {err}")
            raise
    print(dict(totals))


if __name__ == "__main__":
    main()
