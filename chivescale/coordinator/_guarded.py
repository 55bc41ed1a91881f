"""Replacement of a primary whose commits are acknowledged by replicas.

The log of the successor must hold every acknowledged commit. Pausing the
replicas cannot ensure that: one that starts, restarts or is resumed receives
at once, before any coordinator knows of it, and a primary that comes back
commits through it. Therefore the entry hosts stop writing before the
positions of the replicas count, and write again once the successor leads. The
replicated log says so, so a change of the leading coordinator alters nothing.
"""

import asyncio

import msgspec

from chivescale.clock import now
from chivescale.errors import is_failure
from chivescale.messages import Position
from chivescale.promotion import Candidate, OrderOutcome, choose_successor
from chivescale.telemetry import log_event

# Time for a replica to receive the last commits of a primary that works.
CATCH_UP_TIMEOUT_S = 0.3
CATCH_UP_POLL_S = 0.02
# Pause before a working primary that no replica can follow is tried again.
HANDOVER_RETRY_S = 2.0
# A promotion that was accepted, but whose answer was lost, has been executed
# after this time. The platform takes some hundred ms; 3 s are allowed, as for
# a promotion that was answered.
SETTLE_S = 3.0
# Time for the coordinators to tell all entry hosts of an epoch.
ANNOUNCE_TIMEOUT_S = 1.0


class Survey(msgspec.Struct, frozen=True):
    """What the endpoints of a service answered.

    Attributes
    ----------
    leader : str
        Endpoint that answered as the primary; empty if none did.
    candidates : list of Candidate
        Endpoints that may be promoted.
    required : Position or None
        Last log entry of the leader; None if it does not prove anything.
    """

    leader: str
    candidates: list[Candidate]
    required: Position | None

    @property
    def caught_up(self) -> bool:
        """Whether a replica that stays holds all that the leader holds."""
        return self.required is None or any(
            c.received is not None
            and c.received >= self.required
            and not c.draining
            for c in self.candidates
        )


async def replace_guarded(promoter, watched, dead: bool) -> bool:
    """Try to replace a primary; return whether entry hosts may write again.

    Parameters
    ----------
    promoter : Promoter
        Access to the endpoints and to the promotion authority.
    watched : WatchedPrimary
        Primary to replace.
    dead : bool
        Whether it counts as dead.
    """
    host, service = promoter.host, watched.service
    epoch = host.leases.epoch(service)
    if epoch.open:
        if await promoter.is_replaced(watched):
            return True
        if not dead and not await _may_hand_over(promoter, watched):
            return False
        index = await _begin_epoch(promoter, watched, "", dead, opens=False)
        if index is None:
            return False
    else:
        index = epoch.index
    await _end_writes(promoter, watched, index, dead)
    if service in host.leases.view().pending:
        # Another epoch may have begun, in which entry hosts write.
        return False
    ordered = host.leases.epoch(service).endpoint
    acknowledged = host.leases.acknowledged.get(service)
    survey = await _survey_replicas(promoter, watched, dead)
    leader, required = survey.leader, survey.required
    if required is None or (acknowledged and required < acknowledged):
        # It may not know that it was replaced, or has lost its log.
        leader, required = "", None
    if leader and not ordered and _stays(promoter, leader):
        # No order was sent since entry hosts wrote to it.
        return await _open_epoch(promoter, watched, leader, dead)
    others = promoter.ordered.setdefault(service, set()) | {ordered}
    successor = leader
    if not leader or leader not in others:
        successor = choose_successor(
            survey.candidates,
            host.sync_replicas(service),
            ordered,
            required,
            acknowledged,
        )
    if is_failure(successor):
        ended = promoter.departures.unsettled(service)
        log_event(
            "no_successor",
            "warning",
            service=service,
            reason=successor.reason,
            ended=",".join(beat.endpoint for beat in ended),
        )
        if leader and not ordered:
            await _open_epoch(promoter, watched, leader, dead)
            await asyncio.sleep(HANDOVER_RETRY_S)
        return False
    accepted_at = await _promote(
        promoter, watched, successor, survey.leader, dead
    )
    if accepted_at is None:
        return False
    if others - {"", successor}:
        # One of these orders may have been accepted, and its answer lost,
        # until the platform learned the token of the latest one.
        await asyncio.sleep(accepted_at + SETTLE_S - now())
        if await promoter.check_primary(successor) is not True:
            return False
    return await _open_epoch(promoter, watched, successor, dead)


async def _begin_epoch(
    promoter, watched, endpoint: str, dead: bool, opens: bool
) -> int | None:
    """Begin an epoch; return its index, None if that failed."""
    index = await promoter.host.reserve_fencing_token(
        watched.service, endpoint, not dead, opens
    )
    if is_failure(index):
        log_event("no_token", "warning", reason=index.reason)
        return None
    log_event(
        "epoch_opened" if opens else "epoch_closed",
        service=watched.service,
        endpoint=endpoint,
        index=index,
    )
    return index


async def _open_epoch(promoter, watched, endpoint: str, dead: bool) -> bool:
    """Let entry hosts write to an endpoint that leads."""
    index = await _begin_epoch(promoter, watched, endpoint, dead, opens=True)
    if index is None:
        return False
    promoter.ordered.pop(watched.service, None)
    promoter.host.run_in_background(_announce(promoter, index))
    return True


async def _announce(promoter, index: int) -> None:
    """Tell all coordinators of an epoch, and they their entry hosts.

    Otherwise a follower learns with the next heartbeat of the leader that the
    epoch is committed.
    """
    try:
        async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
            await promoter.host.leases.revoke(index)
    except TimeoutError:
        return


async def _end_writes(promoter, watched, index: int, dead: bool) -> None:
    """Return when entry hosts confirm no write of an earlier epoch."""
    started = now()
    if promoter.host.settings.endpoints_fenced:
        await promoter.host.leases.revoke(index)
    else:
        await promoter.end_epoch(watched, index, dead)
    log_event(
        "writes_ended",
        service=watched.service,
        index=index,
        duration_s=now() - started,
    )


async def _may_hand_over(promoter, watched) -> bool:
    """Return whether a replica answers that a working primary could follow.

    Otherwise ending the writes would serve nothing.
    """
    survey = await _survey(promoter, watched, dead=False, pause=False)
    possible = any(c.received is not None for c in survey.candidates)
    if not possible:
        log_event(
            "no_successor",
            "warning",
            service=watched.service,
            reason="no replica answered",
        )
    return possible


async def _survey_replicas(promoter, watched, dead: bool) -> Survey:
    """Return the states of the endpoints, after the writes have ended.

    Where a primary answers, a replica is awaited that has received all of its
    commits. Otherwise the replicas are paused, because commits that nobody
    waits for any more may still be under way at a primary that this host
    cannot reach.
    """
    survey = await _survey(promoter, watched, dead, pause=True)
    if survey.caught_up:
        return survey
    # An earlier leader may have paused them.
    await promoter.resume_replicas(watched)
    deadline = now() + CATCH_UP_TIMEOUT_S
    while not survey.caught_up and now() < deadline:
        await asyncio.sleep(CATCH_UP_POLL_S)
        survey = await _survey(promoter, watched, dead, pause=False)
    return survey


async def _survey(promoter, watched, dead: bool, pause: bool) -> Survey:
    host, dialect = promoter.host, promoter.dialect
    fenced = host.settings.endpoints_fenced
    entries = host.registry.service_endpoints(watched.service)
    # A primary that does not answer would delay the survey.
    silent = dead and watched.detector.failed_at is not None
    names = [
        entry.heartbeat.endpoint
        for entry in entries
        if not silent or entry.heartbeat.endpoint != watched.endpoint
    ]
    states = await _query(promoter, names, dialect.state_text())
    if pause and states and not (fenced and _leader(states)):
        term = max(state.term for state in states.values())
        states |= await _query(promoter, names, dialect.pause_text(term + 1))
    leader = _leader(states)
    candidates = []
    for entry in entries:
        name = entry.heartbeat.endpoint
        state = states.get(name)
        if state is not None and state.primary:
            continue
        if name == watched.endpoint and not (
            state is not None and (fenced or watched.not_primary_since)
        ):
            # Replicas hold the commits that the former primary acknowledged.
            continue
        received = state.received if state is not None else None
        candidates.append(Candidate(name, received, entry.heartbeat.draining))
    if len(states) < len(entries) or host.registry.lost_primary(
        watched.service
    ):
        # Otherwise the last primary has answered, and its log has what the
        # replicas that ended have acknowledged.
        candidates += [
            Candidate(beat.endpoint, None, draining=True)
            for beat in promoter.departures.unsettled(watched.service)
            if beat.endpoint != watched.endpoint
        ]
    # An endpoint that is not fenced may not know that it was replaced.
    required = states[leader].received if fenced and leader else None
    return Survey(leader, candidates, required)


async def _query(promoter, names: list[str], text: str) -> dict:
    """Return the states of the endpoints that answer a statement."""
    states = await asyncio.gather(
        *(promoter.query_state(name, text) for name in names)
    )
    return {
        name: state
        for name, state in zip(names, states, strict=True)
        if state is not None
    }


def _leader(states: dict) -> str:
    """Return the primary of the highest term, empty if there is none."""
    leaders = [(s.term, name) for name, s in states.items() if s.primary]
    return max(leaders)[1] if leaders else ""


def _stays(promoter, endpoint: str) -> bool:
    entry = promoter.host.registry.entries.get(endpoint)
    return entry is not None and not (
        entry.heartbeat.gone or entry.heartbeat.draining
    )


async def _promote(
    promoter, watched, successor: str, leader: str, dead: bool
) -> float | None:
    """Order a promotion and wait until the successor leads.

    Returns
    -------
    float or None
        Time in seconds at which the platform had accepted the order; None if
        it did not, or if the successor does not lead.
    """
    host, service = promoter.host, watched.service
    token = await _begin_epoch(promoter, watched, successor, dead, opens=False)
    if token is None:
        return None
    if not host.settings.endpoints_fenced:
        if not await promoter.is_latest_order(service, token):
            return None
        leader = watched.endpoint
    outcome = await promoter.authority.promote(
        service, successor, host.settings.name, token
    )
    log_event(
        "promotion_ordered",
        service=service,
        former=watched.endpoint,
        successor=successor,
        token=token,
        outcome=outcome.name.lower(),
    )
    promoter.ordered.setdefault(service, set()).add(successor)
    if outcome is not OrderOutcome.ACCEPTED:
        return None
    accepted_at = now()
    steps = [promoter.await_takeover(successor)]
    if leader not in ("", successor):
        steps.append(promoter.demote(service, leader))
    taken_over, *_ = await asyncio.gather(*steps)
    return accepted_at if taken_over else None
