"""Choice of the entry hosts that watch a service."""

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
    """Choose the watchers of a service by rendezvous hashing.

    Every zone's best host comes first, so that watchers stand in different
    zones while there are enough. A host that joins or leaves changes at most
    one watcher. Draining hosts are chosen only if no others are left.

    Parameters
    ----------
    service : str
        Service name.
    hosts : iterable of HostRecord
        Entry hosts of the applied state.
    k : int
        Number of watchers.

    Returns
    -------
    tuple of str
        Names, at most `k`, the same on every process with the same state.

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
    first: list[HostRecord] = []
    rest: list[HostRecord] = []
    zones: set[str] = set()
    for host in ranked:
        same_zone = host.zone in zones
        (rest if same_zone or host.draining else first).append(host)
        zones.add(host.zone)
    return tuple(host.host for host in (first + rest)[:k])
