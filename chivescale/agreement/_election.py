"""Election of a leader and formation of the group.

A candidate first asks whether it would be elected (pre-vote) without
changing any term, so that a member that was cut off cannot depose a leader
when it returns.

Before the group is formed no member knows the incarnations of the others.
The first candidate learns them with the pre-vote and needs the vote of every
initial member, each bound to its incarnation. Its first log entry is the
configuration with these incarnations. No second group can form afterwards:
it would need the vote of a member that already holds this entry.
"""

import msgspec

from chivescale.agreement import _replication
from chivescale.agreement._events import Role
from chivescale.agreement._messages import (
    Configuration,
    Member,
    VoteReply,
    VoteRequest,
)

# Random range of the election timeout, as multiples of the setting. The
# lower bound leaves the other members time to miss the leader too, since
# they refuse a pre-vote until then. The upper bound keeps the time from the
# loss of a leader to the next one under 400 ms with the default settings.
TIMEOUT_FROM = 1.1
TIMEOUT_TO = 1.45
# An unsuccessful attempt is repeated after this many heartbeats. Pre-votes
# disturb nobody, so this can be short.
RETRY_FROM = 1.0
RETRY_TO = 3.0


class Election(msgspec.Struct):
    """Progress of an own candidacy and the last promise of a pre-vote.

    Attributes
    ----------
    granted : dict of str to Member
        Members that would vote or voted for this one.
    promised_to : str
        Candidate whose pre-vote was granted last.
    promised_until : float
        Until when pre-votes of others are refused.
    forming : Configuration or None
        First configuration that this candidate would write.
    """

    granted: dict[str, Member] = msgspec.field(default_factory=dict)
    promised_to: str = ""
    promised_until: float = 0.0
    forming: Configuration | None = None


def reset_timer(machine, now: float) -> None:
    """Draw the time at which to miss the leader."""
    base = machine.timing.election_timeout_s
    factor = machine.rng.uniform(TIMEOUT_FROM, TIMEOUT_TO)
    machine.election_due = now + base * factor
    machine.deferred = False


def start_timer(machine, now: float) -> None:
    """Draw the time of the first attempt after a start.

    All members may have been stopped together, and then nobody leads. A
    leader that lives is heard within a heartbeat, and the others refuse a
    pre-vote while they hear one.
    """
    if machine.formed:
        retry_timer(machine, now)
    else:
        reset_timer(machine, now)


def retry_timer(machine, now: float) -> None:
    """Draw the time of the next attempt."""
    base = machine.timing.heartbeat_s
    factor = machine.rng.uniform(RETRY_FROM, RETRY_TO)
    machine.election_due = now + base * factor
    machine.deferred = False


def hears_leader(machine, now: float) -> bool:
    """Tell whether a leader was heard within the election timeout."""
    if machine.role is Role.LEADER:
        return True
    if machine.leader is None or machine.leader_contact is None:
        return False
    age = now - machine.leader_contact
    return age < machine.timing.election_timeout_s


def _may_stand(machine) -> bool:
    if not machine.formed:
        return True
    own = machine.own_member
    return own is not None and own.voter


def begin_prevote(machine, now: float) -> None:
    """Ask the others whether they would vote for this member."""
    if machine.formed:
        retry_timer(machine, now)
    else:
        # A member that waits for admission asks at a lower rate.
        reset_timer(machine, now)
    if not _may_stand(machine):
        return
    machine.role = Role.PRE_CANDIDATE
    machine.leader = None
    _promise(machine, machine.name, now)
    _ask(machine, True, machine.term + 1, None)
    _count(machine, now)


def _ask(machine, pre: bool, term: int, forming: Configuration | None):
    me = Member(machine.name, "", machine.incarnation)
    machine.election.granted = {machine.name: me}
    configuration = forming or machine.configuration
    own = configuration.find(machine.name)
    for member in configuration.voters:
        if member.name == machine.name:
            continue
        header = machine.header_to(member.name, member.incarnation)
        request = VoteRequest(
            header=header,
            pre=pre,
            vote_term=term,
            last_index=machine.log.last_index,
            last_term=machine.log.last_term,
            address=own.address if own else machine.address,
            unformed=not machine.formed,
            forming=forming,
        )
        machine.send(member.address, request)


def on_vote_request(machine, request: VoteRequest, now: float) -> None:
    """Answer a request for a vote or a pre-vote."""
    header = request.header
    _note_seen(machine, request)
    if request.pre:
        granted = _grants_prevote(machine, request, now)
        if granted:
            _promise(machine, header.sender, now)
    else:
        granted = _grants_vote(machine, request, now)
    reply = VoteReply(
        header=machine.reply_header(header),
        pre=request.pre,
        vote_term=request.vote_term,
        granted=granted,
        unformed=not machine.formed,
    )
    machine.send(_address_of(machine, request), reply)


def _address_of(machine, request: VoteRequest) -> str:
    known = machine.configuration.find(request.header.sender)
    return request.address or (known.address if known else "")


def _note_seen(machine, request: VoteRequest) -> None:
    """Remember a new incarnation, which a replacement can admit."""
    header = request.header
    if not machine.formed:
        return
    if machine.configuration.find(header.sender, header.sender_incarnation):
        return
    machine.seen[header.sender] = Member(
        header.sender, request.address, header.sender_incarnation
    )


def _log_is_current(machine, request: VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (machine.log.last_term, machine.log.last_index)


def _same_stage(machine, request: VoteRequest) -> bool:
    """Tell whether the request fits the formation of the group."""
    if not request.unformed:
        return True
    if machine.formed or not machine.may_form:
        return False
    if machine.initial.find(request.header.sender) is None:
        return False
    if request.pre:
        return True
    forming = request.forming
    if forming is None or not forming.formed:
        return False
    names = {member.name for member in forming.members}
    expected = {member.name for member in machine.initial.members}
    bound = forming.find(machine.name, machine.incarnation)
    return names == expected and bound is not None


def _promise(machine, candidate: str, now: float) -> None:
    machine.election.promised_to = candidate
    machine.election.promised_until = now + machine.timing.heartbeat_s


def _prefers_other(machine, candidate: str, now: float) -> bool:
    """Tell whether another candidate was promised a vote just now.

    Two candidates that start within a few milliseconds would otherwise
    split the votes. Of two candidates the lower name goes first.
    """
    election = machine.election
    if now >= election.promised_until or election.promised_to == candidate:
        return False
    if machine.role is Role.PRE_CANDIDATE:
        return machine.name < candidate
    return True


def _grants_prevote(machine, request: VoteRequest, now: float) -> bool:
    return (
        request.vote_term > machine.term
        and not hears_leader(machine, now)
        and _same_stage(machine, request)
        and _log_is_current(machine, request)
        and not _prefers_other(machine, request.header.sender, now)
    )


def _grants_vote(machine, request: VoteRequest, now: float) -> bool:
    header = request.header
    if request.vote_term < machine.term or hears_leader(machine, now):
        return False
    if request.vote_term > machine.term:
        machine.become_follower(request.vote_term, None, now)
    candidate = f"{header.sender}/{header.sender_incarnation}"
    if machine.vote not in ("", candidate):
        return False
    if not _same_stage(machine, request):
        return False
    if not _log_is_current(machine, request):
        return False
    machine.set_hard_state(machine.term, candidate)
    reset_timer(machine, now)
    return True


def on_vote_reply(machine, reply: VoteReply, now: float) -> None:
    """Count an answer to an own request."""
    header = reply.header
    if header.term > machine.term and not reply.granted:
        machine.become_follower(header.term, None, now)
        return
    expected = {
        (Role.PRE_CANDIDATE, True): machine.term + 1,
        (Role.CANDIDATE, False): machine.term,
    }.get((machine.role, reply.pre))
    if not reply.granted or reply.vote_term != expected:
        return
    if not machine.formed and not reply.unformed:
        return
    machine.election.granted[header.sender] = Member(
        header.sender, "", header.sender_incarnation
    )
    _count(machine, now)


def _count(machine, now: float) -> None:
    if not (machine.formed or machine.may_form):
        return
    won = _has_quorum(machine) if machine.formed else _has_all(machine)
    if not won:
        return
    if machine.role is Role.PRE_CANDIDATE:
        _begin_election(machine, now)
    elif machine.role is Role.CANDIDATE:
        _replication.begin_leading(machine, machine.election.forming, now)


def _has_all(machine) -> bool:
    """Tell whether every initial member agrees to form the group."""
    granted = machine.election.granted
    if machine.role is Role.PRE_CANDIDATE:
        return all(m.name in granted for m in machine.initial.members)
    return all(
        m.name in granted and granted[m.name].incarnation == m.incarnation
        for m in machine.election.forming.members
    )


def _has_quorum(machine) -> bool:
    """Count only votes of the incarnations in the configuration."""
    configuration = machine.configuration
    votes = [
        member
        for member in configuration.voters
        if member.name in machine.election.granted
        and machine.election.granted[member.name].incarnation
        == member.incarnation
    ]
    return len(votes) >= configuration.quorum


def _begin_election(machine, now: float) -> None:
    forming = None if machine.formed else _first_configuration(machine)
    machine.set_hard_state(machine.term + 1, machine.identity)
    machine.role = Role.CANDIDATE
    machine.leader = None
    machine.election.forming = forming
    retry_timer(machine, now)
    _ask(machine, False, machine.term, forming)
    _count(machine, now)


def _first_configuration(machine) -> Configuration:
    """Bind the initial members to the incarnations that answered."""
    granted = machine.election.granted
    return Configuration(
        tuple(
            msgspec.structs.replace(
                member, incarnation=granted[member.name].incarnation
            )
            for member in machine.initial.members
        )
    )
