"""Model of hosts, coordinators and endpoints around promotions.

It drives the product's `Grantor`, `LeaseHolder` and `is_revoked` in any
order of events, with lost and late messages, and checks two rules: no write
is acknowledged that a former primary committed after its successor took
over, and no read misses a commit that it must see.

``python -m chivescale.lease.tests.lease_model --steps 100000`` runs longer
than the test does.
"""

import argparse
import random
import typing

import msgspec

from chivescale.lease import (
    GRANT_S,
    Epoch,
    Grantor,
    GroupView,
    LeaseHolder,
    RevocationStatus,
    is_revoked,
)

SERVICE = "ledger"
ENDPOINTS = ("a", "b", "c")
ACCEPTED_STALENESS_S = 1.0
# Clocks run at rates that differ by less than this fraction.
MAX_RATE_DIFFERENCE = 0.009


FLAWS = (
    "no leases",
    "answers not verified",
    "grants passed on not awaited",
    "grants before a restart forgotten",
    "claimant promoted",
)


class Violation(AssertionError):
    """A rule that the model found broken."""


class Endpoint(msgspec.Struct):
    """Endpoint with its log of commit numbers.

    Attributes
    ----------
    claims : bool
        Whether it considers itself the primary.
    """

    name: str
    claims: bool = False
    log: list[int] = []


class Coordinator(msgspec.Struct):
    """Member of the group.

    Attributes
    ----------
    length : int
        Number of entries in its log, a prefix of the log of the model.
    applied : int
        Number of entries that it knows as committed.
    """

    name: str
    grantor: Grantor
    length: int = 0
    applied: int = 0


class Host(msgspec.Struct):
    """Entry host.

    Attributes
    ----------
    rate : float
        Rate of its clock.
    believed : str
        Primary that it uses if there are no leases.
    proof : tuple of (float, frozenset of int) or None
        Time at which a primary was last asked for its log, and the log.
    """

    name: str
    rate: float
    holder: LeaseHolder
    believed: str = "a"
    proof: tuple[float, frozenset[int]] | None = None


class Promotion(msgspec.Struct):
    """Promotion that a leader carries out.

    Attributes
    ----------
    index : int
        Index of its entry in the log, from 1.
    statuses : dict
        What the members answered, as for `is_revoked`.
    ordered : bool
        Whether the platform was told.
    """

    index: int
    leader: str
    endpoint: str
    statuses: dict[str, tuple[float, RevocationStatus]] = {}
    ordered: bool = False


class Model:
    """State of all processes; each public method is one possible event.

    Parameters
    ----------
    rng : random.Random
        Chooses what takes part in an event.
    flaw : str
        Rule that the processes do not follow, one of `FLAWS`; empty if they
        follow all.
    fenced : bool
        Whether an endpoint knows at once that it was replaced.
    members, hosts : int
        Number of coordinators and entry hosts.
    """

    def __init__(self, rng, flaw="", fenced=False, members=3, hosts=3):
        self.rng = rng
        self.flaw = flaw
        self.leases = flaw != "no leases"
        self.fenced = fenced
        self.time = 100.0
        self.endpoints = {name: Endpoint(name, log=[]) for name in ENDPOINTS}
        self.endpoints["a"].claims = True
        self.primary = "a"
        self.log: list[Epoch] = []
        self.committed = 0
        self.members = {
            f"m{n}": Coordinator(f"m{n}", Grantor(f"m{n}", -GRANT_S))
            for n in range(members)
        }
        self.leader = "m0"
        spread = MAX_RATE_DIFFERENCE / 2
        self.hosts = [
            Host(f"h{n}", 1 + rng.uniform(-spread, spread), LeaseHolder())
            for n in range(hosts)
        ]
        self.promotion: Promotion | None = None
        self.late: list[typing.Callable[[], None]] = []
        self.commits = 0
        self.acknowledged: dict[int, float] = {}
        self.replaced_at: dict[str, float] = {}
        self.counts = dict.fromkeys(("writes", "reads", "promotions"), 0)

    def clock(self, host: Host) -> float:
        """Return the time on the clock of a host."""
        return self.time * host.rate

    def _later(self, message: typing.Callable[[], None]) -> None:
        """Deliver a message now, later or never."""
        draw = self.rng.random()
        if draw < 0.6:
            self.time += self.rng.uniform(0.0, 0.003)
            message()
        elif draw < 0.9:
            self.late.append(message)

    # Time and messages.

    def wait(self) -> None:
        """Let time pass."""
        self.time += self.rng.choice((0.001, 0.01, 0.05))

    def wait_long(self) -> None:
        """Let about the duration of a grant pass."""
        self.time += self.rng.uniform(0.3, 1.1) * GRANT_S

    def deliver(self) -> None:
        """Deliver one message that is late."""
        if self.late:
            self.late.pop(self.rng.randrange(len(self.late)))()

    # Group of coordinators.

    def replicate(self) -> None:
        """Copy the log of the leader to a member."""
        member = self.rng.choice(list(self.members.values()))
        member.length = self.members[self.leader].length
        lengths = sorted(m.length for m in self.members.values())
        majority = lengths[(len(lengths) - 1) // 2]
        self.committed = max(self.committed, majority)
        for known in (member, self.members[self.leader]):
            self._apply(known, min(self.committed, known.length))

    def _apply(self, member: Coordinator, applied: int) -> None:
        for index in range(member.applied, applied):
            member.grantor.learn({SERVICE: self.log[index]})
        member.applied = max(member.applied, applied)

    def elect(self) -> None:
        """Let a member with all committed entries lead."""
        able = [
            m.name
            for m in self.members.values()
            if sum(m.length >= o.length for o in self.members.values()) * 2
            > len(self.members)
            and m.length >= self.committed
        ]
        self.leader = self.rng.choice(able)
        length = self.members[self.leader].length
        del self.log[length:]
        for member in self.members.values():
            member.length = min(member.length, length)
        self.promotion = None

    def restart(self) -> None:
        """Restart a member: it remembers only its log."""
        member = self.rng.choice(list(self.members.values()))
        started_at = self.time
        if self.flaw == "grants before a restart forgotten":
            started_at -= GRANT_S
        member.grantor = Grantor(member.name, started_at)
        member.applied = 0
        if member.name == self.leader:
            self.elect()

    def _view(self, member: Coordinator) -> GroupView:
        pending = (SERVICE,) if member.length > member.applied else ()
        return GroupView("q", len(self.members), True, pending)

    def exchange(self) -> None:
        """Let a member renew the grant that it passes on of another one."""
        names = self.rng.sample(sorted(self.members), 2)
        asking, asked = (self.members[name] for name in names)
        sent_at, grantor = self.time, asking.grantor

        def receive():
            answer = asked.grantor.answer_peer(
                asking.name,
                asking.grantor.table.index,
                self._view(asked),
                self.time,
            )
            self._later(lambda: grantor.record_answer(answer, sent_at))

        self._later(receive)

    # Entry hosts.

    def poll(self) -> None:
        """Let a host ask a member for epochs and grants."""
        host = self.rng.choice(self.hosts)
        member = self.rng.choice(list(self.members.values()))
        sent_at = self.clock(host)
        confirmed = host.holder.confirm()

        def receive():
            received_at = self.time
            member.grantor.record_request(host.name, confirmed)
            self._later(lambda: reply(received_at))

        def reply(received_at):
            answer = member.grantor.answer_host(
                host.name,
                confirmed,
                self._view(member),
                received_at,
                self.time,
            )
            self._later(lambda: apply(answer))

        def apply(answer):
            host.holder.apply(answer, sent_at, self.clock(host))
            epoch = member.grantor.table.get(SERVICE)
            host.believed = epoch.endpoint or host.believed

        self._later(receive)

    def _target(self, host: Host) -> tuple[Endpoint, int] | None:
        """Return the endpoint that a host may use, and its epoch."""
        if not self.leases:
            return self.endpoints[host.believed], 0
        epoch = host.holder.epoch(SERVICE)
        if not host.holder.holds(SERVICE, epoch.index, self.clock(host)):
            return None
        return self.endpoints[epoch.endpoint or "a"], epoch.index

    def _holds(self, host: Host, epoch: int, time: float) -> bool:
        return not self.leases or host.holder.holds(SERVICE, epoch, time)

    def write(self) -> None:
        """Let a host write on its primary."""
        host = self.rng.choice(self.hosts)
        target = self._target(host)
        if target is None:
            return
        endpoint, epoch = target

        def run():
            if not endpoint.claims:
                return
            self.commits += 1
            commit, at = self.commits, self.time
            replaced = self.primary != endpoint.name
            endpoint.log = [*endpoint.log, commit]
            self._later(lambda: answer(commit, at, replaced))

        def answer(commit, at, replaced):
            verified = self.flaw != "answers not verified"
            if verified and not self._holds(host, epoch, self.clock(host)):
                return
            if replaced:
                raise Violation(
                    f"write {commit} at {at:.3f} on replaced {endpoint.name}"
                )
            self.counts["writes"] += 1
            if commit in self.endpoints[self.primary].log:
                self.acknowledged[commit] = self.time

        self._later(run)

    def read(self) -> None:
        """Let a host read on its primary."""
        host = self.rng.choice(self.hosts)
        needed = set(self.acknowledged)
        target = self._target(host)
        if target is None:
            return
        endpoint, _ = target

        def run():
            if endpoint.claims:
                seen = set(endpoint.log)
                self._later(lambda: self._check(needed, seen, endpoint))

        self._later(run)

    def _check(self, needed, seen, endpoint) -> None:
        self.counts["reads"] += 1
        missed = (needed & self.acknowledged.keys()) - seen
        if missed:
            raise Violation(f"read on {endpoint.name} missed {missed}")

    def prove(self) -> None:
        """Let a host ask its primary for the position of its log."""
        host = self.rng.choice(self.hosts)
        target = self._target(host)
        if target is None:
            return
        endpoint, epoch = target
        sent_at = self.clock(host)

        def run():
            if endpoint.claims:
                log = frozenset(endpoint.log)
                self._later(lambda: record(log))

        def record(log):
            newer = host.proof is None or sent_at > host.proof[0]
            if newer and self._holds(host, epoch, sent_at):
                host.proof = (sent_at, log)

        self._later(run)

    def read_bounded(self) -> None:
        """Let a host read on an endpoint that has what was proved."""
        host = self.rng.choice(self.hosts)
        endpoint = self.endpoints[self.rng.choice(ENDPOINTS)]
        if host.proof is None:
            return
        sent_at, proved = host.proof
        if self.clock(host) - sent_at > ACCEPTED_STALENESS_S:
            return
        seen = set(endpoint.log)
        if (proved & self._surviving()) - seen:
            return
        oldest = self.time - ACCEPTED_STALENESS_S * 1.01
        needed = {c for c, at in self.acknowledged.items() if at < oldest}
        self._check(needed, seen, endpoint)

    def _surviving(self) -> set[int]:
        """Return the commits that no promotion has rolled back."""
        return set(self.endpoints[self.primary].log)

    # Endpoints.

    def receive(self) -> None:
        """Let a replica receive the log of the primary."""
        replica = self.endpoints[self.rng.choice(ENDPOINTS)]
        source = self.endpoints[self.primary]
        if replica is not source:
            replica.log = list(source.log)
            # It has reached its successor and knows that it was replaced.
            replica.claims = False

    # Promotions.

    def promote(self) -> None:
        """Let the leader propose to promote an endpoint."""
        leader = self.members[self.leader]
        if self.promotion is not None or leader.length != len(self.log):
            return
        # An endpoint that claims to be primary may have been replaced.
        replicas = [
            e.name
            for e in self.endpoints.values()
            if not e.claims or self.flaw == "claimant promoted"
        ]
        if not replicas:
            return
        endpoint = self.rng.choice(replicas)
        self.log.append(Epoch(len(self.log) + 1, endpoint))
        leader.length = len(self.log)
        self.promotion = Promotion(
            leader.length, leader.name, endpoint, statuses={}
        )

    def revoke(self) -> None:
        """Let the leader ask a member whether former leases have ended."""
        promotion = self.promotion
        if promotion is None or self.committed < promotion.index:
            return
        member = self.rng.choice(list(self.members.values()))

        def receive():
            index = promotion.index
            if self.promotion is not promotion or member.length < index:
                return
            self._apply(member, index)
            status = member.grantor.status(index, self.time)
            self._later(lambda: record(status))

        def record(status):
            if self.flaw == "grants passed on not awaited":
                status = msgspec.structs.replace(status, passed_s={})
            promotion.statuses[member.name] = (self.time, status)

        self._later(receive)

    def order(self) -> None:
        """Let the leader order the promotion once it may."""
        promotion = self.promotion
        if promotion is None or self.committed < promotion.index:
            return
        if self.leases and not is_revoked(
            promotion.statuses, list(self.members), self.time
        ):
            return
        self.promotion = None
        self._take_effect(promotion.endpoint)

    def _take_effect(self, name: str) -> None:
        if name == self.primary:
            return
        former, chosen = self.endpoints[self.primary], self.endpoints[name]
        self.primary = name
        chosen.claims = True
        if self.fenced:
            former.claims = False
        for commit in set(self.acknowledged) - set(chosen.log):
            del self.acknowledged[commit]
        self.counts["promotions"] += 1


EVENTS = {
    Model.wait: 4,
    Model.wait_long: 0.1,
    Model.deliver: 8,
    Model.replicate: 12,
    Model.elect: 0.1,
    Model.restart: 0.05,
    Model.exchange: 6,
    Model.poll: 20,
    Model.write: 8,
    Model.read: 4,
    Model.prove: 4,
    Model.read_bounded: 4,
    Model.receive: 4,
    Model.promote: 0.4,
    Model.revoke: 8,
    Model.order: 4,
}


def run_random(seed: int, steps: int, **options) -> Model:
    """Run random events; raise `Violation` if a rule is broken."""
    rng = random.Random(seed)
    model = Model(rng, **options)
    events, weights = list(EVENTS), list(EVENTS.values())
    for step in range(steps):
        try:
            rng.choices(events, weights)[0](model)
        except Violation as err:
            raise Violation(f"seed {seed}, step {step}: {err}") from None
    return model


def main() -> None:
    """Run the model from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--flaw", choices=FLAWS, default="")
    options = parser.parse_args()
    model = run_random(
        options.seed,
        options.steps,
        flaw=options.flaw,
        members=options.members,
    )
    print(model.counts)


if __name__ == "__main__":
    main()
