"""Command that shows the status of the whole system."""

import argparse
import asyncio

import msgspec

from chivescale.cli._health import find_problems
from chivescale.cli._report import (
    ExitCode,
    Report,
    format_table,
    report_failure,
)
from chivescale.cli._snapshot import EntryAnswer, SystemSnapshot
from chivescale.cli._system import System
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    EndpointStatus,
    HostRecord,
    Status,
    WatchReply,
)

# An unresponsive host must not delay the whole status.
QUERY_TIMEOUT_S = 1.5
MAX_CONCURRENT_QUERIES = 64


async def show_status(system: System, options: argparse.Namespace) -> Report:
    """Show hosts, services, endpoints, workspaces and problems."""
    snapshot = await _take_snapshot(system, options.service)
    if is_failure(snapshot):
        return report_failure(snapshot, reads_only=True)
    problems = find_problems(snapshot)
    lines = [
        *_control_table(snapshot),
        "",
        *_host_table(snapshot),
        "",
        *_service_table(snapshot),
        "",
        *_endpoint_table(snapshot),
        "",
        *_workspace_table(snapshot),
        "",
    ]
    lines += [f"problem: {text}" for text in problems] or ["healthy"]
    return Report(
        ExitCode.REFUSED if problems else ExitCode.OK,
        _to_json_data(snapshot, problems),
        lines,
    )


async def query_entry_hosts(
    system: System,
) -> list[tuple[HostRecord, EntryAnswer | Failure]] | Failure:
    """Query the status of every known entry host."""
    control = await _query_control_hosts(system)
    state = await _read_state(system, control)
    if is_failure(state):
        return state
    return await _query_entry_hosts(system, state)


async def _take_snapshot(
    system: System, service: str | None
) -> SystemSnapshot | Failure:
    control = await _query_control_hosts(system)
    state = await _read_state(system, control)
    if is_failure(state):
        return state
    if service is not None:
        state = _filter_by_service(state, service)
        if not state.services:
            reason = f"no service {service}"
            return Failure(ErrorKind.SERVICE_NOT_ALLOWED, reason)
    hosts, endpoints = await asyncio.gather(
        _query_entry_hosts(system, state), _query_endpoints(system, state)
    )
    return SystemSnapshot(state, control, hosts, endpoints)


async def _query_control_hosts(
    system: System,
) -> list[tuple[str, Status | Failure]]:
    addresses = list(system.access.control)
    answers = await _query_all(system, addresses, "/v1/status", Status)
    known = list(zip(addresses, answers, strict=True))
    # A single known address is enough to discover the other hosts.
    discovered = {
        member.address
        for _, answer in known
        if not is_failure(answer)
        for member in answer.members
    }
    more = sorted(discovered - set(addresses))
    answers = await _query_all(system, more, "/v1/status", Status)
    return known + list(zip(more, answers, strict=True))


async def _read_state(
    system: System, control: list[tuple[str, Status | Failure]]
) -> WatchReply | Failure:
    """Return the latest state among the reachable control hosts."""
    reachable = [
        (answer.index, address)
        for address, answer in control
        if not is_failure(answer)
    ]
    failure = Failure(ErrorKind.UNREACHABLE, "no control host answers")
    for _, address in sorted(reachable, reverse=True):
        answer = await system.client.call(
            address,
            "GET",
            "/v1/watch?after=0&wait_ms=0",
            WatchReply,
            timeout_s=QUERY_TIMEOUT_S,
        )
        if not is_failure(answer):
            return answer
        failure = answer
    for _, answer in control:
        # A wrong secret is reported as such, not as a network problem.
        if is_failure(answer) and answer.kind is ErrorKind.SIGNATURE_INVALID:
            return answer
    return failure


def _filter_by_service(state: WatchReply, service: str) -> WatchReply:
    return msgspec.structs.replace(
        state,
        services=tuple(
            item for item in state.services if item.service == service
        ),
        endpoints=tuple(
            item for item in state.endpoints if item.service == service
        ),
        workspaces=tuple(
            item
            for item in state.workspaces
            if any(bound.service == service for bound in item.bindings)
        ),
    )


async def _query_entry_hosts(system: System, state: WatchReply):
    hosts = sorted(state.hosts, key=lambda item: item.host)
    addresses = [item.api_address for item in hosts]
    answers = await _query_all(system, addresses, "/v1/status", EntryAnswer)
    return list(zip(hosts, answers, strict=True))


async def _query_endpoints(system: System, state: WatchReply):
    endpoints = sorted(
        state.endpoints, key=lambda item: (item.service, item.endpoint)
    )
    addresses = [item.admin_address for item in endpoints]
    answers = await _query_all(
        system, addresses, "/v1/position", EndpointStatus
    )
    return list(zip(endpoints, answers, strict=True))


async def _query_all(
    system: System, addresses: list[str], path: str, reply_type
) -> list:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(address: str):
        async with semaphore:
            return await system.client.call(
                address, "GET", path, reply_type, timeout_s=QUERY_TIMEOUT_S
            )

    return await asyncio.gather(*map(query, addresses))


def _control_table(snapshot: SystemSnapshot) -> list[str]:
    rows = [
        (address, "-", "unreachable", "-", "-", "-")
        if is_failure(answer)
        else (
            address,
            answer.host,
            answer.role,
            answer.term,
            answer.index,
            answer.sheet,
        )
        for address, answer in snapshot.control
    ]
    header = ("control host", "name", "role", "term", "index", "sheet")
    return format_table(header, rows)


def _host_table(snapshot: SystemSnapshot) -> list[str]:
    rows = [
        (
            host.host,
            host.zone,
            host.mysql_address,
            _host_state(host, answer),
            *(
                ("-", "-", "-", "-")
                if is_failure(answer)
                else (
                    answer.index,
                    answer.sheet,
                    answer.callers,
                    answer.transactions,
                )
            ),
        )
        for host, answer in snapshot.hosts
    ]
    header = (
        "entry host",
        "zone",
        "mysql",
        "state",
        "index",
        "sheet",
        "callers",
        "transactions",
    )
    return format_table(header, rows)


def _host_state(host: HostRecord, answer: EntryAnswer | Failure) -> str:
    if is_failure(answer):
        return "unreachable"
    if host.draining or answer.draining:
        return "draining"
    return "ready" if answer.ready else "not ready"


def _service_table(snapshot: SystemSnapshot) -> list[str]:
    rows = [
        (
            item.service,
            item.term,
            item.primary or "-",
            " ".join(item.voters) or "-",
            item.group_size,
        )
        for item in sorted(
            snapshot.state.services, key=lambda item: item.service
        )
    ]
    return format_table(("service", "term", "primary", "voters", "size"), rows)


def _endpoint_table(snapshot: SystemSnapshot) -> list[str]:
    rows = []
    for record, answer in snapshot.endpoints:
        where = (record.service, record.endpoint, record.zone)
        if is_failure(answer):
            rows.append((*where, "unreachable", "-", "-", "-", "-", "-"))
            continue
        leaving = record.leaving or answer.leaving
        rows.append(
            (
                *where,
                answer.role,
                answer.promised_term,
                f"{answer.last.term}:{answer.last.position}",
                lag_entries(snapshot, answer),
                answer.primary_contact_ms,
                "yes" if leaving else "no",
            )
        )
    header = (
        "service",
        "endpoint",
        "zone",
        "role",
        "term",
        "position",
        "lag",
        "contact_ms",
        "leaving",
    )
    return format_table(header, rows)


def lag_entries(snapshot: SystemSnapshot, status: EndpointStatus) -> int:
    """Return the replication lag of an endpoint, in log entries."""
    newest = max(
        answer.last
        for record, answer in snapshot.endpoints
        if not is_failure(answer) and record.service == status.service
    )
    return max(0, newest.position - status.last.position)


def _workspace_table(snapshot: SystemSnapshot) -> list[str]:
    rows = [
        (
            item.name,
            " ".join(bound.service for bound in item.bindings) or "-",
            item.max_connections,
            item.max_concurrent,
            f"{item.max_rate:g}",
        )
        for item in sorted(
            snapshot.state.workspaces, key=lambda item: item.name
        )
    ]
    header = ("workspace", "services", "connections", "concurrent", "rate")
    return format_table(header, rows)


def _to_json_data(snapshot: SystemSnapshot, problems: list[str]) -> dict:
    state = snapshot.state
    return {
        "problems": problems,
        "index": state.index,
        "authoritative": state.authoritative,
        "sheet": state.sheet,
        "control": [
            {"address": address, **_status_or_error(answer)}
            for address, answer in snapshot.control
        ],
        "hosts": [
            {"record": record, **_status_or_error(answer)}
            for record, answer in snapshot.hosts
        ],
        "services": state.services,
        "endpoints": [
            {"record": record, **_status_or_error(answer)}
            for record, answer in snapshot.endpoints
        ],
        # Secret hashes are as sensitive as the secrets and are omitted.
        "workspaces": [
            msgspec.structs.replace(item, secret_hash="")
            for item in state.workspaces
        ],
    }


def _status_or_error(answer) -> dict:
    if is_failure(answer):
        return {"error": f"{answer.kind.value}: {answer.reason}"}
    return {"status": answer}
