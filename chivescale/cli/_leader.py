"""Client for requests to the control leader."""

import asyncio
import typing

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.transport import Client

# Limits how long a host that does not respond delays the next attempt.
ATTEMPT_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5

# Errors of a host that cannot serve the request now. Another host may be
# able to, or the same one after an election.
_RETRYABLE_KINDS = (
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
    """Sends requests to the control leader, starting at any control host.

    Parameters
    ----------
    client : Client
        HTTP client.
    addresses : tuple of str
        Known control hosts; redirects can lead to others.
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
        """Send an idempotent request and retry it until it is answered.

        Returns
        -------
        reply or Failure
            The last failure after `timeout_s`; ``TIMEOUT`` if any attempt
            may have taken effect.
        """
        deadline = clock.now() + timeout_s
        backoff_s = INITIAL_BACKOFF_S
        in_doubt = False
        answer: typing.Any = Failure(ErrorKind.UNREACHABLE, "no time left")
        while clock.now() < deadline:
            answer, may_have_run = await self._try_hosts(
                method, path, reply_type, body, deadline
            )
            in_doubt = in_doubt or may_have_run
            if not is_failure(answer) or answer.kind not in _RETRYABLE_KINDS:
                return answer
            left = deadline - clock.now()
            await asyncio.sleep(max(0.0, min(backoff_s, left)))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        if in_doubt:
            reason = f"no answer in {timeout_s:g} s; last: {answer.reason}"
            return Failure(ErrorKind.TIMEOUT, reason)
        return answer

    async def _try_hosts(self, method, path, reply_type, body, deadline):
        """Send the request to each known host once, redirects first."""
        pending = list(self.addresses)
        tried: set[str] = set()
        in_doubt = False
        answer = Failure(ErrorKind.UNREACHABLE, "no control host")
        while pending:
            address = pending.pop(0)
            left = deadline - clock.now()
            if address in tried or left <= 0:
                continue
            tried.add(address)
            answer = await self.client.call(
                address,
                method,
                path,
                reply_type,
                body,
                timeout_s=min(ATTEMPT_TIMEOUT_S, left),
            )
            if not is_failure(answer) or answer.kind not in _RETRYABLE_KINDS:
                return answer, in_doubt
            in_doubt = in_doubt or answer.may_have_run
            if answer.leader_address:
                pending.insert(0, answer.leader_address)
        return answer, in_doubt
