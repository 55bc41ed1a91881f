"""Messages between coordinators and the commands of their log."""

import msgspec

from chivescale.agreement import Member
from chivescale.messages import EntryHostRecord
from chivescale.registry import EndpointBeat


class StoreCatalog(msgspec.Struct, frozen=True, tag=True):
    """Command: store a configuration.

    Attributes
    ----------
    packed : bytes
        Compressed document as the operator sent it. Route documents repeat
        their field names, so this is about a tenth of their size.
    """

    packed: bytes


class OrderPromotion(msgspec.Struct, frozen=True, tag=True):
    """Command: reserve the fencing token of one promotion.

    The token is the log index of the command, so it is higher than every
    earlier one and belongs to one holder.
    """

    service: str
    endpoint: str
    holder: str


Command = StoreCatalog | OrderPromotion


class SnapshotState(msgspec.Struct, frozen=True):
    """Content of a snapshot of the log; empty before a configuration."""

    packed: bytes


class HostSeen(msgspec.Struct, frozen=True, array_like=True):
    """An entry host, when it was heard and whether it stops."""

    record: EntryHostRecord
    age_s: float
    leaving: bool


class Gossip(msgspec.Struct, frozen=True):
    """Soft state that coordinators exchange.

    Attributes
    ----------
    beats : tuple of EndpointBeat
        Statements of endpoints.
    hosts : tuple of HostSeen
        Entry hosts.
    suspects : tuple of str or None
        Sent by the leader.
    sender, zone : str
        Address and availability zone of the coordinator.
    """

    sender: str = ""
    zone: str = ""
    beats: tuple[EndpointBeat, ...] = ()
    hosts: tuple[HostSeen, ...] = ()
    suspects: tuple[str, ...] | None = None


class Callers(msgspec.Struct, frozen=True):
    """Incarnations that asked to be admitted to the group."""

    members: tuple[Member, ...]


class StoreOrder(msgspec.Struct, frozen=True):
    """A configuration forwarded to the leader, compressed."""

    packed: bytes


class DocumentAnswer(msgspec.Struct, frozen=True):
    """The configuration in force, compressed, confirmed by a quorum."""

    packed: bytes
