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
    """The applied state of the service, on every change.

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
    """An announcement arrived, possibly late and through an entry host."""

    status: EndpointStatus


class VerdictReached(msgspec.Struct, frozen=True):
    """The watchers agreed that the primary of a term fails.

    Attributes
    ----------
    verdict : str
        ``refused``, ``silent`` or ``detached``.
    since : float
        When the first watcher reported it.
    needs_probe : bool
        The leader's own probe has to confirm the verdict.
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
        Whether it changed the state.
    record : ServiceRecord
        The service right after the command.
    """

    command: BeginTerm | EstablishTerm
    accepted: bool
    record: ServiceRecord


class ProposalFailed(msgspec.Struct, frozen=True):
    """A proposal was not committed, or nobody knows."""

    command: BeginTerm | EstablishTerm


class PromiseAnswered(msgspec.Struct, frozen=True):
    """Answer to `SendPromise`."""

    endpoint: str
    term: int
    reply: PromiseReply


class PromoteAnswered(msgspec.Struct, frozen=True):
    """Answer to `SendPromote`."""

    endpoint: str
    term: int
    reply: PromoteReply


class PositionAnswered(msgspec.Struct, frozen=True):
    """Answer to `AskPosition`.

    Attributes
    ----------
    asked_at : float
        When the question left; what the answer says is at least as new.
    """

    endpoint: str
    asked_at: float
    status: EndpointStatus


class RequestFailed(msgspec.Struct, frozen=True):
    """A request to an endpoint failed.

    Attributes
    ----------
    request : str
        ``promise``, ``promote``, ``follow`` or ``position``.
    refused : bool
        The connection was refused.
    """

    endpoint: str
    request: str
    term: int
    asked_at: float
    refused: bool = False


class LeadershipLost(msgspec.Struct, frozen=True):
    """This host is no longer the control leader."""


class Tick(msgspec.Struct, frozen=True):
    """Time passed.

    Attributes
    ----------
    late_s : float
        How late the timer of this process was.
    """

    late_s: float = 0.0


class Propose(msgspec.Struct, frozen=True):
    """Effect: append a command to the control log."""

    command: BeginTerm | EstablishTerm


class SendPromise(msgspec.Struct, frozen=True):
    """Effect: ask a voter to promise a term."""

    endpoint: str
    address: str
    term: int
    timeout_s: float


class SendPromote(msgspec.Struct, frozen=True):
    """Effect: make an endpoint primary."""

    endpoint: str
    address: str
    term: int
    voters: tuple[str, ...]
    timeout_s: float


class SendFollow(msgspec.Struct, frozen=True):
    """Effect: make an endpoint follow a primary."""

    endpoint: str
    address: str
    term: int
    primary: str
    primary_address: str
    timeout_s: float


class AskPosition(msgspec.Struct, frozen=True):
    """Effect: ask for a position.

    Attributes
    ----------
    wait_for : Position, optional
        The answer may wait until this is held.
    wait_ms : int
        Longest wait.
    fresh : bool
        Use a connection of its own, as a probe must.
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
        Phase that was entered or outcome.
    fields : dict
        Values; durations in milliseconds.
    """

    phase: str
    service: str
    fields: dict[str, object]
