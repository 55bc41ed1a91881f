"""Records of the replicated state, its commands and control messages."""

import msgspec

from chivescale.messages._endpoint import EndpointStatus


class ServiceBinding(msgspec.Struct, frozen=True):
    """Access of a workspace to one service.

    Attributes
    ----------
    service : str
        Service name.
    staleness_ms : int
        Accepted age of reads; 0 means always current.
    session_scope : str
        ``workspace`` or ``connection``: what counts as one session when no
        token is sent.
    """

    service: str
    staleness_ms: int = 0
    session_scope: str = "workspace"


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """A workspace as the sheet defines it.

    Attributes
    ----------
    name : str
        MySQL user name.
    secret_hash : str
        Hex SHA1(SHA1(secret)), as ``mysql_native_password`` needs.
    bindings : tuple of ServiceBinding
        Services it may reach.
    max_connections, max_concurrent : int
        Per entry host limits; 0 means no limit.
    max_rate : float
        Statements a second per entry host; 0 means no limit.
    """

    name: str
    secret_hash: str
    bindings: tuple[ServiceBinding, ...] = ()
    max_connections: int = 0
    max_concurrent: int = 0
    max_rate: float = 0.0


class SheetRecord(msgspec.Struct, frozen=True):
    """Number and content digest of the sheet in force."""

    number: int
    digest: str


class HostRecord(msgspec.Struct, frozen=True):
    """An entry host known to the system."""

    host: str
    zone: str
    api_address: str
    mysql_address: str
    incarnation: str
    draining: bool = False


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint known to the system."""

    endpoint: str
    service: str
    zone: str
    incarnation: str
    mysql_address: str
    admin_address: str
    slots: int
    connection_limit: int
    leaving: bool = False


class ServiceRecord(msgspec.Struct, frozen=True):
    """Term of a database group.

    Attributes
    ----------
    service : str
        Service name.
    group_size : int
        Endpoints awaited before the first term begins.
    begun_term : int
        Highest term begun; at or above `term`.
    term : int
        Last established term; 0 before the first.
    primary : str
        Primary of `term`.
    voters : tuple of str
        Voters of `term`.
    incarnations : tuple of str
        Incarnation of each voter, in the same order.
    marker : int
        Position of the first entry of `term`.
    """

    service: str
    group_size: int = 3
    begun_term: int = 0
    term: int = 0
    primary: str = ""
    voters: tuple[str, ...] = ()
    incarnations: tuple[str, ...] = ()
    marker: int = 0


class AcceptSheet(msgspec.Struct, frozen=True, tag=True):
    """Command: put a sheet in force."""

    number: int
    digest: str
    services: tuple[ServiceRecord, ...]
    workspaces: tuple[WorkspaceRecord, ...]


class RegisterHost(msgspec.Struct, frozen=True, tag=True):
    """Command: add or replace an entry host."""

    record: HostRecord


class RemoveHost(msgspec.Struct, frozen=True, tag=True):
    """Command: forget an entry host, unless it has a newer incarnation."""

    host: str
    incarnation: str


class DrainHost(msgspec.Struct, frozen=True, tag=True):
    """Command: mark an entry host as draining."""

    host: str


class RegisterEndpoint(msgspec.Struct, frozen=True, tag=True):
    """Command: add or replace an endpoint."""

    record: EndpointRecord


class LeaveEndpoint(msgspec.Struct, frozen=True, tag=True):
    """Command: mark an endpoint as leaving."""

    endpoint: str
    incarnation: str


class RemoveEndpoint(msgspec.Struct, frozen=True, tag=True):
    """Command: forget an endpoint that is no voter."""

    endpoint: str
    incarnation: str


class BeginTerm(msgspec.Struct, frozen=True, tag=True):
    """Command: reserve a term for one failover attempt."""

    service: str
    term: int


class EstablishTerm(msgspec.Struct, frozen=True, tag=True):
    """Command: publish a term whose marker a quorum holds."""

    service: str
    term: int
    primary: str
    voters: tuple[str, ...]
    incarnations: tuple[str, ...]
    marker: int


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Command: several changes of the membership in one log entry.

    A failing rack or a rolling restart changes many records at once; one
    entry for all of them keeps the log short.
    """

    commands: tuple[
        RegisterHost
        | RemoveHost
        | RegisterEndpoint
        | LeaveEndpoint
        | RemoveEndpoint,
        ...,
    ]


Command = (
    AcceptSheet
    | RegisterHost
    | RemoveHost
    | DrainHost
    | RegisterEndpoint
    | LeaveEndpoint
    | RemoveEndpoint
    | BeginTerm
    | EstablishTerm
    | Batch
)


class WatchReply(msgspec.Struct, frozen=True):
    """Objects changed after the index that was asked for.

    Attributes
    ----------
    index : int
        Log index that the reply brings the reader to.
    authoritative : bool
        Whether the sender was in contact with a control quorum.
    full : bool
        Whether the reply replaces the whole copy (the asked index was
        compacted away or is zero).
    removed : tuple of (str, str)
        Table (``workspace``, ``service``, ``host``, ``endpoint``) and name.
    """

    index: int
    authoritative: bool
    full: bool = False
    sheet: SheetRecord | None = None
    workspaces: tuple[WorkspaceRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    hosts: tuple[HostRecord, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


class Lease(msgspec.Struct, frozen=True):
    """Connections to one endpoint that a host may hold."""

    endpoint: str
    connections: int


class Heartbeat(msgspec.Struct, frozen=True):
    """Sign of life of an entry host.

    Attributes
    ----------
    record : HostRecord
        The host itself.
    index : int
        Log index in force on the host.
    held, wanted : tuple of Lease
        Connections held and wanted per endpoint.
    """

    record: HostRecord
    index: int
    held: tuple[Lease, ...] = ()
    wanted: tuple[Lease, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """Answer of the control leader to a heartbeat.

    Attributes
    ----------
    leases : tuple of Lease
        Connections that the host may hold.
    lease_ms : int
        How long the leases last.
    index : int
        Log index applied on the leader; a host far behind it renews its
        watch on a fresh connection.
    """

    leases: tuple[Lease, ...] = ()
    lease_ms: int = 3000
    index: int = 0


class Announcement(msgspec.Struct, frozen=True):
    """An endpoint's announcement of itself."""

    status: EndpointStatus


class Suspicion(msgspec.Struct, frozen=True):
    """Verdict of one watcher on the primary of a service.

    Attributes
    ----------
    verdict : str
        ``refused``, ``silent``, ``detached`` or ``healthy``.
    """

    host: str
    service: str
    term: int
    primary: str
    verdict: str


class SheetUpload(msgspec.Struct, frozen=True):
    """A sheet as the operator sends it."""

    number: int
    content: str


class SheetAnswer(msgspec.Struct, frozen=True):
    """Outcome of an upload or the sheet in force."""

    number: int
    digest: str
    index: int
    repeated: bool = False
    workspaces: tuple[WorkspaceRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
