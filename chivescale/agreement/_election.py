"""Leader election with pre-vote, and initial formation of the group.

Before an election, a candidate runs a pre-vote that changes no term. A member
that returns from a network partition therefore cannot depose the leader by
raising the term.

Until the group is formed, no member knows the incarnations of the others. The
first candidate learns them from the pre-vote replies and needs the vote of
every initial member, each for its current incarnation. Its first log entry is
the configuration with these incarnations. A second group cannot form after
that, because it would need the vote of a member that already stores this
entry.
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

# Range of the randomized election timeout, as multiples of the setting. The
# lower bound gives the other members time to detect the loss of the leader,
# since they reject pre-votes until then. The upper bound keeps the time from
# the loss of a leader to the election of the next one below 400 ms with the
# default settings.
ELECTION_TIMEOUT_MIN_FACTOR = 1.1
ELECTION_TIMEOUT_MAX_FACTOR = 1.45
# Range of the randomized delay before an unsuccessful attempt is repeated, in
# heartbeat intervals. It can be short, because a pre-vote does not disturb a
# working leader.
RETRY_MIN_HEARTBEATS = 1.0
RETRY_MAX_HEARTBEATS = 3.0
# Term of the requests of a host without a vote. It is never granted; members
# that do not know the host record it, so that the leader admits it.
ASK_FOR_ADMISSION = 0


class Election(msgspec.Struct):
    """Votes for this member and the last pre-vote that it granted.

    Attributes
    ----------
    votes : dict of str to Member
        Members that granted their vote or pre-vote, by name.
    pre_vote_granted_to : str
        Candidate that was last granted a pre-vote.
    pre_vote_granted_until : float
        Time until which pre-votes of other candidates are rejected.
    forming : Configuration or None
        Initial configuration that this candidate proposes.
    """

    votes: dict[str, Member] = msgspec.field(default_factory=dict)
    pre_vote_granted_to: str = ""
    pre_vote_granted_until: float = 0.0
    forming: Configuration | None = None


def reset_election_timer(machine, now: float) -> None:
    """Restart the randomized election timeout."""
    base = machine.timing.election_timeout_s
    factor = machine.rng.uniform(
        ELECTION_TIMEOUT_MIN_FACTOR, ELECTION_TIMEOUT_MAX_FACTOR
    )
    machine.election_due = now + base * factor
    machine.election_deferred = False


def start_election_timer(machine, now: float) -> None:
    """Schedule the first election attempt after a start.

    A member of a formed group tries early, since all members may have been
    stopped together. A working leader sends a message within one heartbeat
    interval, and the other members reject pre-votes while they have one.
    """
    if machine.formed:
        schedule_retry(machine, now)
    else:
        reset_election_timer(machine, now)


def schedule_retry(machine, now: float) -> None:
    """Schedule the next election attempt."""
    base = machine.timing.heartbeat_s
    factor = machine.rng.uniform(RETRY_MIN_HEARTBEATS, RETRY_MAX_HEARTBEATS)
    machine.election_due = now + base * factor
    machine.election_deferred = False


def has_leader_contact(machine, now: float) -> bool:
    """Return whether a leader was in contact within the election timeout."""
    if machine.role is Role.LEADER:
        return True
    if machine.leader is None or machine.leader_contact_at is None:
        return False
    age = now - machine.leader_contact_at
    return age < machine.timing.election_timeout_s


def _can_campaign(machine) -> bool:
    if not machine.formed:
        return True
    own_entry = machine.own_member
    return own_entry is not None and own_entry.voter


def start_pre_vote(machine, now: float) -> None:
    """Start a pre-vote among the voters, or ask them to be admitted."""
    campaigns = _can_campaign(machine)
    if machine.formed and campaigns:
        schedule_retry(machine, now)
    else:
        # Members outside a formed group retry at a lower rate.
        reset_election_timer(machine, now)
    if not campaigns:
        machine.leader = None
        _request_votes(machine, True, ASK_FOR_ADMISSION, None)
        return
    machine.role = Role.PRE_CANDIDATE
    machine.leader = None
    _record_pre_vote(machine, machine.name, now)
    _request_votes(machine, True, machine.term + 1, None)
    _advance_if_won(machine, now)


def _request_votes(
    machine, pre: bool, term: int, forming: Configuration | None
):
    own_member = Member(machine.name, "", machine.incarnation)
    machine.election.votes = {machine.name: own_member}
    configuration = forming or machine.configuration
    own_entry = configuration.find(machine.name)
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
            address=own_entry.address if own_entry else machine.address,
            unformed=not machine.formed,
            forming=forming,
        )
        machine.send(member.address, request)


def on_vote_request(machine, request: VoteRequest, now: float) -> None:
    """Handle a vote or pre-vote request."""
    header = request.header
    _record_unknown_incarnation(machine, request)
    if request.pre:
        granted = _grants_pre_vote(machine, request, now)
        if granted:
            _record_pre_vote(machine, header.sender, now)
    else:
        granted = _grants_vote(machine, request, now)
    reply = VoteReply(
        header=machine.reply_header(header),
        pre=request.pre,
        vote_term=request.vote_term,
        granted=granted,
        unformed=not machine.formed,
    )
    machine.send(_reply_address(machine, request), reply)


def _reply_address(machine, request: VoteRequest) -> str:
    known = machine.configuration.find(request.header.sender)
    return request.address or (known.address if known else "")


def _record_unknown_incarnation(machine, request: VoteRequest) -> None:
    """Record a sender that is not a member, so that it can be admitted."""
    header = request.header
    if not machine.formed:
        return
    if machine.configuration.find(header.sender, header.sender_incarnation):
        return
    machine.seen[header.sender] = Member(
        header.sender, request.address, header.sender_incarnation
    )


def _log_is_up_to_date(machine, request: VoteRequest) -> bool:
    return _log_end(request) >= _log_end(machine.log)


def _log_end(log) -> tuple[int, int]:
    """Return the end of a log by which candidates are compared."""
    return (log.last_term, log.last_index)


def _formation_allowed(machine, request: VoteRequest) -> bool:
    """Return whether the request is valid in the current formation state."""
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
    own_entry = forming.find(machine.name, machine.incarnation)
    return names == expected and own_entry is not None


def _record_pre_vote(machine, candidate: str, now: float) -> None:
    machine.election.pre_vote_granted_to = candidate
    machine.election.pre_vote_granted_until = now + machine.timing.heartbeat_s


def _pre_vote_held_by_other(machine, request: VoteRequest, now: float) -> bool:
    """Return whether another candidate holds a recent pre-vote.

    This avoids split votes between candidates that start within a few
    milliseconds of each other. Between two pre-candidates, the one with the
    newer log takes precedence, since it alone can win the vote of the other;
    the one with the lower name if the logs are equal.
    """
    election = machine.election
    candidate = request.header.sender
    if (
        now >= election.pre_vote_granted_until
        or election.pre_vote_granted_to == candidate
    ):
        return False
    if machine.role is Role.PRE_CANDIDATE:
        same_log = _log_end(request) == _log_end(machine.log)
        return same_log and machine.name < candidate
    return True


def _grants_pre_vote(machine, request: VoteRequest, now: float) -> bool:
    return (
        request.vote_term > machine.term
        and not has_leader_contact(machine, now)
        and _formation_allowed(machine, request)
        and _log_is_up_to_date(machine, request)
        and not _pre_vote_held_by_other(machine, request, now)
    )


def _grants_vote(machine, request: VoteRequest, now: float) -> bool:
    header = request.header
    if request.vote_term < machine.term or has_leader_contact(machine, now):
        return False
    if request.vote_term > machine.term:
        machine.become_follower(request.vote_term, None, now)
    candidate = f"{header.sender}/{header.sender_incarnation}"
    if machine.vote not in ("", candidate):
        return False
    if not _formation_allowed(machine, request):
        return False
    if not _log_is_up_to_date(machine, request):
        return False
    machine.set_hard_state(machine.term, candidate)
    reset_election_timer(machine, now)
    return True


def on_vote_reply(machine, reply: VoteReply, now: float) -> None:
    """Count the reply to a vote request of this member."""
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
    machine.election.votes[header.sender] = Member(
        header.sender, "", header.sender_incarnation
    )
    _advance_if_won(machine, now)


def _advance_if_won(machine, now: float) -> None:
    if not (machine.formed or machine.may_form):
        return
    won = (
        _quorum_granted(machine)
        if machine.formed
        else _all_initial_members_granted(machine)
    )
    if not won:
        return
    if machine.role is Role.PRE_CANDIDATE:
        _start_election(machine, now)
    elif machine.role is Role.CANDIDATE:
        _replication.become_leader(machine, machine.election.forming, now)


def _all_initial_members_granted(machine) -> bool:
    """Return whether every initial member granted a vote or pre-vote."""
    votes = machine.election.votes
    if machine.role is Role.PRE_CANDIDATE:
        return all(m.name in votes for m in machine.initial.members)
    return all(
        m.name in votes and votes[m.name].incarnation == m.incarnation
        for m in machine.election.forming.members
    )


def _quorum_granted(machine) -> bool:
    """Return whether a quorum of the voters granted a vote or pre-vote.

    Only votes of the incarnations in the configuration count.
    """
    configuration = machine.configuration
    granting_voters = [
        member
        for member in configuration.voters
        if member.name in machine.election.votes
        and machine.election.votes[member.name].incarnation
        == member.incarnation
    ]
    return len(granting_voters) >= configuration.quorum


def _start_election(machine, now: float) -> None:
    forming = None if machine.formed else _bind_incarnations(machine)
    machine.set_hard_state(machine.term + 1, machine.identity)
    machine.role = Role.CANDIDATE
    machine.leader = None
    machine.election.forming = forming
    schedule_retry(machine, now)
    _request_votes(machine, False, machine.term, forming)
    _advance_if_won(machine, now)


def _bind_incarnations(machine) -> Configuration:
    """Return the initial members with the incarnations that replied."""
    votes = machine.election.votes
    return Configuration(
        tuple(
            msgspec.structs.replace(
                member, incarnation=votes[member.name].incarnation
            )
            for member in machine.initial.members
        )
    )
