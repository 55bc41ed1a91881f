"""Decides when the leases on former epochs have ended."""

import collections.abc

from chivescale.lease._messages import RevocationStatus

Statuses = collections.abc.Mapping[str, tuple[float, RevocationStatus]]


def unconfirmed_hosts(
    received_at: float,
    status: RevocationStatus,
    confirmed: collections.abc.Container[str],
    now: float,
) -> list[str]:
    """Return the hosts whose grants by one coordinator may still count."""
    return [
        host
        for host, remaining_s in status.unconfirmed_s.items()
        if received_at + remaining_s > now and host not in confirmed
    ]


def is_revoked(
    statuses: Statuses,
    voters: collections.abc.Collection[str],
    now: float,
) -> bool:
    """Return whether no entry host holds a lease on an epoch that ended.

    A lease needs the grants of a majority. A coordinator is cleared if its
    grants to hosts have been confirmed as unused or have expired; it then
    supports no former epoch, except through grants that another one passes
    on. If those have expired or the other one is cleared too, and a majority
    is cleared, no majority supports a former epoch.

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
    confirmed = {
        host for _, status in statuses.values() for host in status.confirmed
    }
    cleared = {
        member
        for member, (received_at, status) in statuses.items()
        if member in voters
        and status.withdrawn
        and not unconfirmed_hosts(received_at, status, confirmed, now)
    }
    if len(cleared) * 2 <= len(voters):
        return False
    for member in cleared:
        received_at, status = statuses[member]
        for peer, remaining_s in status.passed_s.items():
            if peer not in cleared and received_at + remaining_s > now:
                return False
    return True
