"""Health checks on a snapshot of the system."""

import collections.abc

from chivescale.cli._snapshot import SystemSnapshot
from chivescale.errors import is_failure
from chivescale.messages import ServiceRecord


def find_problems(snapshot: SystemSnapshot) -> list[str]:
    """Return one line for each problem that needs an operator."""
    return [
        *_control_problems(snapshot),
        *_host_problems(snapshot),
        *_service_problems(snapshot),
        *_endpoint_problems(snapshot),
    ]


def _control_problems(
    snapshot: SystemSnapshot,
) -> collections.abc.Iterator[str]:
    answers = [
        answer for _, answer in snapshot.control if not is_failure(answer)
    ]
    leader = next((item for item in answers if item.role == "leader"), None)
    if leader is None:
        yield "control hosts: no leader"
    for address, answer in snapshot.control:
        if is_failure(answer):
            yield f"control host {address}: {answer.reason}"
        elif leader is not None and not answer.leader:
            # Includes a host that lost its disk and is not yet readmitted.
            yield f"control host {answer.host}: follows no leader"
    if leader is not None:
        for member in leader.members:
            if not member.voter:
                yield f"control host {member.name}: has no vote yet"
    if snapshot.state.sheet is None:
        yield "no sheet is in force"


def _host_problems(
    snapshot: SystemSnapshot,
) -> collections.abc.Iterator[str]:
    if not snapshot.hosts:
        yield "no entry host is known"
    for host, answer in snapshot.hosts:
        if is_failure(answer):
            yield f"entry host {host.host}: {answer.reason}"
        elif not answer.ready and not (host.draining or answer.draining):
            yield f"entry host {host.host}: not ready"


def _service_problems(
    snapshot: SystemSnapshot,
) -> collections.abc.Iterator[str]:
    alive = {
        record.endpoint: answer
        for record, answer in snapshot.endpoints
        if not is_failure(answer)
    }
    for service in snapshot.state.services:
        if not service.term:
            known = sum(
                record.service == service.service
                for record, _ in snapshot.endpoints
            )
            yield (
                f"service {service.service}: no term yet, {known} of "
                f"{service.group_size} endpoints known"
            )
            continue
        yield from _voter_problems(service, alive)


def _voter_problems(
    service: ServiceRecord, alive: dict
) -> collections.abc.Iterator[str]:
    name = service.service
    reachable = [voter for voter in service.voters if voter in alive]
    quorum = len(service.voters) // 2 + 1
    if len(reachable) < quorum:
        yield (
            f"service {name}: {len(reachable)} of {len(service.voters)} "
            f"voters reachable, a quorum is {quorum}"
        )
    primary = alive.get(service.primary)
    if primary is None:
        yield f"service {name}: primary {service.primary} is not reachable"
    elif primary.role != "primary":
        yield (
            f"service {name}: primary {service.primary} reports the role "
            f"{primary.role}"
        )
    if len(service.voters) < service.group_size:
        yield (
            f"service {name}: {len(service.voters)} of "
            f"{service.group_size} voters"
        )


def _endpoint_problems(
    snapshot: SystemSnapshot,
) -> collections.abc.Iterator[str]:
    primaries = {item.primary for item in snapshot.state.services}
    for record, answer in snapshot.endpoints:
        if is_failure(answer) and record.endpoint not in primaries:
            yield f"endpoint {record.endpoint}: {answer.reason}"
