"""Selection of the entry hosts that connect to the endpoints of a service."""

import collections.abc
import functools
import hashlib
import itertools


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
    zones: collections.abc.Mapping[str, str],
    connections: int,
    min_direct_connections: int,
    min_gateway_connections: int,
) -> frozenset[str]:
    """Return the hosts that connect to the endpoints of a service.

    If connections are scarce, each host is assigned one service by
    rendezvous hashing, which spreads the load of all services over all
    hosts. The gateways of a service are taken from all zones in turn, so
    that a zone that is cut off takes its share of them only and statements
    stay in their zone.

    Parameters
    ----------
    service : str
        Service to select hosts for.
    services : tuple of str
        All services.
    zones : mapping of str to str
        Availability zone of each available entry host, by name.
    connections : int
        Connections that one endpoint accepts from all entry hosts together.
    min_direct_connections : int
        Every host connects directly if the limit allows this many
        connections per host.
    min_gateway_connections : int
        Minimum number of connections per gateway.
    """
    if not zones or connections >= min_direct_connections * len(zones):
        return frozenset(zones)
    by_zone: dict[str, list[str]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    ranked = {
        zone: _ranked_candidates(hosts, service, services)
        for zone, hosts in by_zone.items()
    }
    # Which zones get one gateway more than others differs between services.
    order = sorted(ranked, key=lambda zone: _rendezvous_weight(zone, service))
    in_turn = itertools.chain.from_iterable(
        itertools.zip_longest(*(ranked[zone] for zone in order))
    )
    limit = max(1, connections // min_gateway_connections)
    hosts = (host for host in in_turn if host is not None)
    return frozenset(itertools.islice(hosts, limit))


def _ranked_candidates(
    hosts: list[str], service: str, services: tuple[str, ...]
) -> list[str]:
    """Return the hosts of a zone assigned to a service, or one other host."""
    hosts = sorted(
        hosts,
        key=lambda host: _rendezvous_weight(host, service),
        reverse=True,
    )
    assigned = [
        host for host in hosts if _preferred_service(host, services) == service
    ]
    return assigned or hosts[:1]
