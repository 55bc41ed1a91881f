"""Random runs of the session machines against the group model.

``python -m chivescale.session.tests.random_run SEED COUNT STEPS`` repeats
runs with consecutive seeds.
"""

import collections
import random
import sys

from chivescale.session import (
    AskFailed,
    AskHistory,
    AskPositions,
    BarrierFailed,
    BarrierReady,
    Barriers,
    Confirmations,
    Confirmed,
    Freshness,
    HistoryFailed,
    HistoryReceived,
    Join,
    PositionReceived,
    ProvedAbsent,
    StartRound,
    StatusFailed,
    StatusReceived,
    TermChanged,
    TermEstablished,
    Tick,
    Unknown,
    Wait,
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
    "wipe": 1,
    "tick": 6,
}


class Host:
    """Entry host with the machines of one service."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.barriers = Barriers(_term(record))
        self.confirmations = Confirmations(record)
        self.freshness = Freshness(max_samples=16)
        self.freshness.term_changed(record)


class Run:
    """World of one random run; `check_` methods raise on a violation."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.group = Group(self.rng, self.rng.choice((1, 3, 3, 3, 5)))
        record = self.group.record
        self.hosts = [Host("h0", record), Host("h1", record)]
        for host in self.hosts:
            self.group.side[host.name] = 0
        self.mail: list = []
        self.serial = 0
        self.acked: list[tuple[float, str]] = []
        self.absent: set[str] = set()
        self.reads: dict[int, int] = {}
        self.writes: dict[int, str] = {}
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
        self.serial += 1
        number = self.serial
        position = self.group.write(primary, f"w{number}")
        if position is not None:
            self.writes[number] = f"w{number}"
            deadline = self.now + self.rng.uniform(0.1, 3.0)
            wait = Wait(number, position, deadline)
            self.mail.append(lambda: self.confirm(host, wait))

    def do_read(self):
        host = self.rng.choice(self.hosts)
        self.serial += 1
        self.reads[self.serial] = len(self.acked)
        deadline = self.now + self.rng.uniform(0.05, 3.0)
        self.barrier(host, Join(self.serial, deadline))

    def do_replicate(self):
        self.group.replicate()

    def do_deliver(self):
        if self.mail:
            self.mail.pop(self.rng.randrange(len(self.mail)))()

    def do_advance(self):
        established = len(self.group.records)
        self.group.advance()
        if len(self.group.records) > established:
            self.check_established()

    def do_publish(self):
        # The second host learns of terms late.
        host = self.rng.choice(self.hosts[:1] * 10 + self.hosts)
        record = self.rng.choice(self.group.records[-2:])
        if record.term > host.record.term:
            host.record = record
        host.freshness.term_changed(record)
        self.barrier(host, _term(record))
        self.confirm(host, TermEstablished(record))

    def do_begin(self):
        self.group.begin()
        self.counts["begin"] += 1

    def do_partition(self):
        for name in self.group.side:
            self.group.side[name] = int(self.rng.random() < 0.3)

    def do_heal(self):
        for name in self.group.side:
            self.group.side[name] = 0

    def do_wipe(self):
        self.group.wipe()

    def do_tick(self):
        for host in self.hosts:
            self.barrier(host, Tick())
            self.confirm(host, Tick())

    def connected(self, host, name):
        side = self.group.side
        return side[host.name] == side[name]

    def ask(self, host, name, answer, failed):
        """Send a question whose answer or failure arrives later."""
        sent_at = self.now

        def serve():
            if not self.connected(host, name) or self.rng.random() < 0.1:
                if self.rng.random() < 0.5:
                    self.mail.append(failed)
                return
            status = self.group.endpoints[name].status()

            def arrive():
                if self.rng.random() < 0.9:
                    host.freshness.record_status(
                        name, status, sent_at, self.now
                    )
                answer(status)

            self.mail.append(arrive)

        self.mail.append(serve)

    def barrier(self, host, event):
        for effect in host.barriers.step(event, self.now):
            match effect:
                case StartRound():
                    for name in effect.endpoints:
                        self.ask_round(host, effect.round, name)
                case BarrierReady():
                    self.counts["ready"] += 1
                    host.freshness.add_sample(
                        effect.sent_at, effect.position, effect.promised_term
                    )
                    for read in effect.read_ids:
                        self.check_read(host, self.reads.pop(read), effect)
                case BarrierFailed():
                    self.counts[effect.failure.kind.value] += 1
                    for read in effect.read_ids:
                        del self.reads[read]

    def ask_round(self, host, number, name):
        self.ask(
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
                case AskPositions():
                    for name in effect.endpoints:
                        self.ask_position(host, name)
                case AskHistory():
                    self.ask_history(host, effect.endpoint)
                case Confirmed():
                    self.check_confirmed(self.writes.pop(effect.write_id))
                case ProvedAbsent():
                    self.check_absent(self.writes.pop(effect.write_id))
                case Unknown():
                    self.counts["unknown"] += 1
                    del self.writes[effect.write_id]

    def ask_position(self, host, name):
        self.ask(
            host,
            name,
            lambda status: self.confirm(host, PositionReceived(name, status)),
            lambda: self.confirm(host, AskFailed(name)),
        )

    def ask_history(self, host, name):
        self.ask(
            host,
            name,
            lambda status: self.confirm(host, HistoryReceived(name, status)),
            lambda: self.confirm(host, HistoryFailed(name)),
        )

    def check_read(self, host, acked, ready):
        """An endpoint that may serve a read has all writes acked before."""
        for name in self.group.endpoints:
            if name in ready.holders:
                # Proved for the incarnation of the voter, which answered.
                self.counts["served"] += 1
                self.check_has(host, name, acked, "holder", voter=True)
            if host.freshness.holds(
                name, ready.position
            ) and host.freshness.promised_ok(name, ready.promised_term):
                self.counts["served"] += 1
                self.check_has(host, name, acked, "read")

    def check_ages(self, host):
        """Data of proven age A has every write acked A ago or earlier."""
        for name in self.group.endpoints:
            age = host.freshness.proven_age_s(name, self.now)
            if age is None:
                continue
            self.counts["aged"] += 1
            before = self.now - age - 1e-9
            acked = sum(1 for at, _ in self.acked if at < before)
            self.check_has(host, name, acked, f"age {age:.3f}")

    def check_has(self, host, name, acked, what, voter=False):
        endpoint = self.group.endpoints[name]
        incarnation = None if voter else host.freshness.incarnation(name)
        if incarnation is None:
            record = host.record
            incarnation = record.incarnations[record.voters.index(name)]
        if str(endpoint.incarnation) != incarnation:
            # The connections to the lost incarnation are closed.
            return
        missing = {entry for _, entry in self.acked[:acked]}
        missing -= endpoint.entries()
        assert not missing, f"{what} at {name} misses {sorted(missing)}"

    def check_confirmed(self, entry):
        self.counts["confirmed"] += 1
        self.acked.append((self.now, entry))
        term = self.entry_term(entry)
        if term is None or term < self.group.record.term:
            assert entry in self.group.established, f"{entry} is lost"

    def check_absent(self, entry):
        self.counts["absent"] += 1
        self.absent.add(entry)
        assert entry not in self.group.established, f"{entry} is present"

    def check_established(self):
        self.counts["established"] += 1
        acked = {entry for _, entry in self.acked}
        lost = acked - self.group.established
        assert not lost, f"established term lacks {sorted(lost)}"
        back = self.absent & self.group.established
        assert not back, f"established term has absent {sorted(back)}"

    def entry_term(self, entry):
        for endpoint in self.group.endpoints.values():
            for term, each in endpoint.log:
                if each == entry:
                    return term
        return None

    def finish(self):
        """Heal everything; every read and write must come to an end."""
        self.do_heal()
        self.group.lag = dict.fromkeys(self.group.lag, 0.0)
        for _ in range(400):
            self.now += 0.02
            self.do_tick()
            for action in ("replicate", "replicate", "advance", "publish"):
                getattr(self, f"do_{action}")()
            for _ in range(20):
                self.do_deliver()
        assert not self.reads, f"reads without an answer: {self.reads}"
        assert not self.writes, f"writes without an answer: {self.writes}"


def run_random(seed: int, steps: int) -> collections.Counter:
    """Run `steps` random actions and return what happened."""
    run = Run(seed)
    # Each run has its own mix: some faults only meet in uncommon mixes.
    names = list(ACTIONS)
    weights = [
        weight * run.rng.choice((0.2, 1.0, 1.0, 4.0))
        for weight in ACTIONS.values()
    ]
    for action in run.rng.choices(names, weights, k=steps):
        run.step(action)
    run.finish()
    return run.counts


def _term(record) -> TermChanged:
    return TermChanged(
        record.voters, record.incarnations, record.primary, record.term
    )


def main() -> None:
    """Repeat runs and print the totals."""
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
