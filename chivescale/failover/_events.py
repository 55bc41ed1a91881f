"""Events and effects of the failover state machine."""

import msgspec

from chivescale.messages import (
    BeginTerm,
    EndpointRecord,
    EndpointStatus,
    EstablishTerm,
    Position,
    PromiseReply,
    PromoteReply,
    ServiceRecord,
)


class StateApplied(msgspec.Struct, frozen=True):
    """The replicated state of the service changed.

    Attributes
    ----------
    record : ServiceRecord
        Terms and voters.
    endpoints : tuple of EndpointRecord
        Registered endpoints of the service.
    zone_hosts : dict of int
        Entry hosts per availability zone.
    """

    record: ServiceRecord
    endpoints: tuple[EndpointRecord, ...]
    zone_hosts: dict[str, int] = {}


class Announced(msgspec.Struct, frozen=True):
    """A status announcement arrived, possibly late or relayed."""

    status: EndpointStatus


class VerdictReached(msgspec.Struct, frozen=True):
    """A majority of the watchers reports the primary of a term as failed.

    Attributes
    ----------
    verdict : str
        ``refused``, ``silent`` or ``detached``.
    since : float
        When the first watcher reported it, in monotonic seconds.
    needs_probe : bool
        Whether the leader's own probe has to confirm the verdict.
    """

    term: int
    primary: str
    verdict: str
    since: float
    needs_probe: bool = False


class Committed(msgspec.Struct, frozen=True):
    """A proposed command was applied.

    Attributes
    ----------
    accepted : bool
        Whether the command changed the state.
    record : ServiceRecord
        Record of the service immediately after the command.
    """

    command: BeginTerm | EstablishTerm
    accepted: bool
    record: ServiceRecord


class ProposalFailed(msgspec.Struct, frozen=True):
    """A proposal was not committed or its outcome is unknown."""

    command: BeginTerm | EstablishTerm


class PromiseAnswered(msgspec.Struct, frozen=True):
    """Reply to `SendPromise`."""

    endpoint: str
    term: int
    reply: PromiseReply


class PromoteAnswered(msgspec.Struct, frozen=True):
    """Reply to `SendPromote`."""

    endpoint: str
    term: int
    reply: PromoteReply


class PositionAnswered(msgspec.Struct, frozen=True):
    """Reply to `AskPosition`.

    Attributes
    ----------
    requested_at : float
        When the request was sent; the status is at least as recent.
    """

    endpoint: str
    requested_at: float
    status: EndpointStatus


class RequestFailed(msgspec.Struct, frozen=True):
    """A request to an endpoint failed.

    Attributes
    ----------
    request : str
        ``promise``, ``promote``, ``follow`` or ``position``.
    refused : bool
        Whether the connection was refused.
    """

    endpoint: str
    request: str
    term: int
    requested_at: float
    refused: bool = False


class LeadershipLost(msgspec.Struct, frozen=True):
    """This host is no longer the control leader."""


class Tick(msgspec.Struct, frozen=True):
    """Periodic timer event.

    Attributes
    ----------
    timer_delay_s : float
        Delay of the timer behind its schedule, in seconds.
    """

    timer_delay_s: float = 0.0


class Propose(msgspec.Struct, frozen=True):
    """Effect: append a command to the control log."""

    command: BeginTerm | EstablishTerm


class SendPromise(msgspec.Struct, frozen=True):
    """Effect: request a voter's promise of a term."""

    endpoint: str
    address: str
    term: int
    timeout_s: float


class SendPromote(msgspec.Struct, frozen=True):
    """Effect: promote an endpoint to primary."""

    endpoint: str
    address: str
    term: int
    voters: tuple[str, ...]
    timeout_s: float


class SendFollow(msgspec.Struct, frozen=True):
    """Effect: make an endpoint replicate from a primary."""

    endpoint: str
    address: str
    term: int
    primary: str
    primary_address: str
    timeout_s: float


class AskPosition(msgspec.Struct, frozen=True):
    """Effect: request the log position of an endpoint.

    Attributes
    ----------
    wait_for : Position, optional
        Position until which the endpoint may delay its answer.
    wait_ms : int
        Upper limit of the delay, in milliseconds.
    fresh : bool
        Whether to use a new connection, as probes do.
    """

    endpoint: str
    address: str
    term: int
    timeout_s: float
    wait_for: Position | None = None
    wait_ms: int = 0
    fresh: bool = False


class LogPhase(msgspec.Struct, frozen=True):
    """Effect: log the progress of an attempt.

    Attributes
    ----------
    phase : str
        Phase that was entered, or the outcome of the attempt.
    fields : dict
        Logged values; durations in milliseconds.
    """

    phase: str
    service: str
    fields: dict[str, object]
