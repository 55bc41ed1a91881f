"""Executes statements on endpoints with the consistency of their routes."""

import asyncio
import collections.abc
import itertools
import random

from chivescale.catalog import Consistency
from chivescale.clock import now
from chivescale.dialect import Reply, TransactionState
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link
from chivescale.messages import Position
from chivescale.relay._endpoint import (
    LAG_BACKOFF_S,
    Endpoint,
    InFlightStatement,
    Service,
)
from chivescale.relay._hedging import HedgedReads
from chivescale.relay._outcomes import (
    NOT_EXECUTED,
    SERVED_ELSEWHERE,
    as_aborted,
    as_not_sent,
    as_write_failure,
    is_retryable_read,
    no_endpoint_failure,
    queue_delay_failure,
)
from chivescale.relay._prepare import (
    RequiredState,
    forwarded_text,
    prepare_connection,
)
from chivescale.relay._read_barrier import (
    ReadBarriers,
    no_primary_failure,
    suspect_on_timeout,
)
from chivescale.relay._release import ConnectionReleaser
from chivescale.relay._request import Outcome, StatementRequest, failure_from
from chivescale.relay._term_leases import TermLeases
from chivescale.relay._transaction import Transaction

# Maximum number of endpoints tried for one statement.
MAX_ATTEMPTS = 4
# A read is sent to a second endpoint after this time plus a multiple of the
# expected latency of the first one.
HEDGE_DELAY_S = 0.08
HEDGE_LATENCY_FACTOR = 3.0
# Begins and the replay of session state occupy no slot of the endpoint, so
# they are answered even under load. An endpoint that does not is suspected.
PREPARE_TIMEOUT_S = 0.4

# An endpoint with a full queue accepts statements again after about the run
# time of one statement, 5 to 30 ms.
BUSY_BACKOFF_S = 0.02
# Limits the exponential backoff that keeps waiting statements from flooding
# an endpoint whose queue stays full.
MAX_BACKOFF_DOUBLINGS = 3
# Latency recorded for an endpoint with a full queue, so that other endpoints
# are preferred: 2 or 3 slots take this long for 16 to 24 queued statements.
FULL_QUEUE_LATENCY_S = 0.15


class Executor:
    """Executes statements; shared by all sessions of a host.

    Parameters
    ----------
    get_service : callable
        ``(name) -> Service``.
    leases : TermLeases, optional
        Leases that the use of a primary requires; none by default.
    """

    def __init__(
        self,
        get_service: collections.abc.Callable[[str], Service],
        leases: TermLeases | None = None,
    ):
        self.get_service = get_service
        self.leases = leases or TermLeases(endpoints_fenced=True)
        self.hedged_reads = HedgedReads()
        self.releaser = ConnectionReleaser()
        self.read_barriers = ReadBarriers(self.releaser, self.leases)

    # Single statements.

    async def run_single(self, request: StatementRequest) -> Outcome:
        """Run a statement outside a transaction."""
        service = self.get_service(request.route.service)
        if request.writes:
            return await self._write(service, request)
        if request.route.consistency is Consistency.PRIMARY:
            return await self._read_on_primary(service, request)
        return await self._read(service, request)

    async def _write(
        self, service: Service, request: StatementRequest
    ) -> Outcome:
        failure = None
        epoch = await self._acquire_lease(service, request)
        if is_failure(epoch):
            return epoch
        for endpoint in self._primaries(service, epoch)[:MAX_ATTEMPTS]:
            if not service.admits(endpoint):
                return queue_delay_failure(endpoint.beat.endpoint)
            connection = await self._acquire(endpoint, request)
            if is_failure(connection):
                failure = connection
                continue
            # The epoch may have ended while the write waited.
            failure = await self._verify_epoch(service, epoch, request)
            if failure is not None:
                self.releaser.release(endpoint, connection)
                return failure
            sent_at = now()
            outcome = await self._run_leased_write(
                service, endpoint, connection, request, epoch
            )
            self.releaser.release(endpoint, connection)
            if not is_failure(outcome):
                self._record_primary(
                    service, endpoint, outcome.position, sent_at, epoch
                )
                request.session.record_commit(service.name, outcome.position)
                return outcome
            if outcome.kind not in NOT_EXECUTED:
                return as_write_failure(outcome)
            failure = outcome
            if outcome.kind is not ErrorKind.ENDPOINT_READ_ONLY:
                break
            service.record_not_primary(endpoint)
        return failure or no_primary_failure(service)

    async def _read_on_primary(
        self, service: Service, request: StatementRequest
    ) -> Outcome:
        """Run a read in a read-write transaction on the primary.

        Only a primary can begin such a transaction, and it rejects further
        statements after it was replaced. The read therefore never sees a
        stale log that a newer primary has already extended.
        """
        failure = None
        other_failures = slot_waits = 0
        while other_failures < MAX_ATTEMPTS and not request.expired():
            epoch = await self._acquire_lease(service, request, reads=True)
            if is_failure(epoch):
                return epoch
            endpoints = self._primaries(service, epoch)
            if not endpoints:
                break
            endpoint = endpoints[0]
            if not request.attempts and not service.admits(endpoint):
                return queue_delay_failure(endpoint.beat.endpoint)
            request.attempts += 1
            connection = await self._acquire_and_begin(
                service, endpoint, request, epoch, None
            )
            if is_failure(connection):
                failure = connection
                if connection.kind is ErrorKind.ENDPOINT_READ_ONLY:
                    other_failures += 1
                    continue
                break
            outcome = await self._run(endpoint, connection, request)
            self.releaser.roll_back(endpoint, connection)
            if not is_failure(outcome):
                return outcome
            failure = outcome
            if outcome.kind is not ErrorKind.OVERLOADED:
                other_failures += 1
            if outcome.kind is ErrorKind.ENDPOINT_READ_ONLY:
                service.record_not_primary(endpoint)
            elif outcome.kind is ErrorKind.OVERLOADED:
                if not await wait_for_slot(request, slot_waits):
                    return outcome
                slot_waits += 1
            elif outcome.kind is not ErrorKind.READ_INTERRUPTED:
                # After READ_INTERRUPTED the read is retried on another
                # connection; other failures are final.
                return outcome
        return failure or no_primary_failure(service)

    async def _read(
        self, service: Service, request: StatementRequest
    ) -> Outcome:
        min_position = await self.read_barriers.required_position(
            service, request.route, request.arrived_at, request
        )
        if is_failure(min_position):
            return await self._read_without_barrier(
                service, request, min_position
            )
        self.hedged_reads.hedge_budget.record_request()
        outcome = await self._read_hedged(service, request, min_position)
        failure = outcome if is_failure(outcome) else None
        if failure is None or not is_retryable_read(failure):
            return outcome
        if failure is not None and failure.kind in (
            ErrorKind.ENDPOINT_BEHIND,
            ErrorKind.READ_INTERRUPTED,
        ):
            return await self._read_on_primary(service, request)
        return failure

    async def _read_without_barrier(
        self, service: Service, request: StatementRequest, cause: Failure
    ) -> Outcome:
        """Read on the primary when no recent position is confirmed."""
        outcome = await self._read_on_primary(service, request)
        if not is_failure(outcome) or outcome.kind in SERVED_ELSEWHERE:
            return outcome
        if outcome.kind in NOT_EXECUTED | {ErrorKind.NO_PRIMARY}:
            if service.confirmed.position is not None:
                # JSON has no infinity; the age travels between hosts.
                request.proof_age_s = service.confirmed.age_s(
                    request.arrived_at
                )
            reason = f"{cause.reason}; primary: {outcome.reason}"
            return Failure(ErrorKind.FRESHNESS_UNPROVED, reason)
        return outcome

    async def _read_hedged(
        self,
        service: Service,
        request: StatementRequest,
        min_position: Position,
    ) -> Outcome:
        """Run a read on any suitable endpoint, with retries and hedging.

        If the first endpoint takes much longer than expected, the read is
        also sent to a second one, within the hedging budget.
        """
        excluded: set[str] = set()
        rounds = 0

        def next_candidate() -> Endpoint | None:
            if len(excluded) >= MAX_ATTEMPTS or request.expired():
                return None
            endpoints = service.read_candidates(
                min_position, excluded, now(), request.workspace
            )
            return endpoints[0] if endpoints else None

        def start_attempt(endpoint: Endpoint):
            excluded.add(endpoint.beat.endpoint)
            if not service.admits(endpoint):
                return queue_delay_failure(endpoint.beat.endpoint)
            request.attempts += 1
            expected_s = endpoint.expected_latency_s(now())
            delay_s = HEDGE_DELAY_S + HEDGE_LATENCY_FACTOR * expected_s
            attempt = self._read_once(service, endpoint, request, min_position)
            return attempt, delay_s

        async def on_exhausted(failure: Failure) -> Failure | None:
            nonlocal rounds
            busy = request.attempts and failure.kind is ErrorKind.OVERLOADED
            if busy and await wait_for_slot(request, rounds):
                rounds += 1
                excluded.clear()
                return None
            return request.expired() or failure

        outcome = await self.hedged_reads.first_result(
            next_candidate,
            start_attempt,
            is_retryable_read,
            on_exhausted,
            no_endpoint_failure(service.name),
        )
        request.answered = not is_failure(outcome)
        return outcome

    async def _read_once(
        self,
        service: Service,
        endpoint: Endpoint,
        request: StatementRequest,
        min_position: Position,
    ) -> Outcome:
        started = now()
        connection = await self._acquire(endpoint, request)
        if is_failure(connection):
            return connection
        if request.answered:
            self.releaser.release(endpoint, connection)
            reason = "answered by another attempt"
            return Failure(ErrorKind.DEADLINE_NOT_STARTED, reason)
        outcome = await self._run(
            endpoint, connection, request, after=min_position
        )
        self.releaser.release(endpoint, connection)
        time = now()
        if not is_failure(outcome):
            service.record_read(endpoint, time - started, time)
        elif outcome.kind is ErrorKind.ENDPOINT_BEHIND:
            endpoint.lagging_until = time + LAG_BACKOFF_S
        return outcome

    # Transactions.

    async def run_in_transaction(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        """Run a statement of an open transaction."""
        if transaction.connection is None:
            failure = await self._begin_transaction(transaction, request)
            if failure is not None:
                return failure
        endpoint, connection = transaction.endpoint, transaction.connection
        if request.writes and transaction.epoch is not None:
            failure = await self._verify_lease(transaction, request)
            if failure is not None:
                self.abandon(transaction)
                return as_aborted(failure)
        transaction.wrote = transaction.wrote or request.writes
        sent_at = now()
        outcome = await self._run(endpoint, connection, request)
        if not is_failure(outcome):
            if transaction.epoch is not None:
                self._record_primary(
                    transaction.service,
                    endpoint,
                    outcome.position,
                    sent_at,
                    transaction.epoch,
                )
            return outcome
        if (
            outcome.kind is ErrorKind.ENDPOINT_READ_ONLY
            and transaction.epoch is not None
        ):
            transaction.service.record_not_primary(endpoint)
        self.abandon(transaction)
        return as_aborted(outcome)

    async def _begin_transaction(
        self, transaction: Transaction, request: StatementRequest
    ) -> Failure | None:
        """Begin a transaction on an endpoint permitted by its route."""
        route = transaction.route
        service = self.get_service(route.service)
        on_primary = (
            not transaction.read_only
            or route.consistency is Consistency.PRIMARY
        )
        min_position = None
        if not on_primary:
            min_position = await self.read_barriers.required_position(
                service, route, transaction.arrived_at, request
            )
            on_primary = is_failure(min_position)
        failure = None
        excluded: set[str] = set()
        while request.attempts < MAX_ATTEMPTS and not request.expired():
            epoch = None
            if on_primary:
                epoch = await self._acquire_lease(
                    service, request, transaction.read_only
                )
                if is_failure(epoch):
                    return epoch
                endpoints = [
                    e
                    for e in self._primaries(service, epoch)
                    if e.beat.endpoint not in excluded
                ]
            else:
                endpoints = service.read_candidates(
                    min_position, excluded, now(), request.workspace
                )
            if not endpoints:
                break
            endpoint = endpoints[0]
            excluded.add(endpoint.beat.endpoint)
            if not service.admits(endpoint):
                failure = queue_delay_failure(endpoint.beat.endpoint)
                continue
            request.attempts += 1
            connection = await self._acquire_and_begin(
                service,
                endpoint,
                request,
                epoch,
                None if on_primary else min_position,
            )
            if not is_failure(connection):
                transaction.attach(service, endpoint, connection, epoch)
                return None
            failure = connection
        if failure is not None and not on_primary:
            if failure.kind is ErrorKind.ENDPOINT_BEHIND:
                return await self._begin_on_primary(
                    transaction, request, service
                )
        return failure or no_endpoint_failure(service.name)

    async def _begin_on_primary(
        self,
        transaction: Transaction,
        request: StatementRequest,
        service: Service,
    ) -> Failure | None:
        failure = None
        epoch = await self._acquire_lease(
            service, request, transaction.read_only
        )
        if is_failure(epoch):
            return epoch
        for endpoint in self._primaries(service, epoch)[:MAX_ATTEMPTS]:
            connection = await self._acquire_and_begin(
                service, endpoint, request, epoch, None
            )
            if not is_failure(connection):
                transaction.attach(service, endpoint, connection, epoch)
                return None
            failure = connection
        return failure or no_primary_failure(service)

    async def commit(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        """Commit an open transaction."""
        if transaction.connection is None:
            failure = await self._begin_transaction(transaction, request)
            if failure is not None:
                return as_aborted(failure)
        if not transaction.wrote:
            outcome = await self._run(
                transaction.endpoint, transaction.connection, request
            )
            self._release(transaction)
            return as_aborted(outcome) if is_failure(outcome) else outcome
        return await self._commit_writes(transaction, request)

    async def _commit_writes(
        self, transaction: Transaction, request: StatementRequest
    ) -> Outcome:
        failure = await self._verify_lease(transaction, request)
        if failure is not None:
            self.abandon(transaction)
            return as_aborted(failure)
        service, epoch = transaction.service, transaction.epoch
        endpoint = transaction.endpoint
        sent_at = now()
        outcome = await self._run_leased_write(
            service, endpoint, transaction.connection, request, epoch
        )
        self._release(transaction)
        if is_failure(outcome):
            return as_write_failure(outcome)
        self._record_primary(
            service, endpoint, outcome.position, sent_at, epoch
        )
        request.session.record_commit(service.name, outcome.position)
        return outcome

    def _release(self, transaction: Transaction) -> None:
        """Return the connection of a transaction that has ended."""
        connection, transaction.connection = transaction.connection, None
        self.releaser.release(transaction.endpoint, connection)

    def abandon(self, transaction: Transaction) -> None:
        """Start the rollback of a transaction without waiting for it."""
        transaction.stop_timer()
        transaction.failed = True
        connection, transaction.connection = transaction.connection, None
        if connection is not None:
            self.releaser.roll_back(transaction.endpoint, connection)

    # Leases.

    def _primaries(self, service: Service, epoch: int) -> list[Endpoint]:
        """Return the endpoints that may be primary for a statement."""
        return service.primary_candidates(
            now(), self.leases.required_epoch(service.name, epoch)
        )

    async def _acquire_lease(
        self, service: Service, request: StatementRequest, reads: bool = False
    ) -> int | Failure:
        """Return the epoch whose primary the statement may use."""
        return await self.leases.acquire(
            service.name, request.connection_wait_s(now()), reads
        )

    async def _verify_lease(
        self, transaction: Transaction, request: StatementRequest
    ) -> Failure | None:
        """Return a failure if the epoch of a transaction has ended."""
        return await self._verify_epoch(
            transaction.service, transaction.epoch, request
        )

    async def _verify_epoch(
        self, service: Service, epoch: int, request: StatementRequest
    ) -> Failure | None:
        """Return a failure if there is no lease on an epoch any more."""
        return await self.leases.verify(
            service.name, epoch, request.connection_wait_s(now())
        )

    def _record_primary(
        self,
        service: Service,
        endpoint: Endpoint,
        position: Position | None,
        sent_at: float,
        epoch: int,
    ) -> None:
        """Record a position of the primary if it was the only one."""
        if self.leases.holds(service.name, epoch, sent_at):
            service.record_primary(endpoint, position, sent_at)

    async def _run_leased_write(
        self,
        service: Service,
        endpoint: Endpoint,
        connection: Link,
        request: StatementRequest,
        epoch: int,
    ) -> Outcome:
        """Run a write or commit; succeed only if the lease still holds.

        Without the lease, another endpoint may have become primary before
        the write was committed, and its log may lack the write.
        """
        before = endpoint.position
        self.leases.begin_write(service.name, epoch)
        try:
            outcome = await self._run(endpoint, connection, request)
            if is_failure(outcome):
                return outcome
            failure = await self.leases.verify(
                service.name, epoch, request.remaining_s(now())
            )
        finally:
            self.leases.end_write(service.name, epoch)
        if failure is not None:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
        self.leases.record_commit(service.name, before, outcome.position)
        return outcome

    # Connections.

    async def _acquire(
        self, endpoint: Endpoint, request: StatementRequest
    ) -> Link | Failure:
        return await endpoint.pool.acquire(
            request.route.priority,
            request.connection_wait_s(now()),
            request.values,
            request.session,
            request.workspace,
        )

    async def _acquire_and_begin(
        self,
        service: Service,
        endpoint: Endpoint,
        request: StatementRequest,
        epoch: int | None,
        after: Position | None,
    ) -> Link | Failure:
        """Return a connection on which a transaction was begun.

        With an epoch, only a primary begins the transaction, and it is begun
        under a lease.
        """
        connection = await self._acquire(endpoint, request)
        if is_failure(connection):
            return connection
        if epoch is not None:
            failure = await self._verify_epoch(service, epoch, request)
            if failure is not None:
                self.releaser.release(endpoint, connection)
                return failure
        begin = connection.dialect.begin_text(epoch is None, after)
        required = RequiredState(request.values, request.definition, begin)
        sent_at = now()
        begun = await prepare_connection(
            connection, required, PREPARE_TIMEOUT_S
        )
        connection.last_session = request.session
        if not is_failure(begun):
            if epoch is not None:
                self._record_primary(
                    service, endpoint, begun.position, sent_at, epoch
                )
            return connection
        failure = begun
        suspect_on_timeout(endpoint, failure)
        self.releaser.release(endpoint, connection)
        if failure.kind is ErrorKind.ENDPOINT_READ_ONLY:
            service.record_not_primary(endpoint)
        elif failure.kind is ErrorKind.ENDPOINT_BEHIND:
            endpoint.lagging_until = now() + LAG_BACKOFF_S
        return as_not_sent(failure)

    async def _run(
        self,
        endpoint: Endpoint,
        connection: Link,
        request: StatementRequest,
        after: Position | None = None,
    ) -> Outcome:
        """Run the client's statement on a connection."""
        required = RequiredState(request.values, request.definition)
        failure = await prepare_connection(
            connection, required, PREPARE_TIMEOUT_S
        )
        if is_failure(failure):
            suspect_on_timeout(endpoint, failure)
            return as_not_sent(failure)
        connection.last_session = request.session
        text = forwarded_text(
            connection, request.statement, request.definition
        )
        if after is not None:
            text = connection.dialect.after_text(after, text)
        if request.expired():
            return request.expired()
        started = now()
        request.endpoint = endpoint.beat.endpoint
        running = InFlightStatement(started, connection, request.abortable)
        endpoint.running[running] = None
        try:
            reply = await self._send(endpoint, connection, request, text)
        finally:
            del endpoint.running[running]
        if is_failure(reply):
            if reply.kind is ErrorKind.TIMEOUT:
                # Idle connections of the same age may be dead as well.
                endpoint.pool.close_idle()
            return reply
        return failure_from(reply) or reply

    async def _send(
        self,
        endpoint: Endpoint,
        connection: Link,
        request: StatementRequest,
        text: str,
    ) -> Reply | Failure:
        """Send a statement and retry while the queue of the endpoint is full.

        A read outside a transaction is not retried here; the caller sends it
        to another endpoint instead.
        """
        for attempt in itertools.count():
            started = now()
            reply = await connection.statement(
                text,
                request.remaining_s(started),
                request.statement.request_id,
            )
            if is_failure(reply):
                return reply
            time = now()
            refusal = failure_from(reply)
            busy = refusal is not None and refusal.kind is ErrorKind.OVERLOADED
            latency_s = (
                max(FULL_QUEUE_LATENCY_S, time - started)
                if busy
                else (time - started)
            )
            endpoint.record_response(reply.position, latency_s, time)
            transaction_intact = reply.state is not TransactionState.FAILED
            retries_here = (
                request.writes or request.session.transaction is not None
            )
            retryable = busy and transaction_intact and retries_here
            if not (retryable and await wait_for_slot(request, attempt)):
                return reply


async def wait_for_slot(request: StatementRequest, attempt: int) -> bool:
    """Wait before another attempt; return False if too little time is left.

    A statement of a transaction may wait for the whole latency goal, because
    giving up wastes the work already done for the transaction. After that, an
    error is better for the client, which can then restart the transaction.
    """
    backoff_s = BUSY_BACKOFF_S * 2 ** min(attempt, MAX_BACKOFF_DOUBLINGS)
    pause_s = backoff_s * random.uniform(0.5, 1.5)
    time = now()
    begun = request.session.transaction is not None and request.endpoint
    remaining_s = (
        request.goal_remaining_s(time)
        if begun
        else request.connection_wait_s(time)
    )
    if pause_s >= remaining_s:
        return False
    await asyncio.sleep(pause_s)
    return True
