"""Decides when the leases on former epochs have ended."""

import collections.abc

from chivescale.lease._messages import RevocationStatus


def is_revoked(
    statuses: collections.abc.Mapping[str, tuple[float, RevocationStatus]],
    voters: collections.abc.Collection[str],
    now: float,
) -> bool:
    """Return whether no entry host holds a lease on an epoch that ended.

    A lease needs the grants of a majority. A cleared coordinator supports no
    former epoch, except through grants that another one passes on. If those
    have expired or the other one is cleared too, and a majority is cleared,
    no majority supports a former epoch.

    Parameters
    ----------
    statuses : mapping of str to (float, RevocationStatus)
        Latest status of each coordinator and the time at which it was
        received, in seconds.
    voters : collection of str
        Voters of the group.
    now : float
        Current time in seconds.
    """
    cleared = {
        member
        for member, (_, status) in statuses.items()
        if status.cleared and member in voters
    }
    if len(cleared) * 2 <= len(voters):
        return False
    for member in cleared:
        received_at, status = statuses[member]
        for peer, remaining_s in status.passed_s.items():
            if peer not in cleared and received_at + remaining_s > now:
                return False
    return True
