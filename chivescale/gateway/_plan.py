"""Selection of the entry hosts that connect to the endpoints of a service."""

import bisect
import collections.abc
import functools
import hashlib
import itertools

# With more services than this, each host works for several of them, so that
# no host is assigned to one service alone.
MAX_ASSIGNED_SERVICES = 64
# Positions of a host on the ring of its zone; more spread the work better.
RING_POINTS = 16

# Returns hosts of a zone for a service, best first, up to a number.
Candidates = collections.abc.Callable[[str, int], list[str]]


@functools.lru_cache(maxsize=65536)
def _rendezvous_weight(host: str, service: str) -> bytes:
    text = f"{host}/{service}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@functools.lru_cache(maxsize=8192)
def _preferred_service(host: str, services: tuple[str, ...]) -> str:
    """Return the service for which a host acts as gateway.

    The result does not depend on other hosts, so adding or removing a host
    does not reassign the others.
    """
    return max(services, key=lambda service: _rendezvous_weight(host, service))


@functools.lru_cache(maxsize=16384)
def affinity_ranks(
    workspace: str, gateways: frozenset[str]
) -> collections.abc.Mapping[str, int]:
    """Rank the gateways of a zone for a workspace, the preferred one first.

    A workspace that uses few gateways finds connections of its own there.
    Adding or removing a gateway changes the order of the others for no
    workspace.

    Examples
    --------
    >>> sorted(affinity_ranks("mill", frozenset({"a", "b"})).values())
    [0, 1]
    """
    order = sorted(
        gateways, key=lambda host: _rendezvous_weight(host, workspace)
    )
    return {host: rank for rank, host in enumerate(order)}


def assign_gateways(
    connections: collections.abc.Mapping[str, int],
    zones: collections.abc.Mapping[str, str],
    min_direct_connections: int,
    min_gateway_connections: int,
) -> dict[str, frozenset[str]]:
    """Return the hosts that connect to the endpoints of each service.

    If connections are scarce, the gateways of a service are taken from all
    zones in turn, so that a zone that is cut off takes its share of them only
    and statements stay in their zone. A few services divide the hosts of a
    zone among them by rendezvous hashing. Of many services, each takes the
    next hosts on a consistent-hashing ring of the zone, which needs time in
    proportion to the number of services rather than to services times hosts.

    Parameters
    ----------
    connections : mapping of str to int
        Connections that one endpoint of each service accepts from all entry
        hosts together.
    zones : mapping of str to str
        Availability zone of each available entry host, by name.
    min_direct_connections : int
        Every host connects directly if the limit allows this many
        connections per host.
    min_gateway_connections : int
        Minimum number of connections per gateway.
    """
    everyone = frozenset(zones)
    needed = min_direct_connections * len(zones)
    plan = dict.fromkeys(connections, everyone)
    scarce = [s for s, accepted in connections.items() if accepted < needed]
    if scarce:
        by_zone = _candidates_by_zone(tuple(connections), zones)
        for service in scarce:
            limit = max(1, connections[service] // min_gateway_connections)
            plan[service] = _select(service, by_zone, limit)
    return plan


def _select(
    service: str, by_zone: dict[str, Candidates], limit: int
) -> frozenset[str]:
    """Return up to `limit` gateways from all zones in turn."""
    # Which zones get one gateway more than others differs between services.
    order = sorted(by_zone, key=lambda zone: _rendezvous_weight(zone, service))
    ranked = [by_zone[zone](service, limit) for zone in order]
    in_turn = itertools.chain.from_iterable(itertools.zip_longest(*ranked))
    hosts = (host for host in in_turn if host is not None)
    return frozenset(itertools.islice(hosts, limit))


def _candidates_by_zone(
    services: tuple[str, ...], zones: collections.abc.Mapping[str, str]
) -> dict[str, Candidates]:
    by_zone: dict[str, list[str]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    if len(services) > MAX_ASSIGNED_SERVICES:
        return {
            zone: _ring_candidates(zone, hosts)
            for zone, hosts in by_zone.items()
        }
    return {
        zone: _assigned_candidates(hosts, services)
        for zone, hosts in by_zone.items()
    }


def _assigned_candidates(
    hosts: list[str], services: tuple[str, ...]
) -> Candidates:
    """Divide the hosts of a zone among the services."""
    assigned: dict[str, list[str]] = {}
    for host in hosts:
        service = _preferred_service(host, services)
        assigned.setdefault(service, []).append(host)

    def candidates(service: str, count: int) -> list[str]:
        # A zone without a host for a service lends its best one.
        found = assigned.get(service) or hosts
        count = count if service in assigned else 1
        found = sorted(
            found,
            key=lambda host: _rendezvous_weight(host, service),
            reverse=True,
        )
        return found[:count]

    return candidates


def _ring_candidates(zone: str, hosts: list[str]) -> Candidates:
    """Place the hosts of a zone on a ring; services take the next ones."""
    ring = sorted(
        (_rendezvous_weight(host, str(point)), host)
        for host in hosts
        for point in range(RING_POINTS)
    )
    positions = [position for position, _ in ring]

    def candidates(service: str, count: int) -> list[str]:
        start = bisect.bisect(positions, _rendezvous_weight(zone, service))
        following = itertools.chain(
            itertools.islice(ring, start, None), itertools.islice(ring, start)
        )
        found: dict[str, None] = {}
        for _, host in following:
            found[host] = None
            if len(found) >= count:
                break
        return list(found)

    return candidates
