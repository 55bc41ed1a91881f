"""Runs statements on endpoints under the guarantees of their routes."""

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
    BEHIND_S,
    Endpoint,
    Running,
    Service,
)
from chivescale.relay._offers import Offers
from chivescale.relay._outcomes import (
    NOT_RUN,
    aborted,
    may_repeat_read,
    no_endpoint,
    not_started,
    queue_refusal,
    write_failure,
)
from chivescale.relay._prepare import Need, forwarded_text, prepare_link
from chivescale.relay._proofs import Proofs, no_primary, note_silence
from chivescale.relay._returns import Returns
from chivescale.relay._transaction import Transaction
from chivescale.relay._work import Outcome, Work, refusal_of

# Endpoints that one statement is offered to.
MAX_ATTEMPTS = 4
# A read is offered to a second endpoint after this time plus a multiple of
# the latency expected of the first one.
HEDGE_S = 0.08
HEDGE_FACTOR = 3.0
# Begins and replays take no slot of the endpoint, so they are answered even
# under load; an endpoint that does not is suspected.
PREPARE_TIMEOUT_S = 0.4

# An endpoint whose slots and queue are full has room again after about the
# run time of one statement, 5 to 30 ms.
BUSY_PAUSE_S = 0.02
# The pause doubles this often, so that waiting statements do not flood an
# endpoint that stays full.
BUSY_DOUBLINGS = 3
# A full queue of 16 to 24 statements before 2 or 3 slots takes this long, so
# other endpoints are cheaper meanwhile.
FULL_QUEUE_S = 0.15


class Executor:
    """Runs statements; the sessions of a host share it.

    Parameters
    ----------
    service_of : callable
        ``(name) -> Service``.
    """

    def __init__(self, service_of: collections.abc.Callable[[str], Service]):
        self.service_of = service_of
        self.offers = Offers()
        self.returns = Returns()
        self.proofs = Proofs(self.returns)

    # Single statements.

    async def run_single(self, work: Work) -> Outcome:
        """Run a statement outside a transaction."""
        service = self.service_of(work.route.service)
        if work.writes:
            return await self._write(service, work)
        if work.route.consistency is Consistency.PRIMARY:
            return await self._read_on_primary(service, work)
        return await self._read(service, work)

    async def _write(self, service: Service, work: Work) -> Outcome:
        failure = None
        for endpoint in service.primaries(now())[:MAX_ATTEMPTS]:
            if not service.admits(endpoint):
                return queue_refusal(endpoint.beat.endpoint)
            link = await self._acquire(endpoint, work)
            if is_failure(link):
                failure = link
                continue
            sent_at = now()
            outcome = await self._run(endpoint, link, work)
            self.returns.release(endpoint, link)
            if not is_failure(outcome):
                service.note_lead(endpoint, outcome.position, sent_at)
                work.session.note_commit(service.name, outcome.position)
                return outcome
            if outcome.kind not in NOT_RUN:
                return write_failure(outcome)
            failure = outcome
            if outcome.kind is not ErrorKind.ENDPOINT_READ_ONLY:
                break
            service.note_refusal(endpoint)
        return failure or no_primary(service)

    async def _read_on_primary(self, service: Service, work: Work) -> Outcome:
        """Run a read inside an own transaction on the primary.

        Only a primary begins such a transaction, and it refuses further
        statements once it has lost the lead. So the read never runs on a
        log that another primary has already continued.
        """
        failure = None
        others = waits = 0
        while others < MAX_ATTEMPTS and not work.expired():
            endpoints = service.primaries(now())
            if not endpoints:
                break
            endpoint = endpoints[0]
            if not work.attempts and not service.admits(endpoint):
                return queue_refusal(endpoint.beat.endpoint)
            work.attempts += 1
            link = await self._begin(service, endpoint, work, True, None)
            if is_failure(link):
                failure = link
                if link.kind is ErrorKind.ENDPOINT_READ_ONLY:
                    others += 1
                    continue
                break
            outcome = await self._run(endpoint, link, work)
            self.returns.roll_back(endpoint, link)
            if not is_failure(outcome):
                return outcome
            failure = outcome
            if outcome.kind is not ErrorKind.OVERLOADED:
                others += 1
            if outcome.kind is ErrorKind.ENDPOINT_READ_ONLY:
                service.note_refusal(endpoint)
            elif outcome.kind is ErrorKind.OVERLOADED:
                if not await wait_for_slot(work, waits):
                    return outcome
                waits += 1
            elif outcome.kind is not ErrorKind.READ_INTERRUPTED:
                # A lost answer is asked for again over another link.
                return outcome
        return failure or no_primary(service)

    async def _read(self, service: Service, work: Work) -> Outcome:
        need = await self.proofs.required(
            service, work.route, work.arrived_at, work
        )
        if is_failure(need):
            return await self._read_unproved(service, work, need)
        self.offers.retries.record_request()
        outcome = await self._read_anywhere(service, work, need)
        failure = outcome if is_failure(outcome) else None
        if failure is None or not may_repeat_read(failure):
            return outcome
        if failure is not None and failure.kind in (
            ErrorKind.ENDPOINT_BEHIND,
            ErrorKind.READ_INTERRUPTED,
        ):
            return await self._read_on_primary(service, work)
        return failure

    async def _read_unproved(
        self, service: Service, work: Work, cause: Failure
    ) -> Outcome:
        """Read on the primary, which needs no proof of its age."""
        outcome = await self._read_on_primary(service, work)
        if is_failure(outcome) and outcome.kind in NOT_RUN | {
            ErrorKind.NO_PRIMARY
        }:
            work.proof_age_s = service.sample.age_s(work.arrived_at)
            reason = f"{cause.reason}; primary: {outcome.reason}"
            return Failure(ErrorKind.FRESHNESS_UNPROVED, reason)
        return outcome

    async def _read_anywhere(
        self, service: Service, work: Work, need: Position
    ) -> Outcome:
        """Offer a read to one endpoint after the other.

        One that takes much longer than usual is not waited for alone: a
        second endpoint gets the read too, within the retry budget.
        """
        excluded: set[str] = set()
        rounds = 0

        def choose() -> Endpoint | None:
            if len(excluded) >= MAX_ATTEMPTS or work.expired():
                return None
            endpoints = service.readers(need, excluded, now())
            return endpoints[0] if endpoints else None

        def offer(endpoint: Endpoint):
            excluded.add(endpoint.beat.endpoint)
            if not service.admits(endpoint):
                return queue_refusal(endpoint.beat.endpoint)
            work.attempts += 1
            usual_s = endpoint.expected_latency_s(now())
            wait_s = HEDGE_S + HEDGE_FACTOR * usual_s
            return self._read_once(endpoint, work, need), wait_s

        async def exhausted(failure: Failure) -> Failure | None:
            nonlocal rounds
            full = work.attempts and failure.kind is ErrorKind.OVERLOADED
            if full and await wait_for_slot(work, rounds):
                rounds += 1
                excluded.clear()
                return None
            return work.expired() or failure

        return await self.offers.first_answer(
            choose,
            offer,
            may_repeat_read,
            exhausted,
            no_endpoint(service.name),
        )

    async def _read_once(
        self, endpoint: Endpoint, work: Work, need: Position
    ) -> Outcome:
        link = await self._acquire(endpoint, work)
        if is_failure(link):
            return link
        outcome = await self._run(endpoint, link, work, after=need)
        self.returns.release(endpoint, link)
        if is_failure(outcome) and outcome.kind is ErrorKind.ENDPOINT_BEHIND:
            endpoint.behind_until = now() + BEHIND_S
        return outcome

    # Transactions.

    async def run_in_transaction(
        self, transaction: Transaction, work: Work
    ) -> Outcome:
        """Run a statement of an open transaction."""
        if transaction.link is None:
            failure = await self._start(transaction, work)
            if failure is not None:
                return failure
        endpoint, link = transaction.endpoint, transaction.link
        transaction.wrote = transaction.wrote or work.writes
        sent_at = now()
        outcome = await self._run(endpoint, link, work)
        if not is_failure(outcome):
            if transaction.leads:
                transaction.service.note_lead(
                    endpoint, outcome.position, sent_at
                )
            return outcome
        if outcome.kind is ErrorKind.ENDPOINT_READ_ONLY and transaction.leads:
            transaction.service.note_refusal(endpoint)
        self.abandon(transaction)
        return aborted(outcome)

    async def _start(
        self, transaction: Transaction, work: Work
    ) -> Failure | None:
        """Begin a transaction on an endpoint that its route allows."""
        route = transaction.route
        service = self.service_of(route.service)
        leads = (
            not transaction.read_only
            or route.consistency is Consistency.PRIMARY
        )
        need = None
        if not leads:
            need = await self.proofs.required(
                service, route, transaction.arrived_at, work
            )
            leads = is_failure(need)
        failure = None
        excluded: set[str] = set()
        while work.attempts < MAX_ATTEMPTS and not work.expired():
            if leads:
                endpoints = service.primaries(now())
                endpoints = [
                    e for e in endpoints if e.beat.endpoint not in excluded
                ]
            else:
                endpoints = service.readers(need, excluded, now())
            if not endpoints:
                break
            endpoint = endpoints[0]
            excluded.add(endpoint.beat.endpoint)
            if not service.admits(endpoint):
                failure = queue_refusal(endpoint.beat.endpoint)
                continue
            work.attempts += 1
            link = await self._begin(
                service, endpoint, work, leads, None if leads else need
            )
            if not is_failure(link):
                transaction.attach(service, endpoint, link, leads)
                return None
            failure = link
        if failure is not None and not leads:
            if failure.kind is ErrorKind.ENDPOINT_BEHIND:
                return await self._start_on_primary(transaction, work, service)
        return failure or no_endpoint(service.name)

    async def _start_on_primary(
        self, transaction: Transaction, work: Work, service: Service
    ) -> Failure | None:
        failure = None
        for endpoint in service.primaries(now())[:MAX_ATTEMPTS]:
            link = await self._begin(service, endpoint, work, True, None)
            if not is_failure(link):
                transaction.attach(service, endpoint, link, leads=True)
                return None
            failure = link
        return failure or no_primary(service)

    async def commit(self, transaction: Transaction, work: Work) -> Outcome:
        """Commit an open transaction."""
        if transaction.link is None:
            failure = await self._start(transaction, work)
            if failure is not None:
                return aborted(failure)
        endpoint, link = transaction.endpoint, transaction.link
        sent_at = now()
        outcome = await self._run(endpoint, link, work)
        transaction.link = None
        self.returns.release(endpoint, link)
        if not is_failure(outcome):
            if transaction.wrote:
                service = transaction.service
                service.note_lead(endpoint, outcome.position, sent_at)
                work.session.note_commit(service.name, outcome.position)
            return outcome
        if not transaction.wrote:
            return aborted(outcome)
        return write_failure(outcome)

    def abandon(self, transaction: Transaction) -> None:
        """Roll back a transaction without waiting for it."""
        transaction.stop_timer()
        transaction.failed = True
        link, transaction.link = transaction.link, None
        if link is not None:
            self.returns.roll_back(transaction.endpoint, link)

    # Links.

    async def _acquire(self, endpoint: Endpoint, work: Work) -> Link | Failure:
        session = work.session
        return await endpoint.pool.acquire(
            work.route.priority,
            work.link_wait_s(now()),
            session.values,
            session,
        )

    async def _begin(
        self,
        service: Service,
        endpoint: Endpoint,
        work: Work,
        leads: bool,
        after: Position | None,
    ) -> Link | Failure:
        """Return a link inside a transaction that was just begun."""
        link = await self._acquire(endpoint, work)
        if is_failure(link):
            return link
        begin = link.dialect.begin_text(not leads, after)
        need = Need(work.session.values, work.definition, begin)
        sent_at = now()
        begun = await prepare_link(link, need, PREPARE_TIMEOUT_S)
        link.last_session = work.session
        if not is_failure(begun):
            if leads:
                service.note_lead(endpoint, begun.position, sent_at)
            return link
        failure = begun
        note_silence(endpoint, failure)
        self.returns.release(endpoint, link)
        if failure.kind is ErrorKind.ENDPOINT_READ_ONLY:
            service.note_refusal(endpoint)
        elif failure.kind is ErrorKind.ENDPOINT_BEHIND:
            endpoint.behind_until = now() + BEHIND_S
        return not_started(failure)

    async def _run(
        self,
        endpoint: Endpoint,
        link: Link,
        work: Work,
        after: Position | None = None,
    ) -> Outcome:
        """Run the caller's statement on a link."""
        session = work.session
        need = Need(session.values, work.definition)
        failure = await prepare_link(link, need, PREPARE_TIMEOUT_S)
        if is_failure(failure):
            note_silence(endpoint, failure)
            return not_started(failure)
        link.last_session = session
        text = forwarded_text(link, work.statement, work.definition)
        if after is not None:
            text = link.dialect.after_text(after, text)
        if work.expired():
            return work.expired()
        started = now()
        work.endpoint = endpoint.beat.endpoint
        running = Running(started, link, work.revocable)
        endpoint.running[running] = None
        try:
            reply = await self._send(endpoint, link, work, text)
        finally:
            del endpoint.running[running]
        if is_failure(reply):
            if reply.kind is ErrorKind.TIMEOUT:
                # Unused links from before may have gone silent with it.
                endpoint.pool.drop_idle()
            return reply
        return refusal_of(reply) or reply

    async def _send(
        self, endpoint: Endpoint, link: Link, work: Work, text: str
    ) -> Reply | Failure:
        """Send a statement; offer it again while the endpoint is full.

        A read outside a transaction is offered to another endpoint instead.
        """
        for attempt in itertools.count():
            started = now()
            reply = await link.statement(
                text, work.left_s(started), work.statement.request_id
            )
            if is_failure(reply):
                return reply
            time = now()
            refusal = refusal_of(reply)
            full = refusal is not None and refusal.kind is ErrorKind.OVERLOADED
            took_s = (
                max(FULL_QUEUE_S, time - started) if full else (time - started)
            )
            endpoint.note_answer(reply.position, took_s, time)
            kept = reply.state is not TransactionState.FAILED
            waits = work.writes or work.session.transaction is not None
            again = full and kept and waits
            if not (again and await wait_for_slot(work, attempt)):
                return reply


async def wait_for_slot(work: Work, attempt: int) -> bool:
    """Wait before another attempt; False if it would come too late.

    A statement of a transaction has the whole latency goal, since giving up
    wastes what the endpoint has done for the transaction so far. Beyond it,
    the caller is better served by a refusal that lets it begin again.
    """
    scale = BUSY_PAUSE_S * 2 ** min(attempt, BUSY_DOUBLINGS)
    pause_s = scale * random.uniform(0.5, 1.5)
    time = now()
    begun = work.session.transaction is not None and work.endpoint
    left_s = work.goal_left_s(time) if begun else work.link_wait_s(time)
    if pause_s >= left_s:
        return False
    await asyncio.sleep(pause_s)
    return True
