"""Selection of voters and of the endpoint to promote."""

import msgspec

from chivescale.messages import EndpointRecord, EndpointStatus, ServiceRecord

# A learner within this lag receives the marker of a new term within a few
# replication polls.
MAX_LEARNER_LAG_ENTRIES = 200

# Endpoints announce themselves about once a second; three announcements in a
# row are unlikely to be lost by chance.
MAX_STATUS_AGE_S = 3.0

# Voters are replaced only after longer absences than a restart, which takes
# seconds.
VOTER_ABSENCE_LIMIT_S = 10.0


class Member(msgspec.Struct, frozen=True):
    """A voter, identified by endpoint and incarnation."""

    endpoint: str
    incarnation: str


class ObservedStatus(msgspec.Struct):
    """Latest status of an endpoint.

    Attributes
    ----------
    received_at : float
        When the last announcement or reply arrived.
    polled_at : float
        When the request for `status` was sent; negative infinity if the
        status was announced.
    """

    status: EndpointStatus
    received_at: float
    polled_at: float = float("-inf")


def quorum(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1


def voters_of(record: ServiceRecord) -> tuple[Member, ...]:
    """Return the voters of the last established term."""
    pairs = zip(record.voters, record.incarnations, strict=True)
    return tuple(Member(name, incarnation) for name, incarnation in pairs)


def is_safe_candidate(
    candidate: EndpointStatus,
    promised: dict[str, EndpointStatus],
    old_voters: tuple[Member, ...],
    required: int,
) -> bool:
    """Tell whether promoting `candidate` preserves every confirmed write.

    A confirmed write is held by a quorum of the old voters, and every quorum
    of promises has a voter in common with it. The candidate is therefore safe
    if its log is at least as advanced as those of `required` old voters that
    promised.
    """
    covered = sum(
        member.endpoint in promised
        and promised[member.endpoint].last <= candidate.last
        for member in old_voters
    )
    return covered >= required


def choose_candidate(
    promised: dict[str, EndpointStatus],
    old_voters: tuple[Member, ...],
    new_voters: tuple[Member, ...],
    required: int,
    deprioritized: frozenset[str],
    primary: str,
    zone_hosts: dict[str, int],
) -> str | None:
    """Choose the voter to promote.

    Parameters
    ----------
    promised : dict of EndpointStatus
        Status of every member that promised the term.
    old_voters, new_voters : tuple of Member
        Voters of the last established term and of the new one.
    required : int
        Number of promises of old voters that the candidate has to cover.
    deprioritized : frozenset of str
        Leaving or suspected endpoints; chosen only if no other qualifies.
    primary : str
        Current primary, preferred among equals.
    zone_hosts : dict of int
        Entry hosts per zone; zones with more are preferred among equals.

    Returns
    -------
    str or None
        None if no new voter can be promoted safely yet.
    """

    def rank(name: str):
        status = promised[name]
        return (
            name not in deprioritized,
            status.last,
            name == primary,
            zone_hosts.get(status.zone, 0),
            name,
        )

    names = [
        member.endpoint
        for member in new_voters
        if member.endpoint in promised
        and is_safe_candidate(
            promised[member.endpoint], promised, old_voters, required
        )
    ]
    return max(names, key=rank, default=None)


def first_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    statuses: dict[str, ObservedStatus],
    now: float,
) -> tuple[Member, ...] | None:
    """Choose the voters of the first term.

    Endpoints with the most advanced logs are preferred, then endpoints in
    zones without a voter.

    Returns
    -------
    tuple of Member or None
        None until ``group_size`` endpoints have announced themselves.
    """
    ready = [
        name
        for name, endpoint in endpoints.items()
        if not endpoint.leaving and _is_recent(statuses.get(name), now)
    ]
    if len(ready) < record.group_size or record.group_size < 1:
        return None
    chosen: list[str] = []
    zones: set[str] = set()
    while len(chosen) < record.group_size:
        best = max(
            (name for name in ready if name not in chosen),
            key=lambda name: (
                statuses[name].status.last,
                endpoints[name].zone not in zones,
                # Negated, so that every leader prefers the lowest name.
                [-ord(char) for char in name],
            ),
        )
        chosen.append(best)
        zones.add(endpoints[best].zone)
    return tuple(Member(n, endpoints[n].incarnation) for n in sorted(chosen))


def _is_recent(observed: ObservedStatus | None, now: float) -> bool:
    return (
        observed is not None and now - observed.received_at <= MAX_STATUS_AGE_S
    )


def caught_up_learners(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    statuses: dict[str, ObservedStatus],
    now: float,
) -> list[str]:
    """Return the learners that are ready to become voters."""
    voters = set(voters_of(record))
    primary = statuses.get(record.primary)
    target = primary.status.last.position if primary else record.marker
    ready = []
    for name, endpoint in sorted(endpoints.items()):
        if Member(name, endpoint.incarnation) in voters or endpoint.leaving:
            continue
        if not _is_recent(statuses.get(name), now):
            continue
        status = statuses[name].status
        if status.last.term != record.term or status.leaving:
            continue
        if status.last.position + MAX_LEARNER_LAG_ENTRIES >= target:
            ready.append(name)
    return ready


def replaceable_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    statuses: dict[str, ObservedStatus],
    now: float,
    leadership_since: float,
) -> list[Member]:
    """Return the voters to replace, the most certain failures first.

    Parameters
    ----------
    leadership_since : float
        Start of this leadership; earlier contacts are not known.
    """
    lost_data, leaving, absent = [], [], []
    for member in voters_of(record):
        endpoint = endpoints.get(member.endpoint)
        observed = statuses.get(member.endpoint)
        last_contact_at = max(
            observed.received_at if observed else leadership_since,
            leadership_since,
        )
        if endpoint and endpoint.incarnation != member.incarnation:
            lost_data.append(member)
        elif endpoint and endpoint.leaving:
            leaving.append(member)
        elif member.endpoint == record.primary:
            # Watchers detect a failed primary; they share the callers' view
            # of the network.
            continue
        elif now - last_contact_at > VOTER_ABSENCE_LIMIT_S:
            absent.append(member)
    return lost_data + leaving + absent


def plan_voters(
    record: ServiceRecord,
    endpoints: dict[str, EndpointRecord],
    statuses: dict[str, ObservedStatus],
    now: float,
    leadership_since: float,
) -> tuple[Member, ...] | None:
    """Plan the next voter change, which adds and removes at most one voter.

    Returns
    -------
    tuple of Member or None
        New voters, or None if no change is needed or possible.
    """
    voters = voters_of(record)
    learners = caught_up_learners(record, endpoints, statuses, now)
    removable = replaceable_voters(
        record, endpoints, statuses, now, leadership_since
    )
    size = len(voters)
    if size > record.group_size:
        others = [m for m in voters if m.endpoint != record.primary]
        drop = (removable + others[::-1])[0]
        return tuple(m for m in voters if m != drop)
    if not learners:
        return None
    # A voter that lost its data is replaced by its own new incarnation first.
    names = {member.endpoint: member for member in voters}
    own = [name for name in learners if name in names]
    chosen = (own + learners)[0]
    new = Member(chosen, endpoints[chosen].incarnation)
    if chosen in names:
        drop = names[chosen]
    elif size < record.group_size:
        drop = None
    elif removable:
        drop = removable[0]
    else:
        return None
    kept = [member for member in voters if member != drop]
    return tuple(sorted(kept + [new], key=lambda m: m.endpoint))
