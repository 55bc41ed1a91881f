"""Entry-host side of the leases."""

import msgspec

from chivescale.lease._epochs import EpochTable
from chivescale.lease._messages import (
    CLOCK_RATE_FRACTION,
    Epoch,
    LeaseAnswer,
)


class HeldGrant(msgspec.Struct):
    """Grant of one coordinator, in terms of the local clock."""

    end: float
    index: int
    withheld: tuple[str, ...]


class Quorum(msgspec.Struct):
    """Grants that refer to one set of voters."""

    voters: int
    grants: dict[str, HeldGrant]


class RetiredEpoch(msgspec.Struct, frozen=True):
    """Epoch that was replaced but whose revocation is not confirmed yet.

    Attributes
    ----------
    index : int
        Index of the epoch.
    until : float
        Time at which the lease on it ends.
    planned : bool
        Whether it is replaced while its primary works.
    """

    index: int
    until: float
    planned: bool


class LeaseHolder:
    """Tracks which primaries an entry host may use.

    A host holds a lease on the current epoch of a service while a majority of
    the voters has granted it.

    Attributes
    ----------
    table : EpochTable
        Known epochs.
    quorums : dict of str to Quorum
        Grants by set of voters.
    retired : dict of str to RetiredEpoch
        Replaced epochs by service, until `confirm` is called.
    """

    __slots__ = ("_until", "quorums", "retired", "table")

    def __init__(self):
        self.table = EpochTable()
        self.quorums: dict[str, Quorum] = {}
        self.retired: dict[str, RetiredEpoch] = {}
        self._until: dict[str, float] = {}

    def epoch(self, service: str) -> Epoch:
        """Return the current epoch of a service."""
        return self.table.get(service)

    def apply(self, answer: LeaseAnswer, sent_at: float, now: float) -> None:
        """Apply the answer of a coordinator.

        Parameters
        ----------
        answer : LeaseAnswer
            Epochs and grants.
        sent_at : float
            Time at which the request was sent, in seconds. The grants began
            at least `held_s` later.
        now : float
            Current time in seconds.
        """
        for service, epoch in answer.epochs.items():
            known = self.epoch(service)
            if epoch.index > known.index and service not in self.retired:
                self.retired[service] = RetiredEpoch(
                    known.index, self.held_until(service), epoch.planned
                )
        self.table.learn(answer.epochs)
        started_at = sent_at + answer.held_s
        quorum = self.quorums.get(answer.quorum)
        if quorum is None:
            quorum = self.quorums[answer.quorum] = Quorum(answer.voters, {})
        for grant in answer.grants:
            end = started_at + grant.remaining_s * CLOCK_RATE_FRACTION
            known = quorum.grants.get(grant.member)
            if known is None or end > known.end:
                quorum.grants[grant.member] = HeldGrant(
                    end, grant.index, grant.withheld
                )
        self._drop_ended(now)
        self._until.clear()

    def _drop_ended(self, now: float) -> None:
        for name, quorum in list(self.quorums.items()):
            if all(grant.end <= now for grant in quorum.grants.values()):
                del self.quorums[name]

    def held_until(self, service: str) -> float:
        """Return the end of the lease on the current epoch; 0 if none."""
        until = self._until.get(service)
        if until is None:
            until = max(
                (
                    self._majority_end(quorum, service)
                    for quorum in self.quorums.values()
                ),
                default=0.0,
            )
            self._until[service] = until
        return until

    def _majority_end(self, quorum: Quorum, service: str) -> float:
        """Return the time until which a majority of voters grants."""
        epoch = self.epoch(service)
        if not epoch.open:
            return 0.0
        index = epoch.index
        ends = sorted(
            (
                grant.end
                for grant in quorum.grants.values()
                if index <= grant.index <= self.table.index
                and service not in grant.withheld
            ),
            reverse=True,
        )
        needed = quorum.voters // 2 + 1
        return ends[needed - 1] if 0 < needed <= len(ends) else 0.0

    def holds(self, service: str, index: int, time: float) -> bool:
        """Return whether the lease on an epoch covers `time`."""
        if index == self.epoch(service).index:
            return time < self.held_until(service)
        retired = self.retired.get(service)
        return (
            retired is not None
            and retired.index == index
            and time < retired.until
        )

    def confirm(self) -> int:
        """Stop using all replaced epochs.

        Returns
        -------
        int
            Index to report to the coordinators: no lower epoch is in use.
        """
        self.retired.clear()
        return self.table.index
