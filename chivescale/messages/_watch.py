"""Messages between entry hosts and coordinators."""

import msgspec

from chivescale.registry import EndpointBeat


class EndpointNews(msgspec.Struct, frozen=True):
    """What a coordinator tells of one endpoint.

    Attributes
    ----------
    beat : EndpointBeat
        Its last statement.
    primary_for_s : float
        For how long it has called itself primary; negative if it does not.
    """

    beat: EndpointBeat
    primary_for_s: float


class EntryHostRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry host.

    Attributes
    ----------
    name, zone : str
        Identity.
    address : str
        ``ip:port`` for other entry hosts; empty if it serves none.
    """

    name: str
    zone: str
    address: str


class WatchRequest(msgspec.Struct, frozen=True):
    """Asks for news; answered at once if there is any.

    Attributes
    ----------
    host : EntryHostRecord
        Host that asks.
    leaving : bool
        Whether it stops.
    hosts_revision : int
        Revision of the entry hosts that the host knows.
    boot : str
        Identifier of the coordinator process that `revision` refers to.
    revision : int
        Revision of the registry that the host knows.
    version : int
        Configuration that the host knows.
    suspects : tuple of str
        Suspected endpoints that the host knows.
    wait_ms : int
        How long to wait for news.
    """

    host: EntryHostRecord
    leaving: bool
    hosts_revision: int
    boot: str
    revision: int
    version: int
    suspects: tuple[str, ...]
    wait_ms: int


class WatchAnswer(msgspec.Struct, frozen=True):
    """News for an entry host.

    Attributes
    ----------
    boot, revision
        What the host has to ask with next.
    catalog : bytes
        Compressed `Catalog`; empty unless the host knows an older one.
    endpoints : tuple of EndpointNews
        Endpoints that changed since the revision asked with.
    members : dict of str to str
        Addresses of the coordinators and their zones, as far as known.
    leader : str
        Address of the leading coordinator; empty if unknown.
    age_s : float
        How long ago this coordinator was in contact with a quorum.
    hosts_revision : int
        What the host has to ask with next.
    hosts : tuple of EntryHostRecord
        Every entry host that watches, if they changed since the revision
        asked with.
    suspects : tuple of str
        Endpoints about which the leader wants an opinion.
    """

    boot: str
    revision: int
    catalog: bytes
    endpoints: tuple[EndpointNews, ...]
    members: dict[str, str]
    leader: str
    age_s: float
    hosts_revision: int
    hosts: tuple[EntryHostRecord, ...]
    suspects: tuple[str, ...]


class OpinionReport(msgspec.Struct, frozen=True):
    """Whether an entry host reaches suspected endpoints."""

    host: str
    reachable: dict[str, bool]


class Done(msgspec.Struct, frozen=True):
    """The request was carried out."""
