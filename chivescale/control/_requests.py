"""Requests of the control leader to endpoints."""

from chivescale import clock
from chivescale import failover as fo
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import (
    Accepted,
    EndpointStatus,
    Follow,
    Promise,
    PromiseReply,
    Promote,
    PromoteReply,
)
from chivescale.transport import Client

Request = fo.SendPromise | fo.SendPromote | fo.SendFollow | fo.AskPosition


async def execute(client: Client, service: str, effect: Request):
    """Send the request of an effect.

    Returns
    -------
    event or None
        Answer or failure for the state machine; None for a plain success
        that it does not wait for.
    """
    asked_at = clock.now()
    method, path, reply_type, body = _describe(service, effect)
    reply = await client.call(
        effect.address,
        method,
        path,
        reply_type,
        body,
        timeout_s=effect.timeout_s,
        fresh=getattr(effect, "fresh", False),
    )
    name = effect.endpoint
    if is_failure(reply):
        refused = reply.kind is ErrorKind.UNREACHABLE
        request = path.removeprefix("/v1/").partition("?")[0]
        return fo.RequestFailed(name, request, effect.term, asked_at, refused)
    if isinstance(effect, fo.SendPromise):
        return fo.PromiseAnswered(name, effect.term, reply)
    if isinstance(effect, fo.SendPromote):
        return fo.PromoteAnswered(name, effect.term, reply)
    if isinstance(effect, fo.AskPosition):
        return fo.PositionAnswered(name, asked_at, reply)
    return None


def _describe(service: str, effect: Request):
    """Return method, path, reply type and body of an effect."""
    if isinstance(effect, fo.SendPromise):
        body = Promise(service, effect.term)
        return "POST", "/v1/promise", PromiseReply, body
    if isinstance(effect, fo.SendPromote):
        body = Promote(service, effect.term, effect.voters)
        return "POST", "/v1/promote", PromoteReply, body
    if isinstance(effect, fo.SendFollow):
        body = Follow(
            service, effect.term, effect.primary, effect.primary_address
        )
        return "POST", "/v1/follow", Accepted, body
    path = "/v1/position"
    if effect.wait_for is not None:
        path += (
            f"?term={effect.wait_for.term}"
            f"&position={effect.wait_for.position}&wait_ms={effect.wait_ms}"
        )
    return "GET", path, EndpointStatus, None
