"""Determines the log position that a read must observe."""

import asyncio

from chivescale.catalog import Consistency, Route
from chivescale.clock import now
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.relay._endpoint import Endpoint, Service
from chivescale.relay._pool import ANY_WORKSPACE
from chivescale.relay._release import ConnectionReleaser
from chivescale.relay._request import StatementRequest, failure_from
from chivescale.relay._term_leases import TermLeases

# A confirmed position is refreshed in the background when its age exceeds
# this fraction of the accepted staleness.
REFRESH_FRACTION = 0.6
# Maximum wait for the position of the primary.
BARRIER_TIMEOUT_S = 0.25
# Maximum number of primary candidates queried per confirmation.
MAX_PRIMARIES_QUERIED = 4


class ReadBarriers:
    """Queries primaries for their position and shares the result among reads.

    Parameters
    ----------
    releaser : ConnectionReleaser
        Returns the connections used for queries to their pools.
    leases : TermLeases
        Leases that the use of a primary requires.

    Attributes
    ----------
    pending : dict of str to asyncio.Task
        Latest query by service.
    """

    def __init__(self, releaser: ConnectionReleaser, leases: TermLeases):
        self.releaser = releaser
        self.leases = leases
        self.pending: dict[str, asyncio.Task] = {}

    async def required_position(
        self,
        service: Service,
        route: Route,
        arrived_at: float,
        request: StatementRequest,
    ) -> Position | Failure:
        """Return the position that a read must observe."""
        staleness_s = route.accepted_staleness_ms / 1000
        confirmed = service.confirmed
        if not confirmed.covers(arrived_at, staleness_s):
            failure = await self.confirm_position(service)
            if not confirmed.covers(arrived_at, staleness_s):
                return failure or Failure(
                    ErrorKind.FRESHNESS_UNPROVED,
                    "no position confirmed by the primary",
                )
        elif confirmed.age_s(arrived_at) > REFRESH_FRACTION * staleness_s:
            self.start_confirmation(service)
        sent_at, min_position = confirmed.oldest_for(arrived_at, staleness_s)
        request.proof_age_s = arrived_at - sent_at
        session_position = request.session.positions.get(service.name)
        if (
            route.consistency is Consistency.SESSION
            and session_position is not None
        ):
            min_position = max(min_position, session_position)
        request.min_position = min_position
        return min_position

    def start_confirmation(self, service: Service) -> asyncio.Task:
        """Query the primary unless a query for the service is running."""
        task = self.pending.get(service.name)
        if task is None or task.done():
            task = asyncio.ensure_future(self._query_primary(service))
            self.pending[service.name] = task
        return task

    async def confirm_position(self, service: Service) -> Failure | None:
        task = self.start_confirmation(service)
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_S):
                return await asyncio.shield(task)
        except TimeoutError:
            reason = "the primary did not tell its position in time"
            return Failure(ErrorKind.FRESHNESS_UNPROVED, reason)

    async def _query_primary(self, service: Service) -> Failure | None:
        epoch = await self.leases.acquire(
            service.name, BARRIER_TIMEOUT_S, reads=True
        )
        if is_failure(epoch):
            return epoch
        failure = no_primary_failure(service)
        for endpoint in service.primary_candidates(
            now(), self.leases.required_epoch(service.name, epoch)
        )[:MAX_PRIMARIES_QUERIED]:
            connection = await endpoint.pool.acquire(
                0, BARRIER_TIMEOUT_S, {}, None, ANY_WORKSPACE
            )
            if is_failure(connection):
                failure = connection
                continue
            sent_at = now()
            dialect = connection.dialect
            data = dialect.query("", dialect.begin_text(False, None))
            data += dialect.query("", dialect.rollback_text())
            replies = await connection.exchange(data, 2, BARRIER_TIMEOUT_S)
            self.releaser.release(endpoint, connection)
            if is_failure(replies):
                failure = replies
                suspect_on_timeout(endpoint, replies)
                continue
            failure = failure_from(replies[0])
            if failure is None:
                if self.leases.holds(service.name, epoch, sent_at):
                    service.record_primary(
                        endpoint, replies[0].position, sent_at
                    )
                return None
            if failure.kind is ErrorKind.ENDPOINT_READ_ONLY:
                service.record_not_primary(endpoint)
        return failure


def suspect_on_timeout(endpoint: Endpoint, failure: Failure) -> None:
    """Suspect an endpoint that timed out on a request that needs no slot."""
    if failure.kind is ErrorKind.TIMEOUT:
        endpoint.suspect(failure.reason)


def no_primary_failure(service: Service) -> Failure:
    """Return the failure if no primary is known."""
    reason = f"no primary of {service.name} is known"
    return Failure(ErrorKind.NO_PRIMARY, reason)
