"""Reads outside transactions."""

import asyncio

import msgspec

from chivescale import clock
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages import Position
from chivescale.pipeline._call import Answer, Call
from chivescale.pipeline._gate import EndpointGate, run_statement
from chivescale.retry import Attempt, Request, backoff_s, may_resend
from chivescale.routing import Candidate, Need, choose_endpoint
from chivescale.session import Token, parse_token

MAX_ATTEMPTS = 6
# With one replica down, the primary takes part in each barrier and is ahead
# of the remaining replica by the replication lag. Waiting this long for the
# replica keeps the read off the primary.
REPLICA_WAIT_S = 0.03
# A replica that did not catch up in time is not waited for again this long.
BEHIND_S = 1.0


class _Plan(msgspec.Struct):
    """Requirements of one attempt and the term that it must respect."""

    need: Need
    promised_term: int
    barrier: bool


async def read(call: Call) -> Answer:
    """Run a read on an endpoint that is fresh enough."""
    token = _token(call)
    if is_failure(token):
        return token
    answer: Answer = Failure(ErrorKind.NO_QUORUM, "no attempt was possible")
    for attempt in range(MAX_ATTEMPTS):
        answer = await _attempt(call, token, attempt > 0)
        if not is_failure(answer) or not _may_retry(call, answer, attempt):
            break
        call.environment.metrics.count_retry()
        pause = backoff_s(attempt, call.environment.rng)
        await asyncio.sleep(min(pause, _left(call)))
    return _as_read_failure(answer) if is_failure(answer) else answer


def _token(call: Call) -> Token | Failure | None:
    if call.hints.token is None:
        return None
    token = parse_token(call.hints.token, call.session.service)
    if not is_failure(token):
        call.state.position.use_token(token)
    return token


async def _attempt(call: Call, token: Token | None, force: bool) -> Answer:
    plan = await _plan(call, token, force)
    if is_failure(plan):
        return plan
    gate = _choose(call, plan)
    if is_failure(gate) and not plan.barrier:
        # No proven age is low enough; a barrier proves a fresh one.
        plan = await _plan(call, token, True)
        if is_failure(plan):
            return plan
        gate = _choose(call, plan)
    if is_failure(gate):
        return gate
    if plan.barrier and gate is call.service.primary():
        gate = await _prefer_replica(call, gate, plan)
    return await _run(call, gate, plan)


async def _prefer_replica(
    call: Call, primary: EndpointGate, plan: _Plan
) -> EndpointGate:
    """Return a replica that reaches the barrier shortly, or the primary."""
    now = clock.now()
    if _left(call) < 4 * REPLICA_WAIT_S:
        return primary
    view = call.service.view
    near = [
        gate
        for gate in call.service.gates.values()
        if gate is not primary
        and not gate.leaving
        and gate.suspect_until <= now
        and gate.behind_until <= now
        and gate.in_use < gate.limit.limit
        and view.freshness.promised_ok(
            gate.record.endpoint, plan.promised_term
        )
    ]
    if not near:
        return primary
    gate = min(
        near, key=lambda gate: gate.record.zone != call.environment.zone
    )
    name = gate.record.endpoint
    if await view.wait_position(name, plan.need.position, REPLICA_WAIT_S):
        return gate
    gate.behind_until = now + BEHIND_S
    return primary


async def _plan(call: Call, token: Token | None, force: bool):
    """Return what the read needs, after a barrier where one is due."""
    position = call.state.position
    max_age_s = _max_age_s(call)
    due = force or max_age_s == 0 or position.needs_barrier(token is not None)
    if not due:
        need = Need(
            zone=call.environment.zone,
            position=position.required(token),
            max_age_s=max_age_s,
        )
        return _Plan(need, 0, False)
    wait_s = call.environment.entry.barrier_timeout_ms / 1000
    until = min(call.deadline, clock.now() + wait_s)
    ready = await call.service.view.barrier(until)
    if is_failure(ready):
        return ready
    required = position.required(token)
    needed = max(ready.position, required or ready.position)
    need = Need(zone=call.environment.zone, position=needed)
    return _Plan(need, ready.promised_term, True)


def _max_age_s(call: Call) -> float:
    stated = call.hints.staleness_ms
    accepted = call.binding.staleness_ms if stated is None else stated
    return accepted / 1000


def _choose(call: Call, plan: _Plan) -> EndpointGate | Failure:
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
    # What is known of another incarnation says nothing about the data that
    # the pool's connections lead to.
    known = freshness.incarnation(name)
    same = known is None or known == gate.record.incarnation
    return Candidate(
        endpoint=name,
        zone=gate.record.zone,
        primary=name == primary,
        leaving=gate.leaving,
        in_use=gate.in_use,
        limit=gate.limit.limit,
        latency_s=gate.latency_s,
        proven_age_s=freshness.proven_age_s(name, now) if same else None,
        holds_position=same
        and (position is None or freshness.holds(name, position)),
        promised_ok=same and freshness.promised_ok(name, plan.promised_term),
        suspect=gate.suspect_until > now,
    )


async def _run(call: Call, gate: EndpointGate, plan: _Plan) -> Answer:
    name = gate.record.endpoint
    primary = name == call.service.view.record.primary
    call.measured = "read_primary" if primary else "read_replica"
    waited_from = clock.now()
    connection = await gate.pool.acquire(call.deadline, call.session.workspace)
    metrics = call.environment.metrics
    metrics.observe_pool_wait(name, clock.now() - waited_from)
    if is_failure(connection):
        gate.suspect()
        return connection
    try:
        answer = await _query(call, gate, connection)
    finally:
        gate.pool.release(connection)
    if is_failure(answer):
        if answer.kind is ErrorKind.TIMEOUT:
            gate.suspect()
        return answer
    metrics.count_read("primary" if primary else "replica")
    _note_position(call, plan)
    return answer


async def _query(call: Call, gate: EndpointGate, connection) -> Answer:
    """Run the read; give up a silent connection if a retry is allowed.

    A connection may have gone silent while new ones work. Slow statements
    look the same, so this retry draws on the retry budget.
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
        if not task.done() and _left(call) > silence_s:
            if call.environment.retries.try_retry():
                gate.pool.suspect_silence()
                return Failure(ErrorKind.TIMEOUT, "connection went silent")
        return await task
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})


def _note_position(call: Call, plan: _Plan) -> None:
    position: Position | None = plan.need.position
    if plan.barrier and position is not None:
        call.state.position.barrier_taken(position)


def _may_retry(call: Call, failure: Failure, attempt: int) -> bool:
    if attempt + 1 >= MAX_ATTEMPTS or _left(call) <= 0:
        return False
    if failure.kind is ErrorKind.FRESHNESS_UNPROVED:
        # Waiting for replication or a new term costs the endpoints nothing.
        return True
    failed = Attempt(
        Request.READ,
        failure.kind,
        bytes_sent=True,
        deadline=call.deadline,
        errno=failure.errno,
    )
    if not may_resend(failed, clock.now()):
        return False
    return call.environment.retries.try_retry()


def _as_read_failure(failure: Failure) -> Failure:
    """Translate a transport failure into what a reader is told."""
    if failure.kind is ErrorKind.TIMEOUT:
        return Failure(ErrorKind.DEADLINE_READ, failure.reason)
    return failure


def _left(call: Call) -> float:
    return max(0.0, call.deadline - clock.now())
