"""Agreement of the watchers of a service on the state of its primary."""

import collections

import msgspec

from chivescale.failover._detector import HEALTHY
from chivescale.messages import Suspicion

# Four repetitions of a watcher (REPEAT_S): one lost message must not end a
# suspicion, and a watcher that died must not keep one alive.
EXPIRY_S = 1.0


class Vote(msgspec.Struct):
    """Last suspicion of one watcher."""

    suspicion: Suspicion
    first_at: float
    last_at: float


class AgreedVerdict(msgspec.Struct, frozen=True):
    """Verdict of a majority of the watchers.

    Attributes
    ----------
    verdict : str
        Most frequent verdict among those who agree.
    since : float
        When the first of them reported it.
    needs_probe : bool
        Only one watcher is alive; the leader's own probe has to confirm.
    """

    verdict: str
    since: float
    needs_probe: bool = False


class Verdicts:
    """Collects suspicions on the control leader.

    A majority of the assigned watchers that are alive decides. With two
    alive both have to agree. With one alive its verdict counts only
    together with a direct probe by the leader, since a watcher that is
    itself cut off would otherwise end a healthy term alone.

    Parameters
    ----------
    expiry_s : float
        Life of a suspicion that is not repeated, in seconds.
    """

    def __init__(self, expiry_s: float = EXPIRY_S):
        self.expiry_s = expiry_s
        self.votes: dict[str, dict[str, Vote]] = {}

    def record(self, suspicion: Suspicion, now: float) -> None:
        """Take in one suspicion; ``healthy`` withdraws the earlier one."""
        votes = self.votes.setdefault(suspicion.service, {})
        if suspicion.verdict == HEALTHY:
            votes.pop(suspicion.host, None)
            return
        before = votes.get(suspicion.host)
        first_at = now
        if before and self._same_subject(before, suspicion, now):
            first_at = before.first_at
        votes[suspicion.host] = Vote(suspicion, first_at, now)

    def _same_subject(self, vote, suspicion, now) -> bool:
        old = vote.suspicion
        alive = now - vote.last_at <= self.expiry_s
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
        """Return the verdict of the majority, if there is one.

        Parameters
        ----------
        service, term, primary
            Subject; suspicions of other terms or primaries do not count.
        watchers : tuple of str
            Assigned watchers that are alive.
        now : float
            Monotonic seconds.
        """
        votes = [
            vote
            for host, vote in self.votes.get(service, {}).items()
            if host in watchers
            and now - vote.last_at <= self.expiry_s
            and vote.suspicion.term == term
            and vote.suspicion.primary == primary
        ]
        if not watchers or len(votes) < len(watchers) // 2 + 1:
            return None
        counts = collections.Counter(v.suspicion.verdict for v in votes)
        verdict = max(sorted(counts), key=counts.__getitem__)
        since = min(vote.first_at for vote in votes)
        return AgreedVerdict(verdict, since, len(watchers) == 1)

    def services(self) -> tuple[str, ...]:
        """Return the services with suspicions."""
        return tuple(name for name, votes in self.votes.items() if votes)

    def forget(self, now: float) -> None:
        """Drop expired suspicions."""
        for service, votes in list(self.votes.items()):
            for host, vote in list(votes.items()):
                if now - vote.last_at > self.expiry_s:
                    del votes[host]
            if not votes:
                del self.votes[service]
