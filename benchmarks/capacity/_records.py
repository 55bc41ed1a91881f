"""Records of the size that a real system has, made in any number."""

import msgspec

from chivescale.messages import (
    AcceptSheet,
    Batch,
    EndpointRecord,
    EndpointStatus,
    EstablishTerm,
    HostRecord,
    Position,
    RegisterEndpoint,
    RegisterHost,
    ServiceBinding,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.state import ClusterState

ZONES = 24


def host(number: int) -> HostRecord:
    """Return the record of an entry host."""
    ip = f"10.{number >> 8 & 255}.{number & 255}.7"
    return HostRecord(
        f"entry-{number:05}",
        f"region-{number % ZONES // 4}-zone-{number % 4}",
        f"{ip}:7400",
        f"{ip}:3306",
        f"{number:016x}",
    )


def service(number: int) -> str:
    """Return the name of a service."""
    return f"ledger-{number:05}"


def endpoint(number: int, group: int = 3) -> EndpointRecord:
    """Return the record of an endpoint; `group` of them form a service."""
    ip = f"10.{128 + (number >> 8 & 127)}.{number & 255}.9"
    of = service(number // group)
    return EndpointRecord(
        f"{of}-{number % group + 1}",
        of,
        f"region-{number % ZONES // 4}-zone-{number % 4}",
        f"{number:032x}",
        f"{ip}:3306",
        f"{ip}:7500",
        2,
        35,
    )


def status(number: int, group: int = 3) -> EndpointStatus:
    """Return the announcement of an endpoint."""
    record = endpoint(number, group)
    return EndpointStatus(
        record.endpoint,
        record.service,
        record.incarnation,
        "primary" if number % group == 0 else "replica",
        7,
        Position(7, 1_234_567 + number),
        record.mysql_address,
        record.admin_address,
        primary=f"{record.service}-1",
        primary_contact_ms=0,
        zone=record.zone,
    )


def established(number: int, group: int = 3) -> EstablishTerm:
    """Return the term of a service."""
    of = service(number)
    members = range(number * group, number * group + group)
    return EstablishTerm(
        of,
        7,
        f"{of}-1",
        tuple(f"{of}-{n + 1}" for n in range(group)),
        tuple(f"{n:032x}" for n in members),
        1_000_000,
    )


def established_record(number: int, group: int = 3) -> ServiceRecord:
    """Return the record of a service with an established term."""
    term = established(number, group)
    return ServiceRecord(
        term.service,
        group,
        term.term,
        term.term,
        term.primary,
        term.voters,
        term.incarnations,
        term.marker,
    )


def workspace(number: int, bindings: int = 3) -> WorkspaceRecord:
    """Return a workspace bound to some services."""
    return WorkspaceRecord(
        f"mill-{number:05}",
        f"{number:040x}",
        tuple(
            ServiceBinding(service(number * bindings + n), 1000)
            for n in range(bindings)
        ),
        100,
        20,
        500.0,
    )


def cluster(
    hosts: int = 0,
    services: int = 0,
    workspaces: int = 0,
    group: int = 3,
    spare_endpoints: int = 0,
) -> ClusterState:
    """Return a state with so many records, each service with its group."""
    state = ClusterState()
    sheet = AcceptSheet(
        1,
        "0" * 64,
        tuple(ServiceRecord(service(n), group) for n in range(services)),
        tuple(workspace(n) for n in range(workspaces)),
    )
    state.apply(1, sheet)
    endpoints = services * group + spare_endpoints
    commands = [RegisterHost(host(n)) for n in range(hosts)]
    commands += [
        RegisterEndpoint(endpoint(n, group)) for n in range(endpoints)
    ]
    for start in range(0, len(commands), 500):
        batch = Batch(tuple(commands[start : start + 500]))
        state.apply(state.index + 1, batch)
    for number in range(services):
        term = established(number, group)
        record = state.services[service(number)]
        begun = msgspec.structs.replace(record, begun_term=7)
        state.tables["service"].records[term.service] = begun
        state.apply(state.index + 1, term)
    return state
