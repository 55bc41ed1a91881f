"""Sends statements to the endpoints, from here or through a gateway."""

import collections.abc
import random

from chivescale.clock import now
from chivescale.dialect import Reply
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.gateway import Answer, Peer, Run
from chivescale.messages import EntryHostRecord
from chivescale.relay._executor import Executor
from chivescale.relay._offers import Offers
from chivescale.relay._outcomes import aborted, write_failure
from chivescale.relay._transaction import Transaction
from chivescale.relay._work import MIN_ATTEMPT_S, Outcome, Work
from chivescale.telemetry import log_event

# Gateways that one statement is offered to.
MAX_GATEWAYS = 3
# A gateway ends a statement at its time limit itself; its answer needs this
# long at most to arrive.
ANSWER_SLACK_S = 0.1
# A read without an answer for this long is offered to a second gateway. It
# is above the usual latency of a read with a lost answer at its endpoint,
# which the gateway handles itself.
HEDGE_S = 0.35
# A gateway of another zone is chosen over one of the own zone with this many
# more statements waiting.
OTHER_ZONE_WAITING = 6

# Answers of a gateway after which another one may be asked.
ASK_ANOTHER = frozenset(
    {
        ErrorKind.ENDPOINT_FULL,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.UNREACHABLE,
    }
)


class Forwarder:
    """Executor that knows which host is connected to which service.

    Parameters
    ----------
    name, zone : str
        Of this host.
    local : Executor
        Runs statements over the links of this host.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    gateways : dict of str to frozenset of str
        Hosts that are connected to each service.
    peers : dict of str to Peer
        Other hosts by name.
    former : list of Peer
        Gateways that have left and are still connected.
    """

    def __init__(
        self, name: str, zone: str, local: Executor, rng: random.Random
    ):
        self.name = name
        self.zone = zone
        self.local = local
        self.rng = rng
        self.gateways: dict[str, frozenset[str]] = {}
        self.peers: dict[str, Peer] = {}
        self.former: list[Peer] = []
        self.offers = Offers()

    def update(
        self,
        hosts: collections.abc.Iterable[EntryHostRecord],
        gateways: dict[str, frozenset[str]],
    ) -> None:
        """Take over which hosts there are and what they are connected to."""
        records = {host.name: host for host in hosts}
        for name, peer in list(self.peers.items()):
            record = records.get(name)
            if record is None or record.address != peer.address:
                # Its open transactions go on until it closes.
                peer.leaving = True
                if peer.channel is None:
                    peer.close()
                self.former.append(self.peers.pop(name))
        wanted = frozenset().union(*gateways.values()) - {self.name}
        for name in sorted(wanted - self.peers.keys()):
            record = records[name]
            self.peers[name] = Peer(
                self.name, name, record.zone, record.address
            )
        if gateways != self.gateways:
            self.gateways = gateways
            log_event(
                "gateways",
                hosts=len(records),
                connected_to=",".join(
                    s for s, names in gateways.items() if self.name in names
                ),
                counts=",".join(
                    f"{s}:{len(names)}" for s, names in gateways.items()
                ),
            )

    def serves(self, service: str) -> bool:
        """Tell whether this host connects to the endpoints itself."""
        names = self.gateways.get(service)
        return not names or self.name in names

    def choose(self, service: str, excluded: set[str]) -> Peer | None:
        """Return the gateway with the least waiting, near ones first."""
        time = now()
        costs = [
            (
                peer.load(time)
                + (0 if peer.zone == self.zone else OTHER_ZONE_WAITING)
                + self.rng.random(),
                name,
                peer,
            )
            for name in self.gateways.get(service, ())
            if name not in excluded
            and (peer := self.peers.get(name)) is not None
            and peer.usable
        ]
        return min(costs)[2] if costs else None

    async def reaches(self, service: str) -> bool:
        """Tell whether the primary, or a gateway of a service, answers."""
        if self.serves(service):
            failure = await self.local.proofs.barrier(
                self.local.service_of(service)
            )
            return failure is None
        excluded: set[str] = set()
        while (peer := self.choose(service, excluded)) is not None:
            if await peer.reachable() or len(excluded) >= MAX_GATEWAYS:
                return peer.channel is not None
            excluded.add(peer.name)
        return False

    def check_silence(self, time: float) -> None:
        """Check gateways whose answers are late."""
        self.former = [p for p in self.former if p.channel is not None]
        for peer in (*self.peers.values(), *self.former):
            peer.check_silence(time)

    def close(self) -> None:
        """Close the connections to gateways."""
        for peer in (*self.peers.values(), *self.former):
            peer.close()

    # Statements.

    async def run_single(self, work: Work) -> Outcome:
        """Run a statement outside a transaction."""
        service = work.route.service
        if self.serves(service):
            return await self.local.run_single(work)
        if work.writes:
            return await self._write(service, work)
        return await self._read(service, work)

    async def _write(self, service: str, work: Work) -> Outcome:
        excluded: set[str] = set()
        failure = _no_gateway(service)
        while len(excluded) < MAX_GATEWAYS and not work.expired():
            peer = self.choose(service, excluded)
            if peer is None:
                break
            excluded.add(peer.name)
            outcome = await self._ask(peer, work, None)
            if not is_failure(outcome):
                return outcome
            if outcome.kind not in ASK_ANOTHER:
                return write_failure(outcome)
            failure = outcome
        return failure

    async def _read(self, service: str, work: Work) -> Outcome:
        """Offer a read to one gateway after the other.

        One that does not answer for long is not waited for alone.
        """
        self.offers.retries.record_request()
        excluded: set[str] = set()

        def choose() -> Peer | None:
            if len(excluded) >= MAX_GATEWAYS or work.expired():
                return None
            return self.choose(service, excluded)

        def offer(peer: Peer):
            excluded.add(peer.name)
            return self._ask(peer, work, None), HEDGE_S

        async def exhausted(failure: Failure) -> Failure:
            return work.expired() or failure

        return await self.offers.first_answer(
            choose, offer, _may_ask_another, exhausted, _no_gateway(service)
        )

    # Transactions.

    async def run_in_transaction(
        self, transaction: Transaction, work: Work
    ) -> Outcome:
        """Run a statement of an open transaction."""
        if transaction.peer is None and self._runs_here(transaction):
            return await self.local.run_in_transaction(transaction, work)
        transaction.wrote = transaction.wrote or work.writes
        outcome = await self._run_remote(transaction, work)
        if is_failure(outcome):
            self.abandon(transaction)
            return aborted(outcome)
        return outcome

    async def commit(self, transaction: Transaction, work: Work) -> Outcome:
        """Commit an open transaction."""
        if transaction.peer is None and self._runs_here(transaction):
            return await self.local.commit(transaction, work)
        outcome = await self._run_remote(transaction, work)
        transaction.peer = None
        if not is_failure(outcome):
            return outcome
        return (
            write_failure(outcome) if transaction.wrote else (aborted(outcome))
        )

    def abandon(self, transaction: Transaction) -> None:
        """Roll back a transaction without waiting for it."""
        peer, transaction.peer = transaction.peer, None
        if peer is not None:
            peer.roll_back(transaction.number)
        self.local.abandon(transaction)

    def _runs_here(self, transaction: Transaction) -> bool:
        return transaction.link is not None or self.serves(
            transaction.route.service
        )

    async def _run_remote(
        self, transaction: Transaction, work: Work
    ) -> Outcome:
        if transaction.peer is not None:
            return await self._ask(transaction.peer, work, transaction)
        service = transaction.route.service
        excluded: set[str] = set()
        failure = _no_gateway(service)
        while len(excluded) < MAX_GATEWAYS and not work.expired():
            peer = self.choose(service, excluded)
            if peer is None:
                break
            excluded.add(peer.name)
            transaction.peer = peer
            transaction.number = peer.next_number()
            outcome = await self._ask(peer, work, transaction, begins=True)
            if not is_failure(outcome) or outcome.kind not in ASK_ANOTHER:
                return outcome
            transaction.peer = None
            failure = outcome
        return failure

    # Calls.

    async def _ask(
        self,
        peer: Peer,
        work: Work,
        transaction: Transaction | None,
        begins: bool = False,
    ) -> Outcome:
        work.gateway = peer.name
        time = now()
        left_s = work.left_s(time)
        if left_s < MIN_ATTEMPT_S:
            return work.expired()
        message = _message(peer.next_number(), work, transaction, begins)
        answer = await peer.run(message, left_s + ANSWER_SLACK_S)
        if is_failure(answer):
            return answer
        return _take_answer(work, answer)


def _message(
    number: int, work: Work, transaction: Transaction | None, begins: bool
) -> Run:
    statement, route, session = work.statement, work.route, work.session
    time = now()
    definition = work.definition
    return Run(
        number=number,
        request_id=statement.request_id,
        kind=statement.kind,
        text=statement.text,
        name=statement.name,
        argument=statement.argument,
        writes=work.writes,
        service=route.service,
        consistency=str(route.consistency),
        statement_timeout_ms=route.statement_timeout_ms,
        latency_goal_ms=route.latency_goal_ms,
        priority=route.priority,
        accepted_staleness_ms=route.accepted_staleness_ms,
        age_s=time - work.arrived_at,
        values=session.values,
        definition=(
            (definition.writes, definition.text) if definition else None
        ),
        own=session.positions.get(route.service),
        transaction=transaction.number if transaction else 0,
        begins=begins,
        read_only=transaction.read_only if transaction else False,
        begun_age_s=time - transaction.arrived_at if transaction else 0.0,
    )


def _take_answer(work: Work, answer: Answer) -> Outcome:
    """Note what decided and return the outcome."""
    work.attempts += answer.attempts
    work.endpoint = answer.endpoint or work.endpoint
    work.need = answer.need
    work.proof_age_s = answer.proof_age_s
    if answer.kind is not None:
        return Failure(answer.kind, answer.reason)
    if answer.commit is not None:
        work.session.note_commit(work.route.service, answer.commit)
    return Reply(answer.rows, answer.signature)


def _may_ask_another(failure: Failure) -> bool:
    """Tell whether a read may be offered to another gateway."""
    return (
        failure.kind in ASK_ANOTHER
        or failure.kind is ErrorKind.READ_INTERRUPTED
    )


def _no_gateway(service: str) -> Failure:
    """Return the refusal while no gateway can be reached."""
    reason = f"no gateway to {service} can be reached"
    return Failure(ErrorKind.OVERLOADED, reason)
