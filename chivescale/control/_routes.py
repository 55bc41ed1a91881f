"""HTTP routes of a control host."""

import asyncio
import typing

from chivescale import clock
from chivescale.agreement import AgreementHost, Role
from chivescale.control._leadership import Leadership
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
from chivescale.settings import Settings
from chivescale.sheet import digest, parse_sheet
from chivescale.state import ClusterState
from chivescale.telemetry import log_event
from chivescale.transport import Request, Route

# Fits a sheet of 4 MiB that is encoded as a JSON string.
SHEET_BODY_LIMIT_BYTES = 8 << 20

# A watch is answered this long before the deadline of its request.
WATCH_REPLY_MARGIN_S = 0.1
MAX_WATCH_WAIT_S = 30.0


class RoutedHost(typing.Protocol):
    """What the routes need of a control host."""

    settings: Settings
    agreement: AgreementHost
    state: ClusterState
    leadership: Leadership | None

    async def watch(self, after: int, deadline: float) -> WatchReply: ...

    def not_leader_failure(self) -> Failure: ...

    def log_refused(self, operation: str, failure: Failure) -> None: ...


def make_routes(host: RoutedHost) -> list[Route]:
    """Return the routes of a control host (section 3.1 of the design)."""

    def leader_only(handler):
        """Reject requests with the leader's address unless this host leads."""

        async def handle(request: Request):
            if host.leadership is None or not host.agreement.is_leader:
                return host.not_leader_failure()
            return await handler(host, request)

        return handle

    def any_host(handler):
        async def handle(request: Request):
            return await handler(host, request)

        return handle

    return [
        Route("GET", "/v1/watch", any_host(_watch)),
        Route("GET", "/v1/status", any_host(_status)),
        Route("GET", "/v1/sheet", leader_only(_show_sheet)),
        Route(
            "POST",
            "/v1/sheet",
            leader_only(_upload_sheet),
            SheetUpload,
            body_limit=SHEET_BODY_LIMIT_BYTES,
        ),
        Route(
            "POST", "/v1/hosts/heartbeat", leader_only(_heartbeat), Heartbeat
        ),
        Route(
            "POST",
            "/v1/endpoints/announce",
            leader_only(_announce),
            Announcement,
        ),
        Route("POST", "/v1/suspicions", leader_only(_suspect), Suspicion),
        Route("POST", "/v1/hosts/drain", leader_only(_drain), DrainRequest),
        Route(
            "POST",
            "/v1/members/replace",
            leader_only(_replace),
            ReplaceRequest,
        ),
    ]


async def _watch(host: RoutedHost, request: Request) -> WatchReply | Failure:
    try:
        after = int(request.query.get("after", 0))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
    except ValueError as err:
        return Failure(
            ErrorKind.BAD_REQUEST, f"query parameters of the watch: {err}"
        )
    if host.agreement.failure is not None:
        return host.agreement.failure
    if after < 0 or wait_s < 0:
        return Failure(
            ErrorKind.BAD_REQUEST, "query parameters must not be negative"
        )
    now = clock.now()
    latest = request.deadline - WATCH_REPLY_MARGIN_S
    deadline = min(now + min(wait_s, MAX_WATCH_WAIT_S), latest)
    return await host.watch(after, deadline)


async def _status(host: RoutedHost, request: Request) -> Status:
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


def _members(host: RoutedHost) -> tuple[MemberStatus, ...]:
    """Return the members; replication progress is known to the leader only."""
    agreement, machine = host.agreement, host.agreement.machine
    progress = {}
    if machine is not None and machine.role is Role.LEADER:
        progress = machine.leading.progress
    now = clock.now()
    members = []
    for member in agreement.configuration.members:
        match_index, contact_ms = -1, -1
        if member.name == agreement.name and progress:
            match_index, contact_ms = machine.log.last_index, 0
        elif peer := progress.get((member.name, member.incarnation)):
            match_index = peer.match
            contact_ms = max(0, int((now - peer.contact) * 1000))
        members.append(
            MemberStatus(
                member.name,
                member.address,
                member.voter,
                match_index,
                contact_ms,
            )
        )
    return tuple(members)


async def _show_sheet(
    host: RoutedHost, request: Request
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


def _encode_command(upload: SheetUpload) -> bytes | Failure:
    """Parse an uploaded sheet and encode its command; runs in a thread."""
    sheet = parse_sheet(upload.content)
    if is_failure(sheet):
        return sheet
    command = AcceptSheet(
        upload.number, digest(sheet), sheet.services, sheet.workspaces
    )
    return encode(command)


async def _upload_sheet(
    host: RoutedHost, request: Request
) -> SheetAnswer | Failure:
    upload = request.body
    if upload.number < 1:
        return Failure(
            ErrorKind.SHEET_INVALID, "sheet number must be at least 1"
        )
    # Parsed in a thread: a large sheet would block the event loop for longer
    # than a heartbeat may be delayed.
    command = await asyncio.to_thread(_encode_command, upload)
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


async def _heartbeat(host: RoutedHost, request: Request) -> HeartbeatReply:
    leadership = host.leadership
    leases = leadership.heartbeat(request.body)
    lease_ms = int(leadership.leases.lease_s * 1000)
    return HeartbeatReply(leases, lease_ms, host.state.index)


async def _announce(host: RoutedHost, request: Request) -> Accepted:
    host.leadership.announce(request.body.status)
    return Accepted()


async def _suspect(host: RoutedHost, request: Request) -> Accepted:
    host.leadership.suspect(request.body)
    return Accepted()


async def _drain(host: RoutedHost, request: Request) -> Accepted | Failure:
    command = encode(DrainHost(request.body.host))
    outcome = await host.agreement.submit(command, request.deadline)
    if is_failure(outcome):
        return outcome
    if is_failure(outcome.result):
        return outcome.result
    log_event("drain_ordered", host=request.body.host)
    return Accepted()


async def _replace(host: RoutedHost, request: Request) -> Accepted | Failure:
    outcome = await host.agreement.replace_member(
        request.body.name, request.deadline
    )
    if is_failure(outcome):
        return outcome
    log_event("member_replaced", name=request.body.name)
    return Accepted()
