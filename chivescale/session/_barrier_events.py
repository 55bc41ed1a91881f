"""Events and effects of `Barriers`."""

import msgspec

from chivescale.errors import Failure
from chivescale.messages import EndpointStatus, Position


class Join(msgspec.Struct, frozen=True):
    """A read arrived that needs a barrier."""

    read_id: int
    deadline: float


class StatusReceived(msgspec.Struct, frozen=True):
    """An endpoint answered the question of a round."""

    round: int
    endpoint: str
    status: EndpointStatus


class StatusFailed(msgspec.Struct, frozen=True):
    """An endpoint cannot be asked in a round."""

    round: int
    endpoint: str


class TermChanged(msgspec.Struct, frozen=True):
    """An established term was published; lower terms are ignored."""

    voters: tuple[str, ...]
    incarnations: tuple[str, ...]
    primary: str
    term: int


class Tick(msgspec.Struct, frozen=True):
    """Time passed; needed at `wake_at` of a state machine."""


class StartRound(msgspec.Struct, frozen=True):
    """Ask `endpoints` for their status, without a long poll.

    Emitted again with the same `round` when more endpoints join it.

    Attributes
    ----------
    fresh : bool
        Whether to use new connections, since open ones may hang.
    """

    round: int
    endpoints: tuple[str, ...]
    fresh: bool = False


class BarrierReady(msgspec.Struct, frozen=True):
    """Reads may run at or above `position`.

    Attributes
    ----------
    read_ids : tuple of int
        Reads that arrived before the round was sent.
    sent_at : float
        When the round was sent, in monotonic seconds: the sample time for
        `Freshness`.
    promised_term : int
        Highest promised term of the answers; the read must not run on an
        endpoint that promised less.
    holders : tuple of str
        Endpoints whose answer is at or above `position` and that promised
        `promised_term`. It holds for the voter's incarnation only: a read
        must not run on a connection to a later one.
    """

    read_ids: tuple[int, ...]
    sent_at: float
    promised_term: int
    position: Position
    holders: tuple[str, ...]


class BarrierFailed(msgspec.Struct, frozen=True):
    """No barrier for these reads: NO_QUORUM or FRESHNESS_UNPROVED."""

    read_ids: tuple[int, ...]
    failure: Failure
