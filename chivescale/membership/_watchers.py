"""Selection of the entry hosts that watch a service."""

import collections.abc
import hashlib

from chivescale.messages import HostRecord


def _weight(service: str, host: str) -> int:
    text = f"{service}\x00{host}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def watchers_of(
    service: str, hosts: collections.abc.Iterable[HostRecord], k: int
) -> tuple[str, ...]:
    """Select the watchers of a service by rendezvous hashing.

    The highest-ranked host of each zone is preferred, so that the watchers
    are in different zones if there are enough zones. A host that joins or
    leaves changes at most one watcher. Draining hosts are selected only if
    there are too few others.

    Parameters
    ----------
    service : str
        Service name.
    hosts : iterable of HostRecord
        Entry hosts in the applied state.
    k : int
        Number of watchers.

    Returns
    -------
    tuple of str
        Host names, at most `k`. Deterministic for a given set of hosts.

    Examples
    --------
    >>> hosts = [
    ...     HostRecord(name, zone, "", "", "1")
    ...     for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2"))
    ... ]
    >>> sorted(watchers_of("ledger", hosts, 3))
    ['a', 'b', 'c']
    """
    ranked = sorted(
        hosts,
        key=lambda h: (h.draining, -_weight(service, h.host), h.host),
    )
    preferred: list[HostRecord] = []
    others: list[HostRecord] = []
    used_zones: set[str] = set()
    for host in ranked:
        same_zone = host.zone in used_zones
        (others if same_zone or host.draining else preferred).append(host)
        used_zones.add(host.zone)
    return tuple(host.host for host in (preferred + others)[:k])
