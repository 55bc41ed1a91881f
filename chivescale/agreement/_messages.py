"""Messages between control hosts and entries of the log."""

import msgspec

COMMAND = "command"
CONFIGURATION = "configuration"
NOOP = "noop"


class Member(msgspec.Struct, frozen=True):
    """A control host as part of a configuration.

    Attributes
    ----------
    name, address : str
        Name and ``ip:port`` address of its control interface.
    incarnation : str
        Identifier of its data folder; empty until the group is formed.
    voter : bool
        False for a learner, which receives the log but has no vote.
    """

    name: str
    address: str
    incarnation: str = ""
    voter: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Members of the group."""

    members: tuple[Member, ...]

    @property
    def formed(self) -> bool:
        """Whether the incarnation of every member is known."""
        return all(member.incarnation for member in self.members)

    @property
    def voters(self) -> tuple[Member, ...]:
        """Members that count towards the quorum."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def find(self, name: str, incarnation: str | None = None) -> Member | None:
        """Return the member with a name and, if given, an incarnation."""
        for member in self.members:
            if member.name == name:
                same = incarnation in (None, member.incarnation)
                return member if same else None
        return None

    def with_member(self, member: Member) -> "Configuration":
        """Return a copy in which a member is added or replaced by name."""
        rest = [m for m in self.members if m.name != member.name]
        ordered = sorted([*rest, member], key=lambda m: m.name)
        return Configuration(tuple(ordered))

    def without(self, name: str) -> "Configuration":
        """Return a copy without the named member."""
        return Configuration(tuple(m for m in self.members if m.name != name))


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True):
    """State after the entry at `index`; replaces the log up to it."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Sender, target and term of a message.

    `target_incarnation` is empty only in requests sent before the sender
    knows the incarnation of the target.
    """

    sender: str
    sender_incarnation: str
    target: str
    target_incarnation: str
    term: int


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests a vote or pre-vote in `vote_term`.

    Attributes
    ----------
    pre : bool
        Whether this is a pre-vote, which changes no term or vote.
    forming : Configuration or None
        Initial configuration that the candidate proposes.
    unformed : bool
        Whether the candidate does not belong to a formed group yet.
    address : str
        Address of the candidate.
    """

    header: Header
    pre: bool
    vote_term: int
    last_index: int
    last_term: int
    address: str
    unformed: bool = False
    forming: Configuration | None = None


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to `VoteRequest`."""

    header: Header
    pre: bool
    vote_term: int
    granted: bool
    unformed: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries after `prev_index`; a heartbeat if there are none."""

    header: Header
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to `AppendRequest` and `SnapshotRequest`.

    Attributes
    ----------
    prev_index, round : int
        Copied from the request.
    match_index : int
        If `ok`, the index up to which the sender's log matches the
        leader's. Otherwise, the highest index at which it may match.
    """

    header: Header
    ok: bool
    prev_index: int
    match_index: int
    round: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Snapshot for a member whose next entry has been compacted."""

    header: Header
    snapshot: Snapshot
    round: int


AgreementMessage = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
)
