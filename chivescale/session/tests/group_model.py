"""Reference model of a database group with terms, promises and failovers."""

import random

import msgspec

from chivescale.messages import (
    EndpointStatus,
    Position,
    ServiceRecord,
    TermStart,
)
from chivescale.session import quorum_of

SERVICE = "ledger"


class Endpoint:
    """One endpoint; its log holds (term, entry id) pairs."""

    def __init__(self, name: str):
        self.name = name
        self.incarnation = 1
        self.promised = 0
        self.primary_of = 0
        self.log: list[tuple[int, str]] = []

    def last(self) -> Position:
        term = self.log[-1][0] if self.log else 0
        return Position(term, len(self.log))

    def entries(self) -> set[str]:
        return {entry for _, entry in self.log}

    def promise(self, term: int) -> None:
        self.promised = max(self.promised, term)
        if self.primary_of < self.promised:
            self.primary_of = 0

    def wipe(self) -> None:
        self.incarnation += 1
        self.promised = self.primary_of = 0
        self.log = []

    def status(self) -> EndpointStatus:
        starts: list[TermStart] = []
        for index, (term, _) in enumerate(self.log):
            if not starts or starts[-1].term != term:
                starts.append(TermStart(term, index + 1))
        return EndpointStatus(
            endpoint=self.name,
            service=SERVICE,
            incarnation=str(self.incarnation),
            role="primary" if self.primary_of else "replica",
            promised_term=self.promised,
            last=self.last(),
            mysql_address="",
            admin_address="",
            term_starts=tuple(starts),
        )


class Attempt(msgspec.Struct):
    """One failover attempt of the control leader."""

    term: int
    # (incarnation, last) of each voter when it promised.
    promises: dict[str, tuple[str, Position]] = {}
    record: ServiceRecord | None = None


class Group:
    """Endpoints plus a control leader that follows design section 2.2."""

    def __init__(self, rng: random.Random, size: int, spares: int = 2):
        self.rng = rng
        names = [f"e{number}" for number in range(size + spares)]
        self.endpoints = {name: Endpoint(name) for name in names}
        self.begun = 1
        self.attempt: Attempt | None = None
        self.records: list[ServiceRecord] = []
        self.side = dict.fromkeys(names, 0)
        self.lag = {name: rng.choice((0.0, 0.5, 0.9)) for name in names}
        first = self.endpoints["e0"]
        for name in names[:size]:
            self.endpoints[name].promise(1)
            self.endpoints[name].log = [(1, "marker-1")]
        first.primary_of = 1
        self._publish(self._record(1, "e0", tuple(names[:size]), 1))

    @property
    def record(self) -> ServiceRecord:
        return self.records[-1]

    def established_entries(self) -> set[str]:
        """Return what the established log contains."""
        return self.established

    def write(self, name: str, entry: str) -> Position | None:
        """Append at an endpoint that believes to be primary."""
        endpoint = self.endpoints[name]
        if not endpoint.primary_of:
            return None
        endpoint.log.append((endpoint.primary_of, entry))
        return endpoint.last()

    def replicate(self) -> None:
        """Let a random endpoint fetch some entries from some primary."""
        rng = self.rng
        sources = [e for e in self.endpoints.values() if e.primary_of]
        if not sources:
            return
        source = rng.choice(sources)
        target = self.endpoints[rng.choice(sorted(self.endpoints))]
        if target is source or target.promised > source.primary_of:
            return
        if self.side[target.name] != self.side[source.name]:
            return
        if rng.random() < self.lag[target.name]:
            return
        target.promise(source.primary_of)
        common = 0
        for mine, theirs in zip(target.log, source.log, strict=False):
            if mine != theirs:
                break
            common += 1
        del target.log[common:]
        target.log += source.log[common : common + rng.randint(0, 6)]

    def begin(self) -> None:
        """Begin a term; an unfinished attempt is given up."""
        self.begun += 1
        self.attempt = Attempt(self.begun)

    def advance(self) -> None:
        """Make one step of the attempt under way."""
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.record is not None and self.rng.random() < 0.7:
            self._establish(attempt)
            return
        name = self.rng.choice(self.record.voters)
        voter = self.endpoints[name]
        if self.side[name] == 0 and voter.promised < attempt.term:
            voter.promise(attempt.term)
            promise = (str(voter.incarnation), voter.last())
            if promise[0] == self._incarnation(self.record, name):
                attempt.promises[name] = promise
        # Later promises do not change an attempt that has its primary.
        quorum = quorum_of(len(self.record.voters))
        if attempt.record is None and len(attempt.promises) >= quorum:
            self._promote(attempt)

    def wipe(self) -> None:
        """Lose the disk of an endpoint, but never of a quorum."""
        name = self.rng.choice(sorted(self.endpoints))
        records = [self.record]
        if self.attempt is not None and self.attempt.record is not None:
            records.append(self.attempt.record)
        for record in records:
            lost = {
                voter
                for voter in record.voters
                if voter == name or not self._current(record, voter)
            }
            voters = len(record.voters)
            if len(lost) > voters - quorum_of(voters):
                return
        self.endpoints[name].wipe()

    def _promote(self, attempt: Attempt) -> None:
        best = max(
            attempt.promises, key=lambda name: attempt.promises[name][1]
        )
        endpoint = self.endpoints[best]
        if endpoint.promised != attempt.term or (
            str(endpoint.incarnation) != attempt.promises[best][0]
        ):
            return
        endpoint.primary_of = attempt.term
        endpoint.log.append((attempt.term, f"marker-{attempt.term}"))
        attempt.record = self._record(
            attempt.term, best, self._next_voters(best), len(endpoint.log)
        )

    def _next_voters(self, primary: str) -> tuple[str, ...]:
        voters = list(self.record.voters)
        spares = sorted(set(self.endpoints) - set(voters))
        others = [voter for voter in voters if voter != primary]
        if others and spares and self.rng.random() < 0.6:
            voters.remove(self.rng.choice(others))
            voters.append(self.rng.choice(spares))
        return tuple(voters)

    def _record(self, term, primary, voters, marker) -> ServiceRecord:
        incarnations = tuple(
            str(self.endpoints[name].incarnation) for name in voters
        )
        return ServiceRecord(
            SERVICE,
            len(voters),
            self.begun,
            term,
            primary,
            voters,
            incarnations,
            marker,
        )

    def _establish(self, attempt: Attempt) -> None:
        for record in (self.record, attempt.record):
            holders = [
                name
                for name in record.voters
                if self._current(record, name)
                and f"marker-{attempt.term}" in self.endpoints[name].entries()
            ]
            if len(holders) < quorum_of(len(record.voters)):
                return
        self._publish(attempt.record)
        self.attempt = None

    def _publish(self, record: ServiceRecord) -> None:
        self.records.append(record)
        log = self.endpoints[record.primary].log[: record.marker]
        self.established = {entry for _, entry in log}

    def _current(self, record: ServiceRecord, name: str) -> bool:
        incarnation = str(self.endpoints[name].incarnation)
        return self._incarnation(record, name) == incarnation

    @staticmethod
    def _incarnation(record: ServiceRecord, name: str) -> str:
        return record.incarnations[record.voters.index(name)]
