"""Coordinator side of the leases."""

import collections.abc

import msgspec

from chivescale.lease._epochs import EpochTable
from chivescale.lease._messages import (
    CLOCK_RATE_FRACTION,
    Epoch,
    Grant,
    LeaseAnswer,
    RevocationStatus,
)

# Duration of a grant. It exceeds the long poll of an entry host (0.35 s) plus
# the time to detect that a coordinator is silent and to ask another one
# (0.35 s). A promotion waits for this time if a host cannot confirm.
GRANT_S = 1.1


class GroupView(msgspec.Struct, frozen=True):
    """What a coordinator's log says about the group.

    Attributes
    ----------
    quorum : str
        Identifies the set of voters.
    voters : int
        Number of voters.
    is_voter : bool
        Whether this coordinator is one of them.
    pending : tuple of str
        Services with a promotion in the log that is not committed.
    """

    quorum: str
    voters: int
    is_voter: bool
    pending: tuple[str, ...] = ()


class HostGrant(msgspec.Struct):
    """Grants made to one entry host.

    Attributes
    ----------
    until : float
        Time in seconds at which the last grant ends.
    confirmed : int
        Epoch index below which the host uses no epoch any more.
    """

    until: float
    confirmed: int


class ReceivedGrant(msgspec.Struct):
    """Grant of another coordinator, which may be passed on."""

    end: float
    index: int
    withheld: tuple[str, ...]
    quorum: str


class Grantor:
    """Grants leases to entry hosts and confirms their revocation.

    Parameters
    ----------
    member : str
        Name of this coordinator.
    now : float
        Time in seconds at which the process started.

    Attributes
    ----------
    table : EpochTable
        Committed epochs.
    hosts : dict of str to HostGrant
        Grants made to entry hosts.
    peers : dict of str to dict of int to float
        Time at which the last grants to each other coordinator end, by the
        highest epoch index known here when they were made.
    received : dict of str to ReceivedGrant
        Latest grant of each other coordinator.
    """

    __slots__ = (
        "hosts",
        "member",
        "peers",
        "received",
        "started_at",
        "table",
    )

    def __init__(self, member: str, now: float):
        self.member = member
        self.started_at = now
        self.table = EpochTable()
        self.hosts: dict[str, HostGrant] = {}
        self.peers: dict[str, dict[int, float]] = {}
        self.received: dict[str, ReceivedGrant] = {}

    def learn(self, epochs: collections.abc.Mapping[str, Epoch]) -> None:
        """Merge committed epochs."""
        self.table.learn(epochs)

    # Entry hosts.

    def record_request(self, host: str, confirmed: int) -> None:
        """Record that a host uses no epoch below `confirmed` any more."""
        known = self.hosts.get(host)
        if known is None:
            return
        known.confirmed = confirmed

    def release(self, host: str) -> None:
        """Record that a host uses no primary any more."""
        self.hosts.pop(host, None)

    def answer_host(
        self,
        host: str,
        confirmed: int,
        view: GroupView,
        received_at: float,
        now: float,
    ) -> LeaseAnswer:
        """Return the grants for an entry host.

        Parameters
        ----------
        host : str
            Name of the entry host.
        confirmed : int
            Epoch index in its request.
        view : GroupView
            State of the group.
        received_at, now : float
            Time of the request and current time, in seconds.
        """
        grants = [
            Grant(member, grant.end - now, grant.index, grant.withheld)
            for member, grant in self.received.items()
            if grant.end > now and grant.quorum == view.quorum
        ]
        if view.is_voter:
            grants.append(self._own_grant(view))
        if grants:
            known = self.hosts.setdefault(host, HostGrant(0.0, confirmed))
            known.until = max(
                known.until, now + max(g.remaining_s for g in grants)
            )
        return LeaseAnswer(
            index=self.table.index,
            epochs=self.table.since(confirmed),
            quorum=view.quorum,
            voters=view.voters,
            grants=tuple(grants),
            held_s=now - received_at,
        )

    def _own_grant(self, view: GroupView) -> Grant:
        return Grant(self.member, GRANT_S, self.table.index, view.pending)

    # Other coordinators.

    def answer_peer(
        self, peer: str, index: int, view: GroupView, now: float
    ) -> LeaseAnswer:
        """Return the own grant for another coordinator to pass on.

        Parameters
        ----------
        peer : str
            Name of the other coordinator.
        index : int
            Highest epoch index known to it.
        view : GroupView
            State of the group.
        now : float
            Current time in seconds.
        """
        grants = ()
        if view.is_voter:
            grants = (self._own_grant(view),)
            ends = self.peers.setdefault(peer, {})
            ends[self.table.index] = now + GRANT_S
        return LeaseAnswer(
            index=self.table.index,
            epochs=self.table.since(index),
            quorum=view.quorum,
            voters=view.voters,
            grants=grants,
        )

    def record_answer(self, answer: LeaseAnswer, sent_at: float) -> None:
        """Store the grants in the answer of another coordinator.

        Parameters
        ----------
        answer : LeaseAnswer
            Answer to a request of this coordinator.
        sent_at : float
            Time at which that request was sent, in seconds.
        """
        self.table.learn(answer.epochs)
        for grant in answer.grants:
            self.received[grant.member] = ReceivedGrant(
                sent_at + grant.remaining_s * CLOCK_RATE_FRACTION,
                grant.index,
                grant.withheld,
                answer.quorum,
            )

    # Revocation.

    def status(self, index: int, now: float) -> RevocationStatus:
        """Return which grants may support epochs below `index`.

        Parameters
        ----------
        index : int
            Epoch that begins; known to this coordinator and in its log.
        now : float
            Current time in seconds.
        """
        self._drop_ended(now)
        withdrawn = (
            self.table.index >= index
            # Grants made before a restart are not known.
            and now >= self.started_at + GRANT_S
        )
        unconfirmed_s = {
            name: grant.until - now
            for name, grant in self.hosts.items()
            if grant.confirmed < index
        }
        confirmed = tuple(
            name
            for name, grant in self.hosts.items()
            if grant.confirmed >= index
        )
        # A host that is told of a later grant is told of the epoch as well.
        passed_s = {
            peer: max(former) - now
            for peer, ends in self.peers.items()
            if (former := [ends[i] for i in ends if i < index])
        }
        return RevocationStatus(withdrawn, unconfirmed_s, confirmed, passed_s)

    def _drop_ended(self, now: float) -> None:
        for name, grant in list(self.hosts.items()):
            if grant.until <= now:
                del self.hosts[name]
        for peer, ends in list(self.peers.items()):
            self.peers[peer] = {i: end for i, end in ends.items() if end > now}
            if not self.peers[peer]:
                del self.peers[peer]
