"""Sign of life of an entry host and its connection leases."""

import asyncio
import collections.abc

from chivescale import clock
from chivescale.errors import ErrorKind, is_failure
from chivescale.messages import Heartbeat, HeartbeatReply
from chivescale.transport import Client

CALL_TIMEOUT_S = 0.8


class LeaderCalls:
    """Sends requests to the control leader, wherever it is.

    Parameters
    ----------
    client : Client
        Transport.
    control : list of str
        API addresses of the control hosts.
    """

    def __init__(self, client: Client, control: list[str]):
        self.client = client
        self.control = control
        self.leader = control[0]

    async def call(self, method, path, reply_type, body, deadline: float):
        """Call the leader, following redirects and trying every host.

        Only for requests that are safe to repeat.
        """
        answer = None
        tries = [self.leader, *self.control]
        while tries and clock.now() < deadline:
            address = tries.pop(0)
            left = deadline - clock.now()
            answer = await self.client.call(
                address,
                method,
                path,
                reply_type,
                body,
                timeout_s=min(CALL_TIMEOUT_S, left),
            )
            if not is_failure(answer):
                self.leader = address
                return answer
            if answer.kind is ErrorKind.NOT_LEADER and answer.redirect:
                # At most one redirect per host, so that two hosts that
                # name each other cannot cause a loop.
                if answer.redirect in tries:
                    tries.remove(answer.redirect)
                    tries.insert(0, answer.redirect)
            elif answer.kind not in _TRY_NEXT:
                return answer
        return answer


_TRY_NEXT = {
    ErrorKind.NOT_LEADER,
    ErrorKind.UNREACHABLE,
    ErrorKind.TIMEOUT,
    ErrorKind.NOT_READY,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.STORAGE_FAILED,
}


async def send_heartbeats(
    calls: LeaderCalls,
    interval_s: float,
    build: collections.abc.Callable[[], Heartbeat],
    receive: collections.abc.Callable[[HeartbeatReply, float], None],
) -> None:
    """Send a heartbeat every `interval_s` until cancelled.

    `receive` gets the reply and when its heartbeat was sent, in monotonic
    seconds.
    """
    while True:
        started = clock.now()
        reply = await calls.call(
            "POST",
            "/v1/hosts/heartbeat",
            HeartbeatReply,
            build(),
            started + 2 * interval_s,
        )
        if reply is not None and not is_failure(reply):
            receive(reply, started)
        elapsed = clock.now() - started
        await asyncio.sleep(max(0.0, interval_s - elapsed))
