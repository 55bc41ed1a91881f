"""Events and effects of the `Barriers` state machine."""

import msgspec

from chivescale.errors import Failure
from chivescale.messages import EndpointStatus, Position


class ReadArrived(msgspec.Struct, frozen=True):
    """Event: a read that needs a barrier arrived."""

    read_id: int
    deadline: float


class StatusReceived(msgspec.Struct, frozen=True):
    """Event: an endpoint returned its status for a round."""

    round: int
    endpoint: str
    status: EndpointStatus


class StatusFailed(msgspec.Struct, frozen=True):
    """Event: an endpoint did not return its status for a round."""

    round: int
    endpoint: str


class TermChanged(msgspec.Struct, frozen=True):
    """Event: an established term was published; lower terms are ignored."""

    voters: tuple[str, ...]
    incarnations: tuple[str, ...]
    primary: str
    term: int


class Tick(msgspec.Struct, frozen=True):
    """Event: time passed; due at `wake_at` of the state machine."""


class StartRound(msgspec.Struct, frozen=True):
    """Effect: request the status of `endpoints`, without a long poll.

    Emitted again with the same `round` when the round is extended by more
    endpoints.

    Attributes
    ----------
    fresh : bool
        Whether to use new connections, because existing ones may have
        stopped responding.
    """

    round: int
    endpoints: tuple[str, ...]
    fresh: bool = False


class BarrierReady(msgspec.Struct, frozen=True):
    """Effect: reads may run on endpoints at or above `position`.

    Attributes
    ----------
    read_ids : tuple of int
        Reads that arrived before the round was sent.
    sent_at : float
        When the round was sent, in monotonic seconds; the time of the
        sample for `Freshness`.
    promised_term : int
        Highest promised term among the answers. The reads must not run on
        an endpoint with a lower promised term.
    position : Position
        Highest position among the answers.
    holders : tuple of str
        Endpoints that answered with at least `position` and
        `promised_term`. This is proven only for the incarnation of the
        voter: a read must not run on a connection to a later incarnation.
    """

    read_ids: tuple[int, ...]
    sent_at: float
    promised_term: int
    position: Position
    holders: tuple[str, ...]


class BarrierFailed(msgspec.Struct, frozen=True):
    """Effect: these reads fail, with NO_QUORUM or FRESHNESS_UNPROVED."""

    read_ids: tuple[int, ...]
    failure: Failure
