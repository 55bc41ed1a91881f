"""The desired state of routes and services."""

import enum

import msgspec


class Consistency(enum.StrEnum):
    """What the reads of a route have to include.

    ``PRIMARY``: every acknowledged commit. ``BOUNDED``: every commit that
    was acknowledged longer ago than the accepted staleness. ``SESSION``:
    the same and every commit of the session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True):
    """How statements to one database are served.

    Attributes
    ----------
    name : str
        Name of the route.
    database : str
        Database name that callers open.
    prefix : str
        Second part of the route's key; unique together with `database`.
    service : str
        Service that runs the statements.
    consistency : Consistency
        What reads have to include.
    statement_timeout_ms : int
        Time limit of one statement.
    latency_goal_ms : float
        Time within which callers want a whole operation answered.
    priority : int
        0 is the most important.
    accepted_staleness_ms : float
        Accepted age of what a read may miss.
    """

    name: str
    database: str
    prefix: str
    service: str
    consistency: Consistency
    statement_timeout_ms: int
    latency_goal_ms: float
    priority: int
    accepted_staleness_ms: float = 0.0


class ServiceOptions(msgspec.Struct, frozen=True):
    """Properties of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


class Catalog(msgspec.Struct, frozen=True):
    """One complete configuration.

    Attributes
    ----------
    version : int
        The highest one is in force.
    idle_transaction_ms : int
        A transaction that is idle for longer is rolled back.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceOptions, ...]
    idle_transaction_ms: int = 0
