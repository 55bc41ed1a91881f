"""HTTP routes of an entry host."""

import msgspec

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Accepted, Announcement
from chivescale.transport import Request, Route

FORWARD_TIMEOUT_S = 2.0
MAX_WAIT_MS = 10_000


class EntryStatus(msgspec.Struct, frozen=True):
    """Status of one entry host for operators.

    Attributes
    ----------
    host, zone : str
        Name and availability zone of the host.
    index : int
        Log index of the applied state.
    sheet : int
        Number of the current sheet; 0 for none.
    ready, draining : bool
        Whether load balancers should send callers; whether the host is
        draining.
    callers, transactions : int
        Number of open caller connections and transactions.
    held : dict of int
        Number of connections held for each endpoint.
    proven_age_ms : dict of float
        Proven age of each endpoint; -1 if unknown.
    drained : bool or None
        Whether the host has drained and takes no caller any more; None if a
        host of an earlier version does not tell.
    """

    host: str
    zone: str
    index: int
    sheet: int
    ready: bool
    draining: bool
    callers: int
    transactions: int
    held: dict[str, int]
    proven_age_ms: dict[str, float]
    drained: bool | None = None


def entry_routes(host) -> list[Route]:
    """Return the routes of an entry host.

    Parameters
    ----------
    host : EntryHost
        Host that handles the requests.
    """

    async def announce(request: Request):
        host.services.note_status(request.body.status)
        return await host.calls.call(
            "POST",
            "/v1/endpoints/announce",
            Accepted,
            request.body,
            min(request.deadline, clock.now() + FORWARD_TIMEOUT_S),
        )

    async def state(request: Request):
        after = _parse_number(request, "after", 0)
        if is_failure(after):
            return after
        return host.watch.state.changes_since(after)

    async def ready(request: Request):
        if not host.is_ready:
            return Failure(ErrorKind.NOT_READY, "host is starting or draining")
        return Accepted()

    async def status(request: Request):
        return host.status()

    async def drain(request: Request):
        host.begin_drain()
        return Accepted(reason="draining")

    return [
        Route("POST", "/v1/endpoints/announce", announce, Announcement),
        Route("GET", "/v1/state", state),
        # Load balancers cannot sign their health checks.
        Route("GET", "/v1/ready", ready, signed=False),
        Route("GET", "/v1/status", status),
        Route("POST", "/v1/drain", drain),
    ]


def _parse_number(request: Request, name: str, default: int) -> int | Failure:
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        reason = f"{name}: not a non-negative integer below 10^18"
        return Failure(ErrorKind.MESSAGE_INVALID, reason)
    return int(text)
