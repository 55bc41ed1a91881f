"""Messages between control hosts and the records of the log."""

import msgspec

COMMAND = "command"
CONFIGURATION = "configuration"
NOOP = "noop"


class Member(msgspec.Struct, frozen=True):
    """A control host as part of a configuration.

    Attributes
    ----------
    name, address : str
        Name in the settings and ``ip:port`` of its control interface.
    incarnation : str
        Identifier of its data folder; empty before the group is formed.
    voter : bool
        False for a learner, which receives the log but does not count.
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
        """Whether every member is bound to an incarnation."""
        return all(member.incarnation for member in self.members)

    @property
    def voters(self) -> tuple[Member, ...]:
        """Members that count towards a quorum."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that decides."""
        return len(self.voters) // 2 + 1

    def find(self, name: str, incarnation: str | None = None) -> Member | None:
        """Return the member of that name (and incarnation, if given)."""
        for member in self.members:
            if member.name == name:
                same = incarnation in (None, member.incarnation)
                return member if same else None
        return None

    def with_member(self, member: Member) -> "Configuration":
        """Return a copy with the member of that name added or replaced."""
        rest = [m for m in self.members if m.name != member.name]
        ordered = sorted([*rest, member], key=lambda m: m.name)
        return Configuration(tuple(ordered))

    def without(self, name: str) -> "Configuration":
        """Return a copy without the member of that name."""
        return Configuration(tuple(m for m in self.members if m.name != name))


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One record of the replicated log."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True):
    """State after the entry at `index`, which replaces the log up to it."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Sender, addressee and term of a message.

    `target_incarnation` is empty only in requests sent before the sender
    knows the addressee's incarnation.
    """

    sender: str
    sender_incarnation: str
    target: str
    target_incarnation: str
    term: int


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a vote in `vote_term`, or whether one would be given.

    Attributes
    ----------
    pre : bool
        Only asks; neither side changes its term.
    forming : Configuration or None
        First configuration that the candidate would write.
    unformed : bool
        Whether the candidate has no configuration yet.
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
    """Answer to `VoteRequest`."""

    header: Header
    pre: bool
    vote_term: int
    granted: bool
    unformed: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries after `prev_index`; without entries, a heartbeat."""

    header: Header
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to `AppendRequest` and `SnapshotRequest`.

    Attributes
    ----------
    prev_index, round : int
        As in the request.
    match_index : int
        If `ok`: the sender's log equals the leader's up to here.
        Otherwise: the highest index at which it may.
    """

    header: Header
    ok: bool
    prev_index: int
    match_index: int
    round: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Snapshot for a member whose next entry is no longer kept."""

    header: Header
    snapshot: Snapshot
    round: int


AgreementMessage = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
)
