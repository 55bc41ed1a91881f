"""Records of the endpoint registry."""

import typing

import msgspec

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
# IPv4 address and port, in the only notation that every process can connect
# to.
Address = typing.Annotated[
    str,
    msgspec.Meta(pattern=rf"^{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z"),
]


class EndpointBeat(msgspec.Struct, frozen=True):
    """A heartbeat of an endpoint or its deregistration.

    Decoding checks the ranges of the fields.

    Attributes
    ----------
    endpoint, service, address, zone : str
        Identifier, service, ``ip:port`` and availability zone.
    slots : int
        Number of statements that it runs concurrently.
    draining : bool
        Whether it is shutting down and accepts no new work.
    primary : bool
        Whether it considers itself the primary of its service.
    born_ms : int
        Start of its process in Unix milliseconds; 0 if unknown. Later
        incarnations have higher values.
    sequence : int
        Number of the heartbeat within its incarnation.
    gone : bool
        Whether it has terminated or was deregistered.
    """

    endpoint: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    primary: bool
    born_ms: int
    sequence: int
    gone: bool = False

    @property
    def order(self) -> tuple[int, bool, int]:
        """Version key; a heartbeat replaces those with lower keys."""
        return (self.born_ms, self.gone, self.sequence)


class EndpointEntry(msgspec.Struct):
    """Latest heartbeat of an endpoint and the time of its arrival.

    Attributes
    ----------
    heartbeat : EndpointBeat
        Latest heartbeat.
    received_at : float
        Arrival time of the latest heartbeat, in seconds.
    primary_since : float
        When it first reported to be primary, in seconds; 0 if it does not.
    revision : int
        Registry revision of the last change that entry hosts need.
    """

    heartbeat: EndpointBeat
    received_at: float
    primary_since: float
    revision: int
