"""Selection of the entry hosts that connect to the endpoints of a service."""

import collections.abc
import functools
import hashlib


@functools.lru_cache(maxsize=65536)
def _rendezvous_weight(host: str, service: str) -> bytes:
    text = f"{host}/{service}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _preferred_service(host: str, services: tuple[str, ...]) -> str:
    """Return the service for which a host acts as gateway.

    The result does not depend on other hosts, so adding or removing a host
    does not reassign the others.
    """
    return max(services, key=lambda service: _rendezvous_weight(host, service))


def select_gateways(
    service: str,
    services: tuple[str, ...],
    hosts: collections.abc.Iterable[str],
    connections: int,
    min_direct_connections: int,
    min_gateway_connections: int,
) -> frozenset[str]:
    """Return the hosts that connect to the endpoints of a service.

    If connections are scarce, each host is assigned one service by
    rendezvous hashing, which spreads the load of all services over all
    hosts.

    Parameters
    ----------
    service : str
        Service to select hosts for.
    services : tuple of str
        All services.
    hosts : iterable of str
        Available entry hosts.
    connections : int
        Connections that one endpoint accepts from all entry hosts together.
    min_direct_connections : int
        Every host connects directly if the limit allows this many
        connections per host.
    min_gateway_connections : int
        Minimum number of connections per gateway.
    """
    hosts = sorted(hosts)
    if not hosts or connections >= min_direct_connections * len(hosts):
        return frozenset(hosts)
    candidates = [
        h for h in hosts if _preferred_service(h, services) == service
    ] or hosts
    limit = max(1, connections // min_gateway_connections)
    candidates.sort(
        key=lambda host: _rendezvous_weight(host, service), reverse=True
    )
    return frozenset(candidates[:limit])
