"""Heartbeats of an entry host and requests to the control leader."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import Heartbeat, HeartbeatReply
from chivescale.transport import Client

CALL_TIMEOUT_S = 0.8


class ControlLeaderClient:
    """Client that locates the control leader and sends requests to it.

    Parameters
    ----------
    client : Client
        Transport.
    control : list of str
        API addresses of the control hosts.

    Attributes
    ----------
    leader : str
        Address of the host that last accepted a request.
    """

    def __init__(self, client: Client, control: list[str]):
        self.client = client
        self.control = control
        self.leader = control[0]

    async def call(self, method, path, reply_type, body, deadline: float):
        """Send a request to the leader.

        Follows redirects and tries all control hosts. The request may be sent
        more than once, so it must be idempotent.
        """
        answer = None
        addresses = [self.leader, *self.control]
        while addresses and clock.now() < deadline:
            address = addresses.pop(0)
            remaining_s = deadline - clock.now()
            answer = await self.client.call(
                address,
                method,
                path,
                reply_type,
                body,
                timeout_s=min(CALL_TIMEOUT_S, remaining_s),
            )
            if not is_failure(answer):
                self.leader = address
                return answer
            if answer.kind is ErrorKind.NOT_LEADER and answer.leader_address:
                # Each host is redirected to at most once, so that two hosts
                # that redirect to each other cannot cause a loop.
                if answer.leader_address in addresses:
                    addresses.remove(answer.leader_address)
                    addresses.insert(0, answer.leader_address)
            elif answer.kind not in _TRY_NEXT_HOST_KINDS:
                return answer
        return answer


_TRY_NEXT_HOST_KINDS = {
    ErrorKind.NOT_LEADER,
    ErrorKind.UNREACHABLE,
    ErrorKind.TIMEOUT,
    ErrorKind.NOT_READY,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.STORAGE_FAILED,
}


async def send_heartbeats(
    calls: ControlLeaderClient,
    interval_s: float,
    make_heartbeat: collections.abc.Callable[[], Heartbeat],
    on_reply: collections.abc.Callable[[HeartbeatReply, float], None],
) -> None:
    """Send heartbeats periodically until cancelled.

    Parameters
    ----------
    calls : ControlLeaderClient
        Client of the control leader.
    interval_s : float
        Time between two heartbeats.
    make_heartbeat : callable
        Returns the next heartbeat.
    on_reply : callable
        Called with each reply and the monotonic time in seconds at which its
        heartbeat was sent.
    """
    while True:
        started_at = clock.now()
        reply = await calls.call(
            "POST",
            "/v1/hosts/heartbeat",
            HeartbeatReply,
            make_heartbeat(),
            started_at + 2 * interval_s,
        )
        if reply is not None and not is_failure(reply):
            on_reply(reply, started_at)
        elapsed_s = clock.now() - started_at
        await asyncio.sleep(max(0.0, interval_s - elapsed_s))
