"""Choice of the endpoint for one statement."""

import random

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position

# Replicas take this many times their slots before the primary is used: a
# short queue at a replica costs less than load on the primary.
QUEUE_FACTOR = 2.0
# Added to the latency estimate of endpoints in other zones.
CROSS_ZONE_S = 0.002
LATENCY_FLOOR_S = 0.0005


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint as the host knows it.

    Attributes
    ----------
    endpoint, zone : str
        Name and availability zone.
    primary : bool
        Whether it is the primary of the published term.
    leaving : bool
        Whether it takes no new work.
    in_use, limit : int
        Statements running or waiting there from this host, and the
        concurrency limit.
    latency_s : float
        Smoothed latency.
    proven_age_s : float or None
        From `Freshness`; None if nothing is proven.
    holds_position : bool
        Whether it provably holds the position of the `Need`; true if the
        need has none.
    promised_ok : bool
        Whether it promised the highest known term.
    suspect : bool
        Whether its last connection failed or went silent.
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
    promised_ok: bool = True
    suspect: bool = False


class Need(msgspec.Struct, frozen=True):
    """What a statement needs of its endpoint.

    Attributes
    ----------
    write : bool
        Whether only the primary will do.
    zone : str
        Zone of this host.
    position : Position or None
        What the session must see.
    max_age_s : float or None
        Accepted staleness; None if `position` comes from a barrier of this
        read and therefore suffices.
    """

    write: bool = False
    zone: str = ""
    position: Position | None = None
    max_age_s: float | None = None


def choose_endpoint(
    candidates: list[Candidate], need: Need, rng: random.Random
) -> str | Failure:
    """Return the endpoint for a statement.

    Reads go to an eligible replica, to one with a free slot in the own zone
    first. The primary serves a read only if no replica is eligible or all
    have more than `QUEUE_FACTOR` times their limit in use.

    Parameters
    ----------
    candidates : list of Candidate
        Endpoints of the service.
    need : Need
        What the statement needs.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str or Failure
        ``NO_PRIMARY`` for a write, ``FRESHNESS_UNPROVED`` for a read.
    """
    if need.write:
        return _choose_primary(candidates)
    eligible = [each for each in candidates if _eligible(each, need)]
    if not eligible:
        return Failure(
            ErrorKind.FRESHNESS_UNPROVED, _explain(candidates, need)
        )
    steady = [each for each in eligible if not each.suspect]
    replicas = [each for each in steady if not each.primary]
    primary = [each for each in steady if each.primary]
    for group in _groups(replicas, primary, need.zone):
        if group:
            return _best_of_two(group, need.zone, rng)
    return _best_of_two(steady or eligible, need.zone, rng)


def _groups(replicas, primary, zone):
    """Yield groups of endpoints in order of preference."""
    free = [each for each in replicas if each.in_use < each.limit]
    yield [each for each in free if each.zone == zone]
    yield free
    yield [
        each for each in replicas if each.in_use < each.limit * QUEUE_FACTOR
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


def _eligible(candidate: Candidate, need: Need) -> bool:
    return not _objection(candidate, need)


def _objection(candidate: Candidate, need: Need) -> str:
    """Return why a candidate cannot serve a read; empty if it can."""
    if candidate.leaving:
        return "leaving"
    if not candidate.promised_ok:
        return "behind the promised term"
    if need.position is not None and not candidate.holds_position:
        return "behind the position"
    if need.max_age_s is not None:
        age = candidate.proven_age_s
        if age is None:
            return "no proven age"
        if age > need.max_age_s:
            return f"proven age {age:.3f} s"
    return ""


def _explain(candidates: list[Candidate], need: Need) -> str:
    if not candidates:
        return "no endpoint is known"
    return "; ".join(
        f"{each.endpoint}: {_objection(each, need)}" for each in candidates
    )


def _best_of_two(group, zone: str, rng: random.Random) -> str:
    # Two random choices: taking the least loaded of all would send every
    # host to the same endpoint at once.
    pair = group if len(group) <= 2 else rng.sample(group, 2)
    costs = [(_cost(each, zone), rng.random(), each) for each in pair]
    return min(costs, key=lambda cost: cost[:2])[2].endpoint


def _cost(candidate: Candidate, zone: str) -> float:
    latency = max(candidate.latency_s, LATENCY_FLOOR_S)
    if candidate.zone != zone:
        latency += CROSS_ZONE_S
    return latency * (candidate.in_use + 1) / max(candidate.limit, 1)
