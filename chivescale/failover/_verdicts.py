"""Majority decision of the watchers of a service on its primary."""

import collections

import msgspec

from chivescale.failover._detector import HEALTHY
from chivescale.messages import Suspicion

# Four report intervals of a watcher (REPORT_INTERVAL_S). A lost message does
# not end a suspicion, and a watcher that died does not keep one in force.
EXPIRY_S = 1.0


class Vote(msgspec.Struct):
    """Latest suspicion of one watcher."""

    suspicion: Suspicion
    first_reported_at: float
    last_reported_at: float


class AgreedVerdict(msgspec.Struct, frozen=True):
    """Verdict that a majority of the watchers agrees on.

    Attributes
    ----------
    verdict : str
        Most frequent verdict among the agreeing watchers.
    since : float
        When the first of them reported it, in monotonic seconds.
    needs_probe : bool
        Whether the leader's own probe has to confirm the verdict, because
        only one watcher is alive.
    """

    verdict: str
    since: float
    needs_probe: bool = False


class Verdicts:
    """Suspicions of the watchers, collected on the control leader.

    A verdict needs a majority of the assigned watchers that are alive; if
    only two are, both have to agree. The verdict of a lone watcher also needs
    a direct probe by the leader. Without it, a watcher that is itself cut off
    could end the term of a healthy primary.

    Parameters
    ----------
    expiry_s : float
        Time after which a suspicion that is not repeated expires.
    """

    def __init__(self, expiry_s: float = EXPIRY_S):
        self.expiry_s = expiry_s
        self.votes: dict[str, dict[str, Vote]] = {}

    def record(self, suspicion: Suspicion, now: float) -> None:
        """Store a suspicion; ``healthy`` withdraws the earlier one."""
        votes = self.votes.setdefault(suspicion.service, {})
        if suspicion.verdict == HEALTHY:
            votes.pop(suspicion.host, None)
            return
        before = votes.get(suspicion.host)
        first_reported_at = now
        if before and self._continues_suspicion(before, suspicion, now):
            first_reported_at = before.first_reported_at
        votes[suspicion.host] = Vote(suspicion, first_reported_at, now)

    def _continues_suspicion(self, vote, suspicion, now) -> bool:
        old = vote.suspicion
        alive = now - vote.last_reported_at <= self.expiry_s
        same = (old.term, old.primary) == (suspicion.term, suspicion.primary)
        return alive and same

    def agreed(
        self,
        service: str,
        term: int,
        primary: str,
        watchers: tuple[str, ...],
        now: float,
    ) -> AgreedVerdict | None:
        """Return the verdict of the majority, or None.

        Parameters
        ----------
        service, term, primary
            Term to decide on; suspicions of other terms or primaries are
            ignored.
        watchers : tuple of str
            Assigned watchers that are alive.
        now : float
            Current time in monotonic seconds.
        """
        votes = [
            vote
            for host, vote in self.votes.get(service, {}).items()
            if host in watchers
            and now - vote.last_reported_at <= self.expiry_s
            and vote.suspicion.term == term
            and vote.suspicion.primary == primary
        ]
        if not watchers or len(votes) < len(watchers) // 2 + 1:
            return None
        counts = collections.Counter(v.suspicion.verdict for v in votes)
        verdict = max(sorted(counts), key=counts.__getitem__)
        since = min(vote.first_reported_at for vote in votes)
        return AgreedVerdict(verdict, since, len(watchers) == 1)

    def services(self) -> tuple[str, ...]:
        """Return the services that have suspicions."""
        return tuple(name for name, votes in self.votes.items() if votes)

    def forget(self, now: float) -> None:
        """Drop expired suspicions."""
        for service, votes in list(self.votes.items()):
            for host, vote in list(votes.items()):
                if now - vote.last_reported_at > self.expiry_s:
                    del votes[host]
            if not votes:
                del self.votes[service]
