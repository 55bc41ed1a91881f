"""Messages between entry hosts and coordinators."""

import msgspec

from chivescale.lease import LeaseAnswer
from chivescale.messages._codec import Elements
from chivescale.messages._endpoint import Position
from chivescale.registry import EndpointBeat

# Reported by a host that uses no leases, and by one that gives them up.
NO_LEASES = -1


class EndpointUpdate(msgspec.Struct, frozen=True):
    """Latest heartbeat of an endpoint, as sent by a coordinator.

    Attributes
    ----------
    beat : EndpointBeat
        Latest heartbeat.
    primary_for_s : float
        Time for which the endpoint has reported itself as primary; negative
        if it does not.
    """

    beat: EndpointBeat
    primary_for_s: float


class EntryHostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Identity and address of an entry host.

    Attributes
    ----------
    name, zone : str
        Name and availability zone.
    address : str
        ``ip:port`` for requests of other entry hosts; empty if it serves
        none.
    """

    name: str
    zone: str
    address: str


class WatchRequest(msgspec.Struct, frozen=True):
    """Long poll of an entry host; answered as soon as there are changes.

    Attributes
    ----------
    host : EntryHostRecord
        Requesting host.
    leaving : bool
        Whether the requesting host is shutting down.
    hosts_revision : int
        Known revision of the list of entry hosts.
    boot : str
        Identifier of the coordinator process to which `revision` refers.
    revision : int
        Known revision of the endpoint registry.
    version : int
        Known version of the configuration.
    suspects : tuple of str
        Suspected endpoints already known to the requesting host.
    wait_ms : int
        Maximum time to wait for changes.
    lease_index : int
        The host uses no epoch with a lower index; ``NO_LEASES`` if it uses
        no leases.
    acknowledged : dict of str to Position
        A position, by service with synchronous replicas, that is not beyond
        the last commit which the host has confirmed to a caller.
    """

    host: EntryHostRecord
    leaving: bool
    hosts_revision: int
    boot: str
    revision: int
    version: int
    suspects: tuple[str, ...]
    wait_ms: int
    lease_index: int = NO_LEASES
    acknowledged: dict[str, Position] = {}


class WatchAnswer(msgspec.Struct, frozen=True):
    """Changes since the revisions in a `WatchRequest`.

    Attributes
    ----------
    boot, revision
        Values for the next request.
    catalog : bytes
        Compressed `Catalog`; empty if the requested version is current.
    endpoints : tuple of EndpointUpdate
        Endpoints changed since the requested revision.
    members : dict of str to str
        Availability zone of each known coordinator, by address.
    leader : str
        Address of the leading coordinator; empty if unknown.
    age_s : float
        Time since this coordinator was in contact with a quorum.
    hosts_revision : int
        Value for the next request.
    hosts : tuple of EntryHostRecord
        All entry hosts with an active watch, if the list changed since the
        requested revision.
    suspects : tuple of str
        Endpoints whose reachability entry hosts are asked to report.
    lease : LeaseAnswer or None
        Epochs and grants, if the host uses leases.
    """

    boot: str
    revision: int
    catalog: bytes
    endpoints: Elements[EndpointUpdate]
    members: dict[str, str]
    leader: str
    age_s: float
    hosts_revision: int
    hosts: Elements[EntryHostRecord]
    suspects: tuple[str, ...]
    lease: LeaseAnswer | None = None


class ReachabilityReport(msgspec.Struct, frozen=True):
    """Reachability of suspected endpoints from one entry host."""

    host: str
    reachable: dict[str, bool]


class Empty(msgspec.Struct, frozen=True):
    """Empty message: a request without data or a plain acknowledgement."""
