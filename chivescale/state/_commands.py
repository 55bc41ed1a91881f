"""Handlers that apply commands to the replicated state.

Every handler must be deterministic: all control hosts apply the same commands
and must reach the same state.
"""

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import (
    AcceptSheet,
    BeginTerm,
    DrainHost,
    EstablishTerm,
    LeaveEndpoint,
    RegisterEndpoint,
    RegisterHost,
    RemoveEndpoint,
    RemoveHost,
    ServiceRecord,
    SheetRecord,
)
from chivescale.state._results import (
    EndpointChanged,
    HostChanged,
    SheetApplied,
    TermBegun,
    TermEstablished,
)


def accept_sheet(state, index: int, command: AcceptSheet):
    """Make a sheet current if its number is new and the highest.

    See section 2.9 of the design.
    """
    current = state.sheet
    if current is not None and command.number < current.number:
        reason = (
            f"sheet {command.number} is older than the current sheet"
            f" {current.number}"
        )
        return Failure(ErrorKind.STALE_SHEET, reason)
    if current is not None and command.number == current.number:
        if command.digest != current.digest:
            reason = (
                f"sheet {command.number} was already uploaded with different"
                " content"
            )
            return Failure(ErrorKind.SHEET_CONFLICT, reason)
        return SheetApplied(
            current.number, current.digest, state.sheet_index, True
        )
    state.sheet = SheetRecord(command.number, command.digest)
    state.sheet_index = index
    _replace_workspaces(state, command)
    _replace_services(state, command)
    return SheetApplied(command.number, command.digest, index, False)


def _replace_workspaces(state, command: AcceptSheet) -> None:
    names = {record.name for record in command.workspaces}
    for name in sorted(set(state.workspaces) - names):
        state.remove("workspace", name)
    for record in command.workspaces:
        state.put("workspace", record.name, record)


def _replace_services(state, command: AcceptSheet) -> None:
    names = {record.service for record in command.services}
    for name in sorted(set(state.services) - names):
        # Keep the terms, so that a service that is added again later does
        # not reuse one.
        state.retired[name] = state.services[name]
        state.remove("service", name)
    for record in command.services:
        current = state.services.get(record.service)
        current = current or state.retired.pop(record.service, None)
        current = current or ServiceRecord(record.service)
        updated = msgspec.structs.replace(
            current, group_size=record.group_size
        )
        state.put("service", record.service, updated)


def register_host(state, index: int, command: RegisterHost):
    """Add or replace an entry host."""
    state.put("host", command.record.host, command.record)
    return HostChanged(command.record.host, command.record)


def remove_host(state, index: int, command: RemoveHost):
    """Remove an entry host unless a newer incarnation has registered."""
    record = state.hosts.get(command.host)
    if record is None:
        return HostChanged(command.host, None)
    if record.incarnation != command.incarnation:
        return _incarnation_mismatch(command.host)
    state.remove("host", command.host)
    return HostChanged(command.host, None)


def drain_host(state, index: int, command: DrainHost):
    """Mark an entry host as draining."""
    record = state.hosts.get(command.host)
    if record is None:
        return _not_registered(command.host)
    record = msgspec.structs.replace(record, draining=True)
    state.put("host", command.host, record)
    return HostChanged(command.host, record)


def register_endpoint(state, index: int, command: RegisterEndpoint):
    """Add or replace an endpoint."""
    record = command.record
    state.put("endpoint", record.endpoint, record)
    return EndpointChanged(record.endpoint, record)


def leave_endpoint(state, index: int, command: LeaveEndpoint):
    """Mark an endpoint as leaving."""
    record = state.endpoints.get(command.endpoint)
    if record is None:
        return _not_registered(command.endpoint)
    if record.incarnation != command.incarnation:
        return _incarnation_mismatch(command.endpoint)
    record = msgspec.structs.replace(record, leaving=True)
    state.put("endpoint", command.endpoint, record)
    return EndpointChanged(command.endpoint, record)


def remove_endpoint(state, index: int, command: RemoveEndpoint):
    """Remove an endpoint that is not a voter of its service."""
    record = state.endpoints.get(command.endpoint)
    if record is None:
        return EndpointChanged(command.endpoint, None)
    if record.incarnation != command.incarnation:
        return _incarnation_mismatch(command.endpoint)
    service = state.services.get(record.service)
    if service is not None and command.endpoint in service.voters:
        reason = f"{command.endpoint} is a voter of {record.service}"
        return Failure(ErrorKind.BAD_REQUEST, reason)
    state.remove("endpoint", command.endpoint)
    return EndpointChanged(command.endpoint, None)


def begin_term(state, index: int, command: BeginTerm):
    """Reserve a term; rejected unless it is above every reserved term."""
    record = state.services.get(command.service)
    if record is None:
        return _not_registered(command.service)
    if command.term <= record.begun_term:
        reason = (
            f"{command.service}: term {record.begun_term} is already"
            f" reserved, {command.term} is not above it"
        )
        return Failure(ErrorKind.STALE_TERM, reason)
    record = msgspec.structs.replace(record, begun_term=command.term)
    state.put("service", command.service, record)
    return TermBegun(record)


def establish_term(state, index: int, command: EstablishTerm):
    """Publish the latest reserved term; rejected for any other term."""
    record = state.services.get(command.service)
    if record is None:
        return _not_registered(command.service)
    if command.term != record.begun_term or command.term <= record.term:
        reason = (
            f"{command.service}: term {command.term} cannot be established;"
            f" reserved term {record.begun_term},"
            f" established term {record.term}"
        )
        return Failure(ErrorKind.STALE_TERM, reason)
    if len(command.voters) != len(command.incarnations):
        reason = f"{command.service}: requires one incarnation per voter"
        return Failure(ErrorKind.BAD_REQUEST, reason)
    record = msgspec.structs.replace(
        record,
        term=command.term,
        primary=command.primary,
        voters=command.voters,
        incarnations=command.incarnations,
        marker=command.marker,
    )
    state.put("service", command.service, record)
    return TermEstablished(record)


def _not_registered(name: str) -> Failure:
    return Failure(ErrorKind.UNKNOWN_MEMBER, f"{name} is not registered")


def _incarnation_mismatch(name: str) -> Failure:
    reason = f"{name} is registered with a different incarnation"
    return Failure(ErrorKind.UNKNOWN_MEMBER, reason)
