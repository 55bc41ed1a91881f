"""Messages of the endpoint admin interface."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True):
    """Place in the replicated log of a database group.

    Ordered by term first: a higher position of an older term may be
    discarded, so position alone proves nothing.

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
    """State of an endpoint as it reports it.

    Attributes
    ----------
    endpoint, service : str
        Identifiers.
    incarnation : str
        Changes when the endpoint lost its data.
    role : str
        ``primary``, ``replica`` or ``fenced`` (promised a term, no
        primary known yet).
    promised_term : int
        Highest term promised; lower terms are refused.
    last : Position
        Last log entry held.
    primary : str
        Identifier of the followed primary; empty if none.
    primary_contact_ms : int
        Age of the last answer of the primary; 0 on the primary itself,
        -1 if there was none yet.
    leaving : bool
        Whether the endpoint asked for no new work.
    term_starts : tuple of TermStart
        Which term owns which positions, ascending.
    mysql_address, admin_address : str
        ``ip:port``.
    slots, connection_limit : int
        Statements run at once; connections accepted.
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
    """Asks a voter to refuse every term below `term`."""

    service: str
    term: int


class PromiseReply(msgspec.Struct, frozen=True):
    """Answer to `Promise`; `granted` only if `term` is the highest yet."""

    granted: bool
    status: EndpointStatus


class Promote(msgspec.Struct, frozen=True):
    """Makes the endpoint primary of `term`, which it must have promised."""

    service: str
    term: int
    voters: tuple[str, ...] = ()


class PromoteReply(msgspec.Struct, frozen=True):
    """Answer to `Promote`; `marker` is the first entry of the term."""

    accepted: bool
    marker: Position
    status: EndpointStatus


class Follow(msgspec.Struct, frozen=True):
    """Makes the endpoint a replica of `primary` in `term`."""

    service: str
    term: int
    primary: str
    primary_admin_address: str


class Accepted(msgspec.Struct, frozen=True):
    """Plain success."""

    ok: bool = True
    reason: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """Failure as it travels between processes.

    Attributes
    ----------
    kind : str
        Value of an ``ErrorKind``.
    reason : str
        One line for a person.
    leader_address : str
        With ``not_leader``: where to go, empty if unknown.
    """

    kind: str
    reason: str
    leader_address: str = ""
