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
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True):
    """Timeouts in seconds, and the number of entries between snapshots."""

    heartbeat_s: float = 0.05
    election_timeout_s: float = 0.25
    snapshot_entries: int = 1000


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, stored before any message that depends on them."""

    term: int = 0
    vote: str = ""


class Recovered(msgspec.Struct, frozen=True):
    """Durable state that a member recovers at start.

    Attributes
    ----------
    first_members : tuple of str
        Names of the members that the group may be formed with, if the folder
        was created at the first start of the whole system; otherwise empty.
    """

    incarnation: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    first_members: tuple[str, ...] = ()


class Tick(msgspec.Struct, frozen=True):
    """Checks timeouts at the current time."""


class Received(msgspec.Struct, frozen=True):
    """A message was received."""

    message: AgreementMessage


class Undelivered(msgspec.Struct, frozen=True):
    """A request of this member failed or timed out."""

    message: AgreementMessage


class Propose(msgspec.Struct, frozen=True):
    """Appends commands; answered by `Appended` or `Rejected`."""

    request_id: int
    commands: tuple[bytes, ...]


class ConfirmRead(msgspec.Struct, frozen=True):
    """Requests a read index; answered by `ReadConfirmed` or `Rejected`."""

    request_id: int


class ReplaceMember(msgspec.Struct, frozen=True):
    """Admits the latest incarnation of a member as a learner.

    A member with an unknown name is added. Answered by `Appended` or
    `Rejected`.
    """

    request_id: int
    name: str


class RemoveMember(msgspec.Struct, frozen=True):
    """Removes a member; answered by `Appended` or `Rejected`."""

    request_id: int
    name: str


class StepDown(msgspec.Struct, frozen=True):
    """Ends the leadership of this member, which will stop."""


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The encoded state requested by `TakeSnapshot`."""

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
    | StepDown
    | SnapshotTaken
)


class Persist(msgspec.Struct, frozen=True):
    """Store durably before executing any later effect.

    The entries replace all stored entries from the index of the first one
    onwards.
    """

    hard_state: HardState | None
    entries: tuple[Entry, ...]


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Store a snapshot durably; the log keeps only `entries`."""

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
    """Encode the state after `index`, the last applied entry."""

    index: int


class Appended(msgspec.Struct, frozen=True):
    """Commands were appended from `first_index` onwards, in `term`."""

    request_id: int
    first_index: int
    term: int


class ReadConfirmed(msgspec.Struct, frozen=True):
    """The read may be served from a state applied up to `index`."""

    request_id: int
    index: int


class Rejected(msgspec.Struct, frozen=True):
    """The request had no effect."""

    request_id: int
    failure: Failure


class LeadershipChanged(msgspec.Struct, frozen=True):
    """The member gained or lost leadership.

    Leadership is gained once all entries of former leaders are applied.
    """

    leading: bool
    term: int


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A new configuration took effect, committed or not."""

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
