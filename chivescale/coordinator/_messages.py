"""Messages between coordinators and the commands of the replicated log."""

import typing

import msgspec

from chivescale.agreement import Member
from chivescale.lease import Epoch, RevocationStatus
from chivescale.messages import Elements, EntryHostRecord, Position
from chivescale.registry import EndpointBeat


class StoreCatalog(msgspec.Struct, frozen=True, tag=True):
    """Command: put a configuration in force.

    Attributes
    ----------
    packed : bytes
        Compressed configuration document of the operator. Compression saves
        about 90 % because routes repeat their field names.
    """

    packed: bytes


class OrderPromotion(msgspec.Struct, frozen=True, tag=True):
    """Command: reserve the fencing token of one promotion.

    The token is the log index of the command. It is therefore unique to one
    holder and higher than all earlier tokens. The command also begins the
    epoch in which the endpoint is the primary.

    Attributes
    ----------
    service, endpoint : str
        Endpoint to promote; empty if it is not chosen yet.
    holder : str
        Coordinator that orders the promotion.
    planned : bool
        Whether the former primary still works.
    opens : bool
        Whether entry hosts may write to the endpoint. If not, they write to
        no endpoint of the service until a later command opens an epoch.
    """

    service: str
    endpoint: str
    holder: str
    planned: bool = False
    opens: bool = True


Command = StoreCatalog | OrderPromotion


class SnapshotState(msgspec.Struct, frozen=True):
    """State in a snapshot.

    Attributes
    ----------
    packed : bytes
        Compressed configuration document; empty before the first one.
    epochs : dict of str to Epoch
        Latest epoch of each service.
    """

    packed: bytes
    epochs: dict[str, Epoch] = {}


class HostSeen(msgspec.Struct, frozen=True, array_like=True):
    """An entry host, the age of its last contact, and its shutdown state."""

    record: EntryHostRecord
    age_s: typing.Annotated[float, msgspec.Meta(ge=0)]
    leaving: bool


class Gossip(msgspec.Struct, frozen=True):
    """Soft state that coordinators exchange.

    Attributes
    ----------
    beats : tuple of EndpointBeat
        Heartbeats of endpoints.
    hosts : tuple of HostSeen
        Last contacts of entry hosts.
    suspects : tuple of str or None
        Suspected endpoints; only the leader sends them.
    departures : tuple of EndpointBeat or None
        Terminated replicas that may hold the only copy of a commit; only the
        leader sends them.
    sender, zone : str
        Address and availability zone of the sending coordinator.
    """

    sender: str = ""
    zone: str = ""
    beats: Elements[EndpointBeat] = ()
    hosts: Elements[HostSeen] = ()
    suspects: tuple[str, ...] | None = None
    departures: tuple[EndpointBeat, ...] | None = None


class Callers(msgspec.Struct, frozen=True):
    """Group members that asked to be admitted."""

    members: tuple[Member, ...]


class LeaveRequest(msgspec.Struct, frozen=True):
    """Tells the leader that a member is stopping."""

    member: Member


class LeaveAnswer(msgspec.Struct, frozen=True):
    """Answer of the leader to a member that is stopping.

    Attributes
    ----------
    pending : bool
        Whether the member is still a voter and will be removed soon, so that
        it should ask again before it stops.
    """

    pending: bool


class StoreOrder(msgspec.Struct, frozen=True):
    """Compressed configuration document, forwarded to the leader."""

    packed: bytes


class LeaseRequest(msgspec.Struct, frozen=True):
    """Request of another coordinator for a grant that it may pass on.

    Attributes
    ----------
    sender : str
        Address of that coordinator.
    index : int
        Highest epoch index known to it.
    """

    sender: str
    index: int


class RevokeRequest(msgspec.Struct, frozen=True):
    """Order of the leader to end the epochs below a committed one.

    Attributes
    ----------
    index, term : int
        Log index and term of the promotion that begins the new epoch.
    """

    index: int
    term: int


class RevokeAnswer(RevocationStatus, frozen=True):
    """Status of the former epochs and what callers were told under them.

    Attributes
    ----------
    acknowledged : dict of str to Position
        Highest position of each service that an entry host has reported to
        this coordinator. Earlier builds send none.
    """

    acknowledged: dict[str, Position] = {}


class GroupStatus(msgspec.Struct, frozen=True):
    """State of the group as one coordinator knows it.

    Attributes
    ----------
    name : str
        Address of that coordinator.
    leader : str
        Address of the leader; empty if none is known.
    voting : bool
        Whether it is a voter and its log is open.
    voters, learners : tuple of str
        Addresses of the members.
    contact_age_s : float
        Time in seconds since its last contact with a quorum.
    version : int
        Version of the configuration in force.
    failure : str
        Why its log is not open; empty if it is.
    not_voting : dict of str to str
        Why members are not voters, by address: those that the leader knows,
        and the asked one itself.
    """

    name: str
    leader: str
    voting: bool
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    contact_age_s: float
    version: int
    failure: str
    not_voting: dict[str, str] = {}


class DocumentAnswer(msgspec.Struct, frozen=True):
    """Compressed configuration in force, confirmed by a quorum."""

    packed: bytes
