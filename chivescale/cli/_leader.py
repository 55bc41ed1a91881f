"""Requests to the control leader from outside the system."""

import asyncio
import typing

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.transport import Client

# One host may hang for as long as this before the next one is asked.
TRY_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5

# Answers of a host that cannot serve the request now; another one may, or
# the same one after an election.
_TRY_NEXT = (
    ErrorKind.UNREACHABLE,
    ErrorKind.TIMEOUT,
    ErrorKind.NOT_LEADER,
    ErrorKind.NOT_READY,
    ErrorKind.NO_QUORUM,
    ErrorKind.SHUTTING_DOWN,
    ErrorKind.DID_NOT_RUN,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.OVERLOADED,
    ErrorKind.DEADLINE_NOT_STARTED,
    ErrorKind.STORAGE_FAILED,
)


class LeaderClient:
    """Finds the control leader through any control host.

    Parameters
    ----------
    client : Client
        Transport.
    addresses : tuple of str
        Known control hosts; redirects lead to further ones.
    """

    def __init__(self, client: Client, addresses: tuple[str, ...]):
        self.client = client
        self.addresses = addresses

    async def call(
        self,
        method: str,
        path: str,
        reply_type: typing.Any,
        body: object = None,
        *,
        timeout_s: float,
    ) -> typing.Any:
        """Send a request that is safe to repeat until it is answered.

        Returns
        -------
        reply or Failure
            The last failure once `timeout_s` has passed; ``TIMEOUT`` if any
            attempt may have taken effect.
        """
        deadline = clock.now() + timeout_s
        pause_s = FIRST_PAUSE_S
        in_doubt = False
        answer: typing.Any = Failure(ErrorKind.UNREACHABLE, "no time left")
        while clock.now() < deadline:
            answer, doubt = await self._round(
                method, path, reply_type, body, deadline
            )
            in_doubt = in_doubt or doubt
            if not is_failure(answer) or answer.kind not in _TRY_NEXT:
                return answer
            left = deadline - clock.now()
            await asyncio.sleep(max(0.0, min(pause_s, left)))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        if in_doubt:
            reason = f"no answer in {timeout_s:g} s; last: {answer.reason}"
            return Failure(ErrorKind.TIMEOUT, reason)
        return answer

    async def _round(self, method, path, reply_type, body, deadline):
        """Ask each known host once; redirects come first."""
        waiting = list(self.addresses)
        asked: set[str] = set()
        in_doubt = False
        answer = Failure(ErrorKind.UNREACHABLE, "no control host")
        while waiting:
            address = waiting.pop(0)
            left = deadline - clock.now()
            if address in asked or left <= 0:
                continue
            asked.add(address)
            answer = await self.client.call(
                address,
                method,
                path,
                reply_type,
                body,
                timeout_s=min(TRY_TIMEOUT_S, left),
            )
            if not is_failure(answer) or answer.kind not in _TRY_NEXT:
                return answer, in_doubt
            in_doubt = in_doubt or answer.may_have_run
            if answer.leader_address:
                waiting.insert(0, answer.leader_address)
        return answer, in_doubt
