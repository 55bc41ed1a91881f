"""Records and commands of the replicated state, and control messages."""

import msgspec

from chivescale.messages._endpoint import EndpointStatus


class ServiceBinding(msgspec.Struct, frozen=True):
    """Permission of a workspace to use one service.

    Attributes
    ----------
    service : str
        Service name.
    staleness_ms : int
        Maximum staleness of reads; 0 requires current data.
    session_scope : str
        Scope of a session if the caller sends no token: ``workspace`` or
        ``connection``.
    """

    service: str
    staleness_ms: int = 0
    session_scope: str = "workspace"


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """Definition of a workspace in the sheet.

    Attributes
    ----------
    name : str
        Name of the workspace, used as the MySQL user name.
    secret_hash : str
        ``SHA1(SHA1(secret))`` in hexadecimal, as required by
        ``mysql_native_password``.
    bindings : tuple of ServiceBinding
        Services that the workspace may use.
    max_connections, max_concurrent : int
        Maximum connections and concurrent statements per entry host; 0 means
        no limit.
    max_rate : float
        Maximum statements per second and entry host; 0 means no limit.
    """

    name: str
    secret_hash: str
    bindings: tuple[ServiceBinding, ...] = ()
    max_connections: int = 0
    max_concurrent: int = 0
    max_rate: float = 0.0


class SheetRecord(msgspec.Struct, frozen=True):
    """Number and content digest of the current sheet."""

    number: int
    digest: str


class HostRecord(msgspec.Struct, frozen=True):
    """Registration of an entry host."""

    host: str
    zone: str
    api_address: str
    mysql_address: str
    incarnation: str
    draining: bool = False


class EndpointRecord(msgspec.Struct, frozen=True):
    """Registration of an endpoint."""

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
    """Terms of the database group of a service.

    Attributes
    ----------
    service : str
        Service name.
    group_size : int
        Number of endpoints that must be registered before the first term
        begins.
    begun_term : int
        Highest reserved term; at least `term`.
    term : int
        Latest established term; 0 if none was established.
    primary : str
        Primary of `term`.
    voters : tuple of str
        Voters of `term`.
    incarnations : tuple of str
        Incarnation of each voter, in the order of `voters`.
    marker : int
        Log position of the first entry of `term`.
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
    """Command: make a sheet the current one."""

    number: int
    digest: str
    services: tuple[ServiceRecord, ...]
    workspaces: tuple[WorkspaceRecord, ...]


class RegisterHost(msgspec.Struct, frozen=True, tag=True):
    """Command: add or replace an entry host."""

    record: HostRecord


class RemoveHost(msgspec.Struct, frozen=True, tag=True):
    """Command: remove an entry host if its incarnation matches."""

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
    """Command: remove an endpoint that is not a voter."""

    endpoint: str
    incarnation: str


class BeginTerm(msgspec.Struct, frozen=True, tag=True):
    """Command: reserve a term for one failover attempt."""

    service: str
    term: int


class EstablishTerm(msgspec.Struct, frozen=True, tag=True):
    """Command: publish a term whose first log entry a quorum holds."""

    service: str
    term: int
    primary: str
    voters: tuple[str, ...]
    incarnations: tuple[str, ...]
    marker: int


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Command: several membership changes in one log entry.

    A rack failure or a rolling restart changes many records at once; a
    single entry for all of them keeps the log short.
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
    """Records changed after the requested log index.

    Attributes
    ----------
    index : int
        Log index of the receiver's copy after merging the reply.
    authoritative : bool
        Whether the sender was in contact with a quorum of control hosts.
    full : bool
        Whether the reply contains the full state and replaces the receiver's
        copy, because the requested index is zero or no delta is available
        for it.
    sheet : SheetRecord or None
        Current sheet, if it changed.
    workspaces, services, hosts, endpoints : tuple
        Records added or changed.
    removed : tuple of (str, str)
        Table (``workspace``, ``service``, ``host`` or ``endpoint``) and name
        of each removed record.
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
    """Number of connections to one endpoint, granted, held or wanted."""

    endpoint: str
    connections: int


class Heartbeat(msgspec.Struct, frozen=True):
    """Periodic heartbeat of an entry host.

    Attributes
    ----------
    record : HostRecord
        Registration of the sender.
    index : int
        Log index of the sender's copy of the state.
    held, wanted : tuple of Lease
        Connections held and wanted per endpoint.
    """

    record: HostRecord
    index: int
    held: tuple[Lease, ...] = ()
    wanted: tuple[Lease, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """Reply of the control leader to a heartbeat.

    Attributes
    ----------
    leases : tuple of Lease
        Connections that the host may hold.
    lease_ms : int
        Duration of the leases.
    index : int
        Log index applied on the leader. A host that is far behind it
        reopens its watch on a new connection.
    """

    leases: tuple[Lease, ...] = ()
    lease_ms: int = 3000
    index: int = 0


class Announcement(msgspec.Struct, frozen=True):
    """Periodic status report of an endpoint."""

    status: EndpointStatus


class Suspicion(msgspec.Struct, frozen=True):
    """Health verdict of one watcher on the primary of a service.

    Attributes
    ----------
    host : str
        Watcher that reports the verdict.
    service : str
        Service name.
    term : int
        Term of `primary`.
    primary : str
        Probed endpoint.
    verdict : str
        ``refused``, ``silent``, ``detached`` or ``healthy``.
    """

    host: str
    service: str
    term: int
    primary: str
    verdict: str


class SheetUpload(msgspec.Struct, frozen=True):
    """Sheet uploaded by an operator; `content` is CSV."""

    number: int
    content: str


class SheetAnswer(msgspec.Struct, frozen=True):
    """Outcome of an upload, or the current sheet."""

    number: int
    digest: str
    index: int
    repeated: bool = False
    workspaces: tuple[WorkspaceRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
