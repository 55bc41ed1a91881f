"""Events and effects of the agreement state machine."""

import enum

import msgspec

from chivescale.agreement._messages import (
    AgreementMessage,
    Configuration,
    Entry,
    Snapshot,
)
from chivescale.errors import Failure


class Role(enum.StrEnum):
    """What a member currently does."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True):
    """Durations in seconds; `snapshot_entries` counts applied entries."""

    heartbeat_s: float = 0.05
    election_timeout_s: float = 0.25
    snapshot_entries: int = 1000


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote; durable before any message that depends on them."""

    term: int = 0
    vote: str = ""


class Recovered(msgspec.Struct, frozen=True):
    """Durable state of a member at start."""

    incarnation: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Received(msgspec.Struct, frozen=True):
    """A message has arrived."""

    message: AgreementMessage


class Undelivered(msgspec.Struct, frozen=True):
    """A message of this member got no answer in time."""

    message: AgreementMessage


class Propose(msgspec.Struct, frozen=True):
    """Appends commands; answered by `Appended` or `Rejected`."""

    ticket: int
    commands: tuple[bytes, ...]


class ConfirmRead(msgspec.Struct, frozen=True):
    """Asks for proof of leadership; `ReadConfirmed` or `Rejected`."""

    ticket: int


class ReplaceMember(msgspec.Struct, frozen=True):
    """Admits the latest incarnation of a member as a learner.

    An unknown name is added. `Appended` or `Rejected`.
    """

    ticket: int
    name: str


class RemoveMember(msgspec.Struct, frozen=True):
    """Takes a member out of the group; `Appended` or `Rejected`."""

    ticket: int
    name: str


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The snapshot asked for by `TakeSnapshot`."""

    index: int
    data: bytes


Event = (
    Tick
    | Received
    | Undelivered
    | Propose
    | ConfirmRead
    | ReplaceMember
    | RemoveMember
    | SnapshotTaken
)


class Persist(msgspec.Struct, frozen=True):
    """Store durably before any later effect is executed.

    Entries replace everything at and above the index of the first one.
    """

    hard_state: HardState | None
    entries: tuple[Entry, ...]


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Store a snapshot durably and keep only `entries` after it."""

    snapshot: Snapshot
    hard_state: HardState
    entries: tuple[Entry, ...]


class Restore(msgspec.Struct, frozen=True):
    """Replace the applied state by a snapshot."""

    snapshot: Snapshot


class Send(msgspec.Struct, frozen=True):
    """Send a message to an address."""

    address: str
    message: AgreementMessage


class Apply(msgspec.Struct, frozen=True):
    """Apply a committed entry."""

    entry: Entry


class TakeSnapshot(msgspec.Struct, frozen=True):
    """Encode the state after `index`, which is the last one applied."""

    index: int


class Appended(msgspec.Struct, frozen=True):
    """Commands were appended at `first_index` and after, in `term`."""

    ticket: int
    first_index: int
    term: int


class ReadConfirmed(msgspec.Struct, frozen=True):
    """A state applied up to `index` is current for the read."""

    ticket: int
    index: int


class Rejected(msgspec.Struct, frozen=True):
    """The request of `ticket` took no effect."""

    ticket: int
    failure: Failure


class LeadershipChanged(msgspec.Struct, frozen=True):
    """The member started or ended leading with the complete log."""

    leading: bool
    term: int


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """Another configuration is in use."""

    configuration: Configuration


Effect = (
    Persist
    | SaveSnapshot
    | Restore
    | Send
    | Apply
    | TakeSnapshot
    | Appended
    | ReadConfirmed
    | Rejected
    | LeadershipChanged
    | ConfigurationChanged
)
