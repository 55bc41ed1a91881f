"""Positions that reads have to include, as a primary has proven them."""

import asyncio

from chivescale.catalog import Consistency, Route
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.relay._endpoint import Endpoint, Service
from chivescale.relay._returns import Returns
from chivescale.relay._work import Work, refusal_of

# A sample of the primary's position is renewed in the background once it
# has used this share of the accepted staleness.
RENEW_SHARE = 0.6
# Longest wait for a position of the primary.
BARRIER_TIMEOUT_S = 0.25
# Endpoints that are asked whether they lead.
MAX_ASKED = 4


class Proofs:
    """Asks primaries for their position; one question serves all reads.

    Parameters
    ----------
    returns : Returns
        Takes the links of the questions back.
    """

    def __init__(self, returns: Returns):
        self.returns = returns
        self.barriers: dict[str, asyncio.Task] = {}

    async def required(
        self, service: Service, route: Route, arrived_at: float, work: Work
    ) -> Position | Failure:
        """Return the position that a read has to include."""
        staleness_s = route.accepted_staleness_ms / 1000
        sample = service.sample
        if not sample.covers(arrived_at, staleness_s):
            failure = await self.barrier(service)
            if not sample.covers(arrived_at, staleness_s):
                return failure or Failure(
                    ErrorKind.FRESHNESS_UNPROVED, "no sample of the primary"
                )
        elif sample.age_s(arrived_at) > RENEW_SHARE * staleness_s:
            self.start_barrier(service)
        work.proof_age_s = sample.age_s(arrived_at)
        need = sample.position
        own = work.session.positions.get(service.name)
        if route.consistency is Consistency.SESSION and own is not None:
            need = max(need, own)
        work.need = need
        return need

    def start_barrier(self, service: Service) -> asyncio.Task:
        """Ask the primary for its position; one question at a time."""
        task = self.barriers.get(service.name)
        if task is None or task.done():
            task = asyncio.ensure_future(self._ask_position(service))
            self.barriers[service.name] = task
        return task

    async def barrier(self, service: Service) -> Failure | None:
        task = self.start_barrier(service)
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_S):
                return await asyncio.shield(task)
        except TimeoutError:
            reason = "the primary did not tell its position in time"
            return Failure(ErrorKind.FRESHNESS_UNPROVED, reason)

    async def _ask_position(self, service: Service) -> Failure | None:
        failure = no_primary(service)
        for endpoint in service.primaries(now())[:MAX_ASKED]:
            link = await endpoint.pool.acquire(0, BARRIER_TIMEOUT_S, {}, None)
            if is_failure(link):
                failure = link
                continue
            sent_at = now()
            dialect = link.dialect
            data = dialect.query("", dialect.begin_text(False, None))
            data += dialect.query("", dialect.rollback_text())
            replies = await link.exchange(data, 2, BARRIER_TIMEOUT_S)
            self.returns.release(endpoint, link)
            if is_failure(replies):
                failure = replies
                note_silence(endpoint, replies)
                continue
            failure = refusal_of(replies[0])
            if failure is None:
                service.note_lead(endpoint, replies[0].position, sent_at)
                return None
            if failure.kind is ErrorKind.ENDPOINT_READ_ONLY:
                service.note_refusal(endpoint)
        return failure


def note_silence(endpoint: Endpoint, failure: Failure) -> None:
    """Check an endpoint that did not answer what takes no slot."""
    if failure.kind is ErrorKind.TIMEOUT:
        endpoint.suspect(failure.reason)


def no_primary(service: Service) -> Failure:
    """Return the refusal while no primary is known."""
    reason = f"no primary of {service.name} is known"
    return Failure(ErrorKind.NO_PRIMARY, reason)
