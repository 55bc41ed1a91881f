"""Selection of an endpoint for a statement."""

import random

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position

# Reads go to the primary only when the load of each replica has reached this
# multiple of its limit: a short queue at a replica costs less than additional
# load on the primary.
MAX_REPLICA_LOAD_FACTOR = 2.0
# Added to the latency of endpoints in other availability zones.
CROSS_ZONE_PENALTY_S = 0.002
MIN_LATENCY_S = 0.0005


class Candidate(msgspec.Struct, frozen=True):
    """State of an endpoint as known to this host.

    Attributes
    ----------
    endpoint, zone : str
        Name and availability zone.
    primary : bool
        Whether it is the primary of the published term.
    leaving : bool
        Whether it is leaving and accepts no new statements.
    in_use, limit : int
        Number of running and queued statements of this host on the
        endpoint, and the concurrency limit.
    latency_s : float
        Smoothed latency.
    proven_age_s : float or None
        Upper bound of the age of its data, from `Freshness`; None if there
        is no bound.
    holds_position : bool
        Whether it is proven to hold the position of the `Requirements`; true
        if the need has no position.
    has_promised_term : bool
        Whether it has promised the highest known term.
    suspect : bool
        Whether its last connection failed or stopped responding.
    """

    endpoint: str
    zone: str = ""
    primary: bool = False
    leaving: bool = False
    in_use: int = 0
    limit: int = 1
    latency_s: float = 0.0
    proven_age_s: float | None = None
    holds_position: bool = True
    has_promised_term: bool = True
    suspect: bool = False


class Requirements(msgspec.Struct, frozen=True):
    """Requirements of a statement on its endpoint.

    Attributes
    ----------
    write : bool
        Whether the statement must run on the primary.
    zone : str
        Availability zone of this host.
    position : Position or None
        Position that the endpoint must have reached.
    max_age_s : float or None
        Accepted staleness; None if `position` is the result of a barrier
        for this read, so that the age does not matter.
    """

    write: bool = False
    zone: str = ""
    position: Position | None = None
    max_age_s: float | None = None


def choose_endpoint(
    candidates: list[Candidate], need: Requirements, rng: random.Random
) -> str | Failure:
    """Select the endpoint for a statement.

    Reads prefer an eligible replica, first one with a free slot in the zone
    of this host. The primary serves a read only if no replica is eligible or
    the load of each is at least `MAX_REPLICA_LOAD_FACTOR` times its limit.
    Suspect endpoints are used only if no other endpoint is eligible.

    Parameters
    ----------
    candidates : list of Candidate
        Endpoints of the service.
    need : Requirements
        Requirements of the statement.
    rng : random.Random
        Random number generator.

    Returns
    -------
    str or Failure
        Name of the endpoint, or ``NO_PRIMARY`` for a write and
        ``FRESHNESS_UNPROVED`` for a read that no endpoint can serve.
    """
    if need.write:
        return _choose_primary(candidates)
    eligible = [each for each in candidates if _is_eligible(each, need)]
    if not eligible:
        return Failure(
            ErrorKind.FRESHNESS_UNPROVED,
            _describe_rejections(candidates, need),
        )
    healthy = [each for each in eligible if not each.suspect]
    replicas = [each for each in healthy if not each.primary]
    primary = [each for each in healthy if each.primary]
    for group in _preference_groups(replicas, primary, need.zone):
        if group:
            return _choose_least_loaded(group, need.zone, rng)
    return _choose_least_loaded(healthy or eligible, need.zone, rng)


def _preference_groups(replicas, primary, zone):
    """Yield groups of endpoints in order of preference."""
    free = [each for each in replicas if each.in_use < each.limit]
    yield [each for each in free if each.zone == zone]
    yield free
    yield [
        each
        for each in replicas
        if each.in_use < each.limit * MAX_REPLICA_LOAD_FACTOR
    ]
    yield [each for each in primary if each.in_use < each.limit]


def _choose_primary(candidates: list[Candidate]) -> str | Failure:
    primary = next((each for each in candidates if each.primary), None)
    if primary is None:
        return Failure(ErrorKind.NO_PRIMARY, "no primary is known")
    if primary.leaving:
        reason = f"primary {primary.endpoint} is leaving"
        return Failure(ErrorKind.NO_PRIMARY, reason)
    return primary.endpoint


def _is_eligible(candidate: Candidate, need: Requirements) -> bool:
    return not _rejection_reason(candidate, need)


def _rejection_reason(candidate: Candidate, need: Requirements) -> str:
    """Return why a candidate cannot serve a read; empty if it can."""
    if candidate.leaving:
        return "is leaving"
    if not candidate.has_promised_term:
        return "has not promised the current term"
    if need.position is not None and not candidate.holds_position:
        return "has not reached the position"
    if need.max_age_s is not None:
        age = candidate.proven_age_s
        if age is None:
            return "has no proven age"
        if age > need.max_age_s:
            return f"proven age of {age:.3f} s exceeds the limit"
    return ""


def _describe_rejections(
    candidates: list[Candidate], need: Requirements
) -> str:
    if not candidates:
        return "no endpoint is known"
    return "; ".join(
        f"{each.endpoint}: {_rejection_reason(each, need)}"
        for each in candidates
    )


def _choose_least_loaded(group, zone: str, rng: random.Random) -> str:
    # Power of two random choices: if each host took the least loaded
    # endpoint, all hosts would choose the same one at the same time.
    pair = group if len(group) <= 2 else rng.sample(group, 2)
    costs = [(_cost(each, zone), rng.random(), each) for each in pair]
    return min(costs, key=lambda cost: cost[:2])[2].endpoint


def _cost(candidate: Candidate, zone: str) -> float:
    latency = max(candidate.latency_s, MIN_LATENCY_S)
    if candidate.zone != zone:
        latency += CROSS_ZONE_PENALTY_S
    return latency * (candidate.in_use + 1) / max(candidate.limit, 1)
