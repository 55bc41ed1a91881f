"""Which entry hosts hold the connections to the endpoints of a service."""

import collections.abc
import functools
import hashlib


@functools.lru_cache(maxsize=65536)
def _weight(host: str, service: str) -> bytes:
    text = f"{host}/{service}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _favourite(host: str, services: tuple[str, ...]) -> str:
    """Return the service that a host works for.

    It depends on no other host, so a host that comes or goes moves no work
    between the others.
    """
    return max(services, key=lambda service: _weight(host, service))


def gateways_of(
    service: str,
    services: tuple[str, ...],
    hosts: collections.abc.Iterable[str],
    connections: int,
    direct_links: int,
    gateway_links: int,
) -> frozenset[str]:
    """Return the hosts that connect to the endpoints of a service.

    Each host works for one service, by rendezvous hashing, so that the work
    of all services is spread over all hosts.

    Parameters
    ----------
    service : str
        Service in question.
    services : tuple of str
        All services.
    hosts : iterable of str
        Entry hosts that take part.
    connections : int
        Connections that one endpoint accepts from all entry hosts.
    direct_links : int
        If every host can hold this many connections, all of them connect.
    gateway_links : int
        Connections that each gateway must be able to hold.
    """
    hosts = sorted(hosts)
    if not hosts or connections >= direct_links * len(hosts):
        return frozenset(hosts)
    chosen = [h for h in hosts if _favourite(h, services) == service] or hosts
    limit = max(1, connections // gateway_links)
    chosen.sort(key=lambda host: _weight(host, service), reverse=True)
    return frozenset(chosen[:limit])
