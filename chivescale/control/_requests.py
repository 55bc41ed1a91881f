"""Requests from the control leader to endpoints."""

from chivescale import clock, failover
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

Request = (
    failover.SendPromise
    | failover.SendPromote
    | failover.SendFollow
    | failover.AskPosition
)


async def send_request(client: Client, service: str, effect: Request):
    """Send the request that an effect of the failover state machine describes.

    Returns
    -------
    event or None
        Event with the reply or the failure; None for a reply that the state
        machine does not wait for.
    """
    sent_at = clock.now()
    method, path, reply_type, body = _build_request(service, effect)
    reply = await client.call(
        effect.address,
        method,
        path,
        reply_type,
        body,
        timeout_s=effect.timeout_s,
        fresh=getattr(effect, "fresh", False),
    )
    endpoint_name = effect.endpoint
    if is_failure(reply):
        refused = reply.kind is ErrorKind.UNREACHABLE
        operation = path.removeprefix("/v1/").partition("?")[0]
        return failover.RequestFailed(
            endpoint_name, operation, effect.term, sent_at, refused
        )
    if isinstance(effect, failover.SendPromise):
        return failover.PromiseAnswered(endpoint_name, effect.term, reply)
    if isinstance(effect, failover.SendPromote):
        return failover.PromoteAnswered(endpoint_name, effect.term, reply)
    if isinstance(effect, failover.AskPosition):
        return failover.PositionAnswered(endpoint_name, sent_at, reply)
    return None


def _build_request(service: str, effect: Request):
    """Return method, path, reply type and body of the request."""
    if isinstance(effect, failover.SendPromise):
        body = Promise(service, effect.term)
        return "POST", "/v1/promise", PromiseReply, body
    if isinstance(effect, failover.SendPromote):
        body = Promote(service, effect.term, effect.voters)
        return "POST", "/v1/promote", PromoteReply, body
    if isinstance(effect, failover.SendFollow):
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
