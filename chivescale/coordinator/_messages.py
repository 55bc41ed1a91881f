"""Messages between coordinators and the commands of the replicated log."""

import msgspec

from chivescale.agreement import Member
from chivescale.messages import EntryHostRecord
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
    holder and higher than all earlier tokens.
    """

    service: str
    endpoint: str
    holder: str


Command = StoreCatalog | OrderPromotion


class SnapshotState(msgspec.Struct, frozen=True):
    """State in a snapshot; empty before the first configuration."""

    packed: bytes


class HostSeen(msgspec.Struct, frozen=True, array_like=True):
    """An entry host, the age of its last contact, and its shutdown state."""

    record: EntryHostRecord
    age_s: float
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
    sender, zone : str
        Address and availability zone of the sending coordinator.
    """

    sender: str = ""
    zone: str = ""
    beats: tuple[EndpointBeat, ...] = ()
    hosts: tuple[HostSeen, ...] = ()
    suspects: tuple[str, ...] | None = None


class Callers(msgspec.Struct, frozen=True):
    """Group members that asked to be admitted."""

    members: tuple[Member, ...]


class StoreOrder(msgspec.Struct, frozen=True):
    """Compressed configuration document, forwarded to the leader."""

    packed: bytes


class DocumentAnswer(msgspec.Struct, frozen=True):
    """Compressed configuration in force, confirmed by a quorum."""

    packed: bytes
