"""Records of the endpoint registry."""

import re
import typing

import msgspec

MAX_NAME = 256

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

# Names become words of lines that are sent to endpoints.
_NAME = rf"^[^\x00-\x20\x7f]{{1,{MAX_NAME}}}\Z"
Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME)]
Label = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
# The end of the year 9999.
UnixMs = typing.Annotated[int, msgspec.Meta(ge=0, le=253402300799999)]
# Above the number of any heartbeat.
LAST_SEQUENCE = 2**53 - 1
Sequence = typing.Annotated[int, msgspec.Meta(ge=0, le=LAST_SEQUENCE)]
_find_name = re.compile(_NAME).search


def is_name(text: str) -> bool:
    """Return whether a text may be the name of an endpoint or a service."""
    return _find_name(text) is not None


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
        Number of the heartbeat within its incarnation; `LAST_SEQUENCE` once
        the incarnation is known to have ended.
    gone : bool
        Whether it has terminated, was deregistered or has been silent. A
        later heartbeat shows that a silent one works.
    """

    endpoint: Name
    service: Name
    address: Address
    zone: Label
    slots: Slots
    draining: bool
    primary: bool
    born_ms: UnixMs
    sequence: Sequence
    gone: bool = False

    @property
    def order(self) -> tuple[int, int, bool]:
        """Version key; a heartbeat replaces those with lower keys."""
        return (self.born_ms, self.sequence, self.gone)


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
