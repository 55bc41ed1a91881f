"""Choice of voters and of the endpoint to promote."""

import msgspec

from chivescale.messages import EndpointRecord, EndpointStatus, ServiceRecord

# A learner this close to the primary holds the marker of a new term within
# a few replication polls.
CAUGHT_UP_ENTRIES = 200

# Announcements come about once a second; three missing ones are no accident.
HEARD_RECENTLY_S = 3.0

# Restarts take seconds; only longer absences cost a voter its place.
DEAD_AFTER_S = 10.0


class Member(msgspec.Struct, frozen=True):
    """A voter with the incarnation that counts."""

    endpoint: str
    incarnation: str


class Known(msgspec.Struct):
    """Last status of an endpoint.

    Attributes
    ----------
    heard_at : float
        When an announcement or an answer arrived.
    direct_at : float
        When the question left whose answer `status` is; negative infinity
        if it came with an announcement.
    """

    status: EndpointStatus
    heard_at: float
    direct_at: float = float("-inf")


def quorum(count: int) -> int:
    """Return the number of voters that is a majority of `count`."""
    return count // 2 + 1


def members_of(record: ServiceRecord) -> tuple[Member, ...]:
    """Return the voters of the last established term."""
    pairs = zip(record.voters, record.incarnations, strict=True)
    return tuple(Member(name, incarnation) for name, incarnation in pairs)


def acceptable(
    candidate: EndpointStatus,
    promised: dict[str, EndpointStatus],
    old: tuple[Member, ...],
    needed: int,
) -> bool:
    """Tell whether promoting `candidate` keeps every confirmed write.

    A confirmed write is on a quorum of the old voters, and every quorum of
    promises shares a voter with it. So the candidate has to be at least as
    advanced as `needed` of the old voters that promised.
    """
    covered = sum(
        member.endpoint in promised
        and promised[member.endpoint].last <= candidate.last
        for member in old
    )
    return covered >= needed


def choose_candidate(
    promised: dict[str, EndpointStatus],
    old: tuple[Member, ...],
    new: tuple[Member, ...],
    needed: int,
    avoid: frozenset[str],
    primary: str,
    zone_hosts: dict[str, int],
) -> str | None:
    """Choose the voter to promote.

    Parameters
    ----------
    promised : dict of EndpointStatus
        Status of every member that promised the term.
    old, new : tuple of Member
        Voters of the last established term and of the new one.
    needed : int
        Promises of old voters that the choice must cover.
    avoid : frozenset of str
        Leaving or suspected endpoints; chosen only if no other will do.
    primary : str
        Present primary, kept among equals.
    zone_hosts : dict of int
        Entry hosts per zone; more are better among equals.

    Returns
    -------
    str or None
        None if no member of `new` may be promoted yet.
    """

    def rank(name: str):
        status = promised[name]
        return (
            name not in avoid,
            status.last,
            name == primary,
            zone_hosts.get(status.zone, 0),
            name,
        )

    names = [
        member.endpoint
        for member in new
        if member.endpoint in promised
        and acceptable(promised[member.endpoint], promised, old, needed)
    ]
    return max(names, key=rank, default=None)


def first_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    known: dict[str, Known],
    now: float,
) -> tuple[Member, ...] | None:
    """Choose the voters of the first term.

    Endpoints that already hold data come first, then those in zones that
    have no voter so far.

    Returns
    -------
    tuple of Member or None
        None until ``group_size`` endpoints are announced.
    """
    ready = [
        name
        for name, endpoint in endpoints.items()
        if not endpoint.leaving and _recent(known.get(name), now)
    ]
    if len(ready) < record.group_size or record.group_size < 1:
        return None
    chosen: list[str] = []
    zones: set[str] = set()
    while len(chosen) < record.group_size:
        best = max(
            (name for name in ready if name not in chosen),
            key=lambda name: (
                known[name].status.last,
                endpoints[name].zone not in zones,
                # Reversed order makes the choice the same on every leader.
                [-ord(char) for char in name],
            ),
        )
        chosen.append(best)
        zones.add(endpoints[best].zone)
    return tuple(Member(n, endpoints[n].incarnation) for n in sorted(chosen))


def _recent(known: Known | None, now: float) -> bool:
    return known is not None and now - known.heard_at <= HEARD_RECENTLY_S


def caught_up_learners(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    known: dict[str, Known],
    now: float,
) -> list[str]:
    """Return the members without a vote that are fit to become voters."""
    voters = set(members_of(record))
    primary = known.get(record.primary)
    target = primary.status.last.position if primary else record.marker
    fit = []
    for name, endpoint in sorted(endpoints.items()):
        if Member(name, endpoint.incarnation) in voters or endpoint.leaving:
            continue
        if not _recent(known.get(name), now):
            continue
        status = known[name].status
        if status.last.term != record.term or status.leaving:
            continue
        if status.last.position + CAUGHT_UP_ENTRIES >= target:
            fit.append(name)
    return fit


def replaceable_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    known: dict[str, Known],
    now: float,
    since: float,
) -> list[Member]:
    """Return the voters that should lose their vote, the surest first.

    Parameters
    ----------
    since : float
        Start of this leadership; before it nothing could be heard.
    """
    lost, leaving, dead = [], [], []
    for member in members_of(record):
        endpoint = endpoints.get(member.endpoint)
        heard = known.get(member.endpoint)
        heard_at = max(heard.heard_at if heard else since, since)
        if endpoint and endpoint.incarnation != member.incarnation:
            lost.append(member)
        elif endpoint and endpoint.leaving:
            leaving.append(member)
        elif member.endpoint == record.primary:
            # The watchers judge the primary, from where its callers are.
            continue
        elif now - heard_at > DEAD_AFTER_S:
            dead.append(member)
    return lost + leaving + dead


def plan_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    known: dict[str, Known],
    now: float,
    since: float,
) -> tuple[Member, ...] | None:
    """Plan the next voter change; one voter comes, one goes, or both.

    Returns
    -------
    tuple of Member or None
        New voters, or None if no change is due or possible.
    """
    voters = members_of(record)
    learners = caught_up_learners(record, endpoints, known, now)
    going = replaceable_voters(record, endpoints, known, now, since)
    size = len(voters)
    if size > record.group_size:
        others = [m for m in voters if m.endpoint != record.primary]
        drop = (going + others[::-1])[0]
        return tuple(m for m in voters if m != drop)
    if not learners:
        return None
    # A voter that lost its data comes back under its own name.
    names = {member.endpoint: member for member in voters}
    own = [name for name in learners if name in names]
    chosen = (own + learners)[0]
    new = Member(chosen, endpoints[chosen].incarnation)
    if chosen in names:
        drop = names[chosen]
    elif size < record.group_size:
        drop = None
    elif going:
        drop = going[0]
    else:
        return None
    kept = [member for member in voters if member != drop]
    return tuple(sorted(kept + [new], key=lambda m: m.endpoint))
