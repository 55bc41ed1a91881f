"""Simulated database group with terms, promises and failovers."""

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
    """Simulated endpoint; its log consists of (term, entry id) pairs."""

    def __init__(self, name: str):
        self.name = name
        self.incarnation = 1
        self.promised_term = 0
        self.primary_term = 0
        self.log: list[tuple[int, str]] = []

    def last(self) -> Position:
        term = self.log[-1][0] if self.log else 0
        return Position(term, len(self.log))

    def entries(self) -> set[str]:
        return {entry for _, entry in self.log}

    def promise(self, term: int) -> None:
        self.promised_term = max(self.promised_term, term)
        if self.primary_term < self.promised_term:
            self.primary_term = 0

    def lose_data(self) -> None:
        self.incarnation += 1
        self.promised_term = self.primary_term = 0
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
            role="primary" if self.primary_term else "replica",
            promised_term=self.promised_term,
            last=self.last(),
            mysql_address="",
            admin_address="",
            term_starts=tuple(starts),
        )


class Attempt(msgspec.Struct):
    """Failover attempt of the control leader."""

    term: int
    # (incarnation, last position) of each voter when it promised the term.
    promises: dict[str, tuple[str, Position]] = {}
    record: ServiceRecord | None = None


class Group:
    """Endpoints and a control leader as in section 2.2 of docs/design.md."""

    def __init__(self, rng: random.Random, size: int, spares: int = 2):
        self.rng = rng
        names = [f"e{number}" for number in range(size + spares)]
        self.endpoints = {name: Endpoint(name) for name in names}
        self.last_term = 1
        self.attempt: Attempt | None = None
        self.records: list[ServiceRecord] = []
        self.partition = dict.fromkeys(names, 0)
        self.skip_probability = {
            name: rng.choice((0.0, 0.5, 0.9)) for name in names
        }
        first = self.endpoints["e0"]
        for name in names[:size]:
            self.endpoints[name].promise(1)
            self.endpoints[name].log = [(1, "marker-1")]
        first.primary_term = 1
        self._publish(self._record(1, "e0", tuple(names[:size]), 1))

    @property
    def record(self) -> ServiceRecord:
        return self.records[-1]

    def established_entries(self) -> set[str]:
        """Return the entries of the established log."""
        return self.established_log_entries

    def write(self, name: str, entry: str) -> Position | None:
        """Append an entry on an endpoint that considers itself primary."""
        endpoint = self.endpoints[name]
        if not endpoint.primary_term:
            return None
        endpoint.log.append((endpoint.primary_term, entry))
        return endpoint.last()

    def replicate(self) -> None:
        """Replicate entries from a random primary to a random endpoint."""
        rng = self.rng
        sources = [e for e in self.endpoints.values() if e.primary_term]
        if not sources:
            return
        source = rng.choice(sources)
        target = self.endpoints[rng.choice(sorted(self.endpoints))]
        if target is source or target.promised_term > source.primary_term:
            return
        if self.partition[target.name] != self.partition[source.name]:
            return
        if rng.random() < self.skip_probability[target.name]:
            return
        target.promise(source.primary_term)
        common_length = 0
        for target_entry, source_entry in zip(
            target.log, source.log, strict=False
        ):
            if target_entry != source_entry:
                break
            common_length += 1
        del target.log[common_length:]
        target.log += source.log[
            common_length : common_length + rng.randint(0, 6)
        ]

    def begin(self) -> None:
        """Begin a term and abandon an unfinished attempt."""
        self.last_term += 1
        self.attempt = Attempt(self.last_term)

    def advance(self) -> None:
        """Advance the current attempt by one step."""
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.record is not None and self.rng.random() < 0.7:
            self._establish(attempt)
            return
        name = self.rng.choice(self.record.voters)
        voter = self.endpoints[name]
        if self.partition[name] == 0 and voter.promised_term < attempt.term:
            voter.promise(attempt.term)
            promise = (str(voter.incarnation), voter.last())
            if promise[0] == self._incarnation(self.record, name):
                attempt.promises[name] = promise
        # Later promises do not change an attempt that has chosen its primary.
        quorum = quorum_of(len(self.record.voters))
        if attempt.record is None and len(attempt.promises) >= quorum:
            self._promote(attempt)

    def lose_data(self) -> None:
        """Lose the data of an endpoint, unless a quorum would be lost."""
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
        self.endpoints[name].lose_data()

    def _promote(self, attempt: Attempt) -> None:
        chosen = max(
            attempt.promises, key=lambda name: attempt.promises[name][1]
        )
        endpoint = self.endpoints[chosen]
        if endpoint.promised_term != attempt.term or (
            str(endpoint.incarnation) != attempt.promises[chosen][0]
        ):
            return
        endpoint.primary_term = attempt.term
        endpoint.log.append((attempt.term, f"marker-{attempt.term}"))
        attempt.record = self._record(
            attempt.term, chosen, self._next_voters(chosen), len(endpoint.log)
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
            self.last_term,
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
        self.established_log_entries = {entry for _, entry in log}

    def _current(self, record: ServiceRecord, name: str) -> bool:
        incarnation = str(self.endpoints[name].incarnation)
        return self._incarnation(record, name) == incarnation

    @staticmethod
    def _incarnation(record: ServiceRecord, name: str) -> str:
        return record.incarnations[record.voters.index(name)]
