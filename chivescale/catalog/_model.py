"""Data model of the configuration: routes and service options."""

import enum
import typing

import msgspec

from chivescale.registry import Name

# The ranges keep what is stored readable for others and usable in
# calculations. They are checked by decoding.
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
DurationMs = typing.Annotated[float, msgspec.Meta(ge=0, le=2**53)]
WholeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Operations per second. JSON has neither NaN nor infinity.
Rate = typing.Annotated[float, msgspec.Meta(gt=0, le=2**31 - 1)]
Burst = typing.Annotated[float, msgspec.Meta(ge=0, le=2**31 - 1)]


class Consistency(enum.StrEnum):
    """Consistency level of the reads of a route.

    ``PRIMARY`` reads observe every acknowledged commit. ``BOUNDED`` reads
    observe every commit that was acknowledged longer ago than the accepted
    staleness. ``SESSION`` reads additionally observe every commit of their
    own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True):
    """Mapping of a database name to a service, with its service levels.

    Attributes
    ----------
    name : str
        Name of the route.
    database : str
        Database name given by callers when they connect.
    prefix : str
        Second part of the routing key; `database` and `prefix` together are
        unique.
    service : str
        Service that runs the statements.
    consistency : Consistency
        Consistency level of reads.
    statement_timeout_ms : int
        Timeout of one statement.
    latency_goal_ms : float
        Target latency of a complete operation of a caller.
    priority : int
        Priority among statements that wait for a connection; 0 is the
        highest.
    accepted_staleness_ms : float
        Maximum staleness that reads accept.
    public : bool
        Whether callers without a known key may use the route.
    """

    name: str
    database: str
    prefix: str
    service: str
    consistency: Consistency
    statement_timeout_ms: WholeMs
    latency_goal_ms: DurationMs
    priority: Count
    accepted_staleness_ms: DurationMs = 0.0
    public: bool = False


class Workspace(msgspec.Struct, frozen=True):
    """A workspace, the keys of its callers and its limit.

    Attributes
    ----------
    name : str
        Name of the workspace, as endpoints are told it.
    key_digests : tuple of bytes
        Digests of the keys of its callers, see `key_digest`.
    priority : int
        Priority of the workspace; 0 is the highest.
    rate_per_s : float or None
        Operations per second on all hosts together; None means no limit.
    burst : float
        Operations above the rate that may run at once.
    """

    name: Name
    key_digests: tuple[bytes, ...]
    priority: Count = 0
    rate_per_s: Rate | None = None
    burst: Burst = 0.0


class ServiceOptions(msgspec.Struct, frozen=True):
    """Configuration of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Total number of connections that each endpoint accepts.
    sync_replicas : int
        Number of replicas that must have received a commit before it is
        acknowledged.
    """

    name: str
    max_connections: Count
    sync_replicas: Count = 0


class Catalog(msgspec.Struct, frozen=True):
    """One version of the complete configuration.

    Attributes
    ----------
    version : int
        Version number; the highest stored version is current.
    routes : tuple of Route
        All routes.
    services : tuple of ServiceOptions
        All services.
    idle_transaction_ms : int
        Idle time after which a transaction is rolled back; 0 means no limit.
    workspaces : tuple of Workspace or None
        All workspaces; None if callers are not identified by keys.
    """

    version: Version
    routes: tuple[Route, ...]
    services: tuple[ServiceOptions, ...]
    idle_transaction_ms: WholeMs = 0
    workspaces: tuple[Workspace, ...] | None = None
