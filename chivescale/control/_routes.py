"""Requests that a control host serves."""

import asyncio
import typing

from chivescale import clock
from chivescale.agreement import Role
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import (
    Accepted,
    AcceptSheet,
    Announcement,
    DrainHost,
    DrainRequest,
    Heartbeat,
    HeartbeatReply,
    MemberStatus,
    ReplaceRequest,
    SheetAnswer,
    SheetUpload,
    Status,
    Suspicion,
    WatchReply,
    encode,
)
from chivescale.sheet import digest, parse_sheet
from chivescale.telemetry import log_event
from chivescale.transport import Request, Route

if typing.TYPE_CHECKING:
    from chivescale.control._host import ControlHost

# A sheet of 4 MiB as a JSON string.
SHEET_LIMIT_BYTES = 8 << 20

# The answer leaves this long before the reader's deadline.
WATCH_MARGIN_S = 0.1
MAX_WATCH_S = 30.0


def make_routes(host: "ControlHost") -> list[Route]:
    """Return the routes of section 3.1 for control hosts."""

    def leading(handler):
        """Answer elsewhere what only the leader may answer."""

        async def handle(request: Request):
            if host.leadership is None or not host.agreement.is_leader:
                return host.not_leader()
            return await handler(host, request)

        return handle

    def local(handler):
        async def handle(request: Request):
            return await handler(host, request)

        return handle

    return [
        Route("GET", "/v1/watch", local(_watch)),
        Route("GET", "/v1/status", local(_status)),
        Route("GET", "/v1/sheet", leading(_show_sheet)),
        Route(
            "POST",
            "/v1/sheet",
            leading(_upload_sheet),
            SheetUpload,
            body_limit=SHEET_LIMIT_BYTES,
        ),
        Route("POST", "/v1/hosts/heartbeat", leading(_heartbeat), Heartbeat),
        Route(
            "POST", "/v1/endpoints/announce", leading(_announce), Announcement
        ),
        Route("POST", "/v1/suspicions", leading(_suspect), Suspicion),
        Route("POST", "/v1/hosts/drain", leading(_drain), DrainRequest),
        Route(
            "POST", "/v1/members/replace", leading(_replace), ReplaceRequest
        ),
    ]


async def _watch(
    host: "ControlHost", request: Request
) -> WatchReply | Failure:
    try:
        after = int(request.query.get("after", 0))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
    except ValueError as err:
        return Failure(ErrorKind.BAD_REQUEST, f"query: {err}")
    if host.agreement.failure is not None:
        return host.agreement.failure
    if after < 0 or wait_s < 0:
        return Failure(ErrorKind.BAD_REQUEST, "query: negative number")
    now = clock.now()
    latest = request.deadline - WATCH_MARGIN_S
    deadline = min(now + min(wait_s, MAX_WATCH_S), latest)
    return await host.watch(after, deadline)


async def _status(host: "ControlHost", request: Request) -> Status:
    agreement, state = host.agreement, host.state
    machine = agreement.machine
    role = str(machine.role) if machine else "follower"
    if role == Role.PRE_CANDIDATE:
        role = str(Role.CANDIDATE)
    leadership = host.leadership
    return Status(
        host=host.settings.host.name,
        role=role,
        term=agreement.term,
        leader=agreement.leader_address,
        index=state.index,
        sheet=state.sheet.number if state.sheet else 0,
        members=_members(host),
        live_hosts=leadership.live_hosts() if leadership else (),
    )


def _members(host: "ControlHost") -> tuple[MemberStatus, ...]:
    """Return the members; only a leader knows how far they are."""
    agreement, machine = host.agreement, host.agreement.machine
    progress = {}
    if machine is not None and machine.role is Role.LEADER:
        progress = machine.leading.progress
    now = clock.now()
    members = []
    for member in agreement.configuration.members:
        match, contact_ms = -1, -1
        if member.name == agreement.name and progress:
            match, contact_ms = machine.log.last_index, 0
        elif known := progress.get((member.name, member.incarnation)):
            match = known.match
            contact_ms = max(0, int((now - known.contact) * 1000))
        members.append(
            MemberStatus(
                member.name, member.address, member.voter, match, contact_ms
            )
        )
    return tuple(members)


async def _show_sheet(
    host: "ControlHost", request: Request
) -> SheetAnswer | Failure:
    confirmed = await host.agreement.confirm_read(request.deadline)
    if is_failure(confirmed):
        return confirmed
    state = host.state
    if state.sheet is None:
        return SheetAnswer(0, "", 0)
    return SheetAnswer(
        state.sheet.number,
        state.sheet.digest,
        state.sheet_index,
        workspaces=tuple(state.workspaces.values()),
        services=tuple(state.services.values()),
    )


def _read_sheet(upload: SheetUpload) -> bytes | Failure:
    """Turn an upload into an encoded command; runs in a thread."""
    sheet = parse_sheet(upload.content)
    if is_failure(sheet):
        return sheet
    command = AcceptSheet(
        upload.number, digest(sheet), sheet.services, sheet.workspaces
    )
    return encode(command)


async def _upload_sheet(
    host: "ControlHost", request: Request
) -> SheetAnswer | Failure:
    upload = request.body
    if upload.number < 1:
        return Failure(ErrorKind.SHEET_INVALID, "number must be at least 1")
    # A large sheet takes longer to parse than a heartbeat may be late.
    command = await asyncio.to_thread(_read_sheet, upload)
    if is_failure(command):
        host.log_refused("sheet", command)
        return command
    outcome = await host.agreement.submit(command, request.deadline)
    if is_failure(outcome):
        return outcome
    if is_failure(outcome.result):
        host.log_refused("sheet", outcome.result)
        return outcome.result
    applied = outcome.result
    log_event(
        "sheet_accepted",
        number=applied.number,
        index=applied.index,
        repeated=applied.repeated,
    )
    return SheetAnswer(
        applied.number, applied.digest, applied.index, applied.repeated
    )


async def _heartbeat(host: "ControlHost", request: Request) -> HeartbeatReply:
    leadership = host.leadership
    leases = leadership.heartbeat(request.body)
    lease_ms = int(leadership.leases.lease_s * 1000)
    return HeartbeatReply(leases, lease_ms, host.state.index)


async def _announce(host: "ControlHost", request: Request) -> Accepted:
    host.leadership.announce(request.body.status)
    return Accepted()


async def _suspect(host: "ControlHost", request: Request) -> Accepted:
    host.leadership.suspect(request.body)
    return Accepted()


async def _drain(host: "ControlHost", request: Request) -> Accepted | Failure:
    command = encode(DrainHost(request.body.host))
    outcome = await host.agreement.submit(command, request.deadline)
    if is_failure(outcome):
        return outcome
    if is_failure(outcome.result):
        return outcome.result
    log_event("drain_ordered", host=request.body.host)
    return Accepted()


async def _replace(
    host: "ControlHost", request: Request
) -> Accepted | Failure:
    outcome = await host.agreement.replace_member(
        request.body.name, request.deadline
    )
    if is_failure(outcome):
        return outcome
    log_event("member_replaced", name=request.body.name)
    return Accepted()
