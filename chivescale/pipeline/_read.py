"""Reads outside transactions."""

import asyncio

import msgspec

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._gate import EndpointGate, run_statement
from chivescale.retry import FailedAttempt, RequestClass, backoff_s, may_resend
from chivescale.routing import Candidate, Requirements, choose_endpoint
from chivescale.session import Token, parse_token

MAX_ATTEMPTS = 6
# With one replica down, the primary takes part in every barrier and is ahead
# of the remaining replica by the replication lag. Waiting this long for the
# replica to catch up keeps the read off the primary.
REPLICA_CATCH_UP_TIMEOUT_S = 0.03
# Time for which reads do not wait again for a replica that did not catch up.
LAGGING_REPLICA_BACKOFF_S = 1.0


class _ReadPlan(msgspec.Struct):
    """Requirements of one attempt to run a read.

    Attributes
    ----------
    need : Requirements
        Requirements for the selection of an endpoint.
    promised_term : int
        Highest promised term seen by the barrier; 0 without a barrier.
    barrier : bool
        Whether a barrier was taken.
    """

    need: Requirements
    promised_term: int
    barrier: bool


async def read(call: Call) -> Answer:
    """Run a read on an endpoint that meets its freshness requirement."""
    token = _apply_token(call)
    if is_failure(token):
        return token
    answer: Answer = Failure(ErrorKind.NO_QUORUM, "no attempt was possible")
    for attempt in range(MAX_ATTEMPTS):
        answer = await _attempt(call, token, attempt > 0)
        if not is_failure(answer) or not _may_retry(call, answer, attempt):
            break
        call.environment.metrics.count_retry()
        pause_s = backoff_s(attempt, call.environment.rng)
        await asyncio.sleep(min(pause_s, _remaining_s(call)))
    return _as_read_failure(answer) if is_failure(answer) else answer


def _apply_token(call: Call) -> Token | Failure | None:
    if call.hints.token is None:
        return None
    token = parse_token(call.hints.token, call.session.service)
    if not is_failure(token):
        call.state.position.record_token(token)
    return token


async def _attempt(
    call: Call, token: Token | None, force_barrier: bool
) -> Answer:
    plan = await _make_plan(call, token, force_barrier)
    if is_failure(plan):
        return plan
    gate = _choose(call, plan)
    if is_failure(gate) and not plan.barrier:
        # No endpoint is proven to be fresh enough, so take a barrier.
        plan = await _make_plan(call, token, True)
        if is_failure(plan):
            return plan
        gate = _choose(call, plan)
    if is_failure(gate):
        return gate
    if plan.barrier and gate is call.service.primary():
        gate = await _prefer_replica(call, gate, plan)
    return await _run(call, gate, plan)


async def _prefer_replica(
    call: Call, primary: EndpointGate, plan: _ReadPlan
) -> EndpointGate:
    """Return a replica that catches up with the barrier, or the primary."""
    now = clock.now()
    if _remaining_s(call) < 4 * REPLICA_CATCH_UP_TIMEOUT_S:
        return primary
    view = call.service.view
    replicas = [
        gate
        for gate in call.service.gates.values()
        if gate is not primary
        and not gate.leaving
        and gate.suspect_until <= now
        and gate.lagging_until <= now
        and gate.in_use < gate.limit.limit
        and view.freshness.has_promised_term(
            gate.record.endpoint, plan.promised_term
        )
    ]
    if not replicas:
        return primary
    gate = min(
        replicas, key=lambda gate: gate.record.zone != call.environment.zone
    )
    name = gate.record.endpoint
    if await view.wait_for_position(
        name, plan.need.position, REPLICA_CATCH_UP_TIMEOUT_S
    ):
        return gate
    gate.lagging_until = now + LAGGING_REPLICA_BACKOFF_S
    return primary


async def _make_plan(call: Call, token: Token | None, force_barrier: bool):
    """Return the plan of an attempt, after a barrier if one is needed."""
    position = call.state.position
    max_age_s = _max_age_s(call)
    barrier_needed = (
        force_barrier
        or max_age_s == 0
        or position.needs_barrier(token is not None)
    )
    if not barrier_needed:
        need = Requirements(
            zone=call.environment.zone,
            position=position.required_position(token),
            max_age_s=max_age_s,
        )
        return _ReadPlan(need, 0, False)
    wait_s = call.environment.entry.barrier_timeout_ms / 1000
    barrier_deadline = min(call.deadline, clock.now() + wait_s)
    barrier_result = await call.service.view.barrier(barrier_deadline)
    if is_failure(barrier_result):
        return barrier_result
    required = position.required_position(token)
    needed = max(barrier_result.position, required or barrier_result.position)
    need = Requirements(zone=call.environment.zone, position=needed)
    return _ReadPlan(need, barrier_result.promised_term, True)


def _max_age_s(call: Call) -> float:
    hinted_ms = call.hints.staleness_ms
    max_age_ms = call.binding.staleness_ms if hinted_ms is None else hinted_ms
    return max_age_ms / 1000


def _choose(call: Call, plan: _ReadPlan) -> EndpointGate | Failure:
    service = call.service
    record = service.view.record
    now = clock.now()
    candidates = [
        _candidate(service.view, gate, record.primary, plan, now)
        for gate in service.gates.values()
    ]
    name = choose_endpoint(candidates, plan.need, call.environment.rng)
    return name if is_failure(name) else service.gates[name]


def _candidate(view, gate: EndpointGate, primary: str, plan, now: float):
    name = gate.record.endpoint
    position = plan.need.position
    freshness = view.freshness
    # Freshness recorded for another incarnation does not apply to the data
    # that the connections of the pool reach.
    known_incarnation = freshness.incarnation(name)
    same_incarnation = (
        known_incarnation is None
        or known_incarnation == gate.record.incarnation
    )
    return Candidate(
        endpoint=name,
        zone=gate.record.zone,
        primary=name == primary,
        leaving=gate.leaving,
        in_use=gate.in_use,
        limit=gate.limit.limit,
        latency_s=gate.latency_s,
        proven_age_s=freshness.proven_age_s(name, now)
        if same_incarnation
        else None,
        holds_position=same_incarnation
        and (position is None or freshness.holds_position(name, position)),
        has_promised_term=same_incarnation
        and freshness.has_promised_term(name, plan.promised_term),
        suspect=gate.suspect_until > now,
    )


async def _run(call: Call, gate: EndpointGate, plan: _ReadPlan) -> Answer:
    name = gate.record.endpoint
    primary = name == call.service.view.record.primary
    call.latency_class = "read_primary" if primary else "read_replica"
    started_at = clock.now()
    connection = await gate.pool.acquire(call.deadline, call.session.workspace)
    metrics = call.environment.metrics
    metrics.observe_pool_wait(name, clock.now() - started_at)
    if is_failure(connection):
        gate.mark_suspect()
        return connection
    try:
        answer = await _query(call, gate, connection)
    finally:
        gate.pool.release(connection)
    if is_failure(answer):
        if answer.kind is ErrorKind.TIMEOUT:
            gate.mark_suspect()
        return answer
    metrics.count_read("primary" if primary else "replica")
    _record_barrier(call, plan)
    return answer


async def _query(call: Call, gate: EndpointGate, connection) -> Answer:
    """Run the read; fail early if the connection seems to be unresponsive.

    An existing connection may have stopped responding while new ones work.
    A slow statement cannot be told apart from that, so failing early consumes
    the retry budget.
    """
    task = asyncio.ensure_future(
        run_statement(
            gate,
            connection,
            call.session.workspace,
            call.sql,
            call.deadline,
            call.environment.metrics.observe_queue,
        )
    )
    silence_s = call.environment.pool.silence_timeout_ms / 1000
    try:
        await asyncio.wait({task}, timeout=silence_s)
        if not task.done() and _remaining_s(call) > silence_s:
            if call.environment.retries.try_retry():
                gate.pool.retire_connections()
                return Failure(
                    ErrorKind.TIMEOUT, "connection stopped responding"
                )
        return await task
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


def _record_barrier(call: Call, plan: _ReadPlan) -> None:
    position: Position | None = plan.need.position
    if plan.barrier and position is not None:
        call.state.position.record_barrier(position)


def _may_retry(call: Call, failure: Failure, attempt: int) -> bool:
    if attempt + 1 >= MAX_ATTEMPTS or _remaining_s(call) <= 0:
        return False
    if failure.kind is ErrorKind.FRESHNESS_UNPROVED:
        # Waiting for replication or a new term puts no load on the endpoints,
        # so this retry does not consume the retry budget.
        return True
    failed = FailedAttempt(
        RequestClass.READ,
        failure.kind,
        request_sent=True,
        deadline=call.deadline,
        errno=failure.errno,
    )
    if not may_resend(failed, clock.now()):
        return False
    return call.environment.retries.try_retry()


def _as_read_failure(failure: Failure) -> Failure:
    """Convert a transport failure into the failure reported to the caller."""
    if failure.kind is ErrorKind.TIMEOUT:
        return Failure(ErrorKind.DEADLINE_READ, failure.reason)
    return failure


def _remaining_s(call: Call) -> float:
    return max(0.0, call.deadline - clock.now())
