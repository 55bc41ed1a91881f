"""State of the whole system."""

import argparse
import asyncio

import msgspec

from chivescale.cli._health import find_problems
from chivescale.cli._report import ExitCode, Report, report_failure, table
from chivescale.cli._system import System
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    HostRecord,
    Status,
    WatchReply,
)

# A host that does not answer must not hold up the whole picture.
ASK_TIMEOUT_S = 1.5
MAX_PARALLEL = 64


class EntryAnswer(msgspec.Struct, frozen=True):
    """What this command shows of an entry host's status."""

    index: int
    sheet: int = 0
    ready: bool = False
    draining: bool = False
    callers: int = 0
    transactions: int = 0


class Picture(msgspec.Struct):
    """Answers of every process at about one time."""

    state: WatchReply
    control: list[tuple[str, Status | Failure]]
    hosts: list[tuple[HostRecord, EntryAnswer | Failure]]
    endpoints: list[tuple[EndpointRecord, EndpointStatus | Failure]]


async def show_status(system: System, options: argparse.Namespace) -> Report:
    """Show hosts, services, endpoints and workspaces, and what is wrong."""
    picture = await _look(system, options.service)
    if is_failure(picture):
        return report_failure(picture, reads_only=True)
    problems = find_problems(picture)
    lines = [
        *_control_table(picture),
        "",
        *_host_table(picture),
        "",
        *_service_table(picture),
        "",
        *_endpoint_table(picture),
        "",
        *_workspace_table(picture),
        "",
    ]
    lines += [f"problem: {text}" for text in problems] or ["healthy"]
    return Report(
        ExitCode.REFUSED if problems else ExitCode.OK,
        _as_data(picture, problems),
        lines,
    )


async def ask_entry_hosts(
    system: System,
) -> list[tuple[HostRecord, EntryAnswer | Failure]] | Failure:
    """Ask every known entry host for its status."""
    control = await _ask_control(system)
    state = await _read_state(system, control)
    if is_failure(state):
        return state
    return await _ask_hosts(system, state)


async def _look(system: System, service: str | None) -> Picture | Failure:
    control = await _ask_control(system)
    state = await _read_state(system, control)
    if is_failure(state):
        return state
    if service is not None:
        state = _only(state, service)
        if not state.services:
            reason = f"no service {service}"
            return Failure(ErrorKind.SERVICE_NOT_ALLOWED, reason)
    hosts, endpoints = await asyncio.gather(
        _ask_hosts(system, state), _ask_endpoints(system, state)
    )
    return Picture(state, control, hosts, endpoints)


async def _ask_control(
    system: System,
) -> list[tuple[str, Status | Failure]]:
    addresses = list(system.access.control)
    answers = await _ask_all(system, addresses, "/v1/status", Status)
    known = list(zip(addresses, answers, strict=True))
    # One address given by hand is enough to find the other hosts.
    found = {
        member.address
        for _, answer in known
        if not is_failure(answer)
        for member in answer.members
    }
    more = sorted(found - set(addresses))
    answers = await _ask_all(system, more, "/v1/status", Status)
    return known + list(zip(more, answers, strict=True))


async def _read_state(
    system: System, control: list[tuple[str, Status | Failure]]
) -> WatchReply | Failure:
    """Return the newest state of the reachable control hosts."""
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
            timeout_s=ASK_TIMEOUT_S,
        )
        if not is_failure(answer):
            return answer
        failure = answer
    for _, answer in control:
        # A wrong secret is no network problem and has its own message.
        if is_failure(answer) and answer.kind is ErrorKind.SIGNATURE_INVALID:
            return answer
    return failure


def _only(state: WatchReply, service: str) -> WatchReply:
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


async def _ask_hosts(system: System, state: WatchReply):
    hosts = sorted(state.hosts, key=lambda item: item.host)
    addresses = [item.api_address for item in hosts]
    answers = await _ask_all(system, addresses, "/v1/status", EntryAnswer)
    return list(zip(hosts, answers, strict=True))


async def _ask_endpoints(system: System, state: WatchReply):
    endpoints = sorted(
        state.endpoints, key=lambda item: (item.service, item.endpoint)
    )
    addresses = [item.admin_address for item in endpoints]
    answers = await _ask_all(system, addresses, "/v1/position", EndpointStatus)
    return list(zip(endpoints, answers, strict=True))


async def _ask_all(
    system: System, addresses: list[str], path: str, reply_type
) -> list:
    gate = asyncio.Semaphore(MAX_PARALLEL)

    async def ask(address: str):
        async with gate:
            return await system.client.call(
                address, "GET", path, reply_type, timeout_s=ASK_TIMEOUT_S
            )

    return await asyncio.gather(*map(ask, addresses))


def _control_table(picture: Picture) -> list[str]:
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
        for address, answer in picture.control
    ]
    header = ("control host", "name", "role", "term", "index", "sheet")
    return table(header, rows)


def _host_table(picture: Picture) -> list[str]:
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
        for host, answer in picture.hosts
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
    return table(header, rows)


def _host_state(host: HostRecord, answer: EntryAnswer | Failure) -> str:
    if is_failure(answer):
        return "unreachable"
    if host.draining or answer.draining:
        return "draining"
    return "ready" if answer.ready else "not ready"


def _service_table(picture: Picture) -> list[str]:
    rows = [
        (
            item.service,
            item.term,
            item.primary or "-",
            " ".join(item.voters) or "-",
            item.group_size,
        )
        for item in sorted(
            picture.state.services, key=lambda item: item.service
        )
    ]
    return table(("service", "term", "primary", "voters", "size"), rows)


def _endpoint_table(picture: Picture) -> list[str]:
    rows = []
    for record, answer in picture.endpoints:
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
                lag_entries(picture, answer),
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
    return table(header, rows)


def lag_entries(picture: Picture, status: EndpointStatus) -> int:
    """Return how many log entries an endpoint is behind its group."""
    newest = max(
        answer.last
        for record, answer in picture.endpoints
        if not is_failure(answer) and record.service == status.service
    )
    return max(0, newest.position - status.last.position)


def _workspace_table(picture: Picture) -> list[str]:
    rows = [
        (
            item.name,
            " ".join(bound.service for bound in item.bindings) or "-",
            item.max_connections,
            item.max_concurrent,
            f"{item.max_rate:g}",
        )
        for item in sorted(
            picture.state.workspaces, key=lambda item: item.name
        )
    ]
    header = ("workspace", "services", "connections", "concurrent", "rate")
    return table(header, rows)


def _as_data(picture: Picture, problems: list[str]) -> dict:
    state = picture.state
    return {
        "problems": problems,
        "index": state.index,
        "authoritative": state.authoritative,
        "sheet": state.sheet,
        "control": [
            {"address": address, **_answer(answer)}
            for address, answer in picture.control
        ],
        "hosts": [
            {"record": record, **_answer(answer)}
            for record, answer in picture.hosts
        ],
        "services": state.services,
        "endpoints": [
            {"record": record, **_answer(answer)}
            for record, answer in picture.endpoints
        ],
        # Hashes are as good as secrets and stay out of status output.
        "workspaces": [
            msgspec.structs.replace(item, secret_hash="")
            for item in state.workspaces
        ],
    }


def _answer(answer) -> dict:
    if is_failure(answer):
        return {"error": f"{answer.kind.value}: {answer.reason}"}
    return {"status": answer}
