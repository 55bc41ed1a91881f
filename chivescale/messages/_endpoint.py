"""Messages of the endpoint admin interface."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True):
    """Position in the replicated log of a database group.

    Positions are ordered by term first: entries of an older term may be
    discarded, so the number of entries alone does not show which log is
    more up to date.

    Attributes
    ----------
    term : int
        Term of the last log entry.
    position : int
        Number of log entries.
    """

    term: int
    position: int


class TermStart(msgspec.Struct, frozen=True):
    """First log position that belongs to a term."""

    term: int
    position: int


class EndpointStatus(msgspec.Struct, frozen=True):
    """Status reported by an endpoint.

    Attributes
    ----------
    endpoint, service : str
        Names of the endpoint and its service.
    incarnation : str
        Identifier of the data folder; changes if the endpoint loses its data.
    role : str
        ``primary``, ``replica`` or ``fenced`` (a term is promised, but no
        primary is known).
    promised_term : int
        Highest promised term; lower terms are refused.
    last : Position
        Position of the last log entry.
    mysql_address, admin_address : str
        ``ip:port``.
    primary : str
        Name of the primary that the endpoint follows; empty if none.
    primary_contact_ms : int
        Time since the last response of the primary; 0 on the primary itself,
        -1 if there was no response.
    leaving : bool
        Whether the endpoint asked to receive no new work.
    term_starts : tuple of TermStart
        First position of each term in the log, in ascending order.
    zone : str
        Availability zone.
    slots : int
        Maximum number of concurrent statements.
    connection_limit : int
        Maximum number of connections.
    """

    endpoint: str
    service: str
    incarnation: str
    role: str
    promised_term: int
    last: Position
    mysql_address: str
    admin_address: str
    primary: str = ""
    primary_contact_ms: int = -1
    leaving: bool = False
    term_starts: tuple[TermStart, ...] = ()
    zone: str = ""
    slots: int = 2
    connection_limit: int = 35


class Promise(msgspec.Struct, frozen=True):
    """Request to a voter to refuse every term below `term`."""

    service: str
    term: int


class PromiseReply(msgspec.Struct, frozen=True):
    """Reply to `Promise`; granted only for the highest term so far."""

    granted: bool
    status: EndpointStatus


class Promote(msgspec.Struct, frozen=True):
    """Request to become primary of `term`, which must have been promised."""

    service: str
    term: int
    voters: tuple[str, ...] = ()


class PromoteReply(msgspec.Struct, frozen=True):
    """Reply to `Promote`; `marker` is the first log entry of the term."""

    accepted: bool
    marker: Position
    status: EndpointStatus


class Follow(msgspec.Struct, frozen=True):
    """Request to become a replica of `primary` in `term`."""

    service: str
    term: int
    primary: str
    primary_admin_address: str


class Accepted(msgspec.Struct, frozen=True):
    """Acknowledgement without further data."""

    ok: bool = True
    reason: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """Encoded form of a ``Failure`` between processes.

    Attributes
    ----------
    kind : str
        Value of an ``ErrorKind``.
    reason : str
        Human-readable description on one line.
    leader_address : str
        Address of the leader if `kind` is ``not_leader``; empty if unknown.
    """

    kind: str
    reason: str
    leader_address: str = ""
