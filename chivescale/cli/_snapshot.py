"""Status of all processes as one value."""

import msgspec

from chivescale.errors import Failure
from chivescale.messages import (
    EndpointRecord,
    EndpointStatus,
    HostRecord,
    Status,
    WatchReply,
)


class EntryAnswer(msgspec.Struct, frozen=True):
    """Part of the status of an entry host that the command shows."""

    index: int
    sheet: int = 0
    ready: bool = False
    draining: bool = False
    callers: int = 0
    transactions: int = 0
    drained: bool | None = None


class SystemSnapshot(msgspec.Struct):
    """Status of all processes, queried at about the same time."""

    state: WatchReply
    control: list[tuple[str, Status | Failure]]
    hosts: list[tuple[HostRecord, EntryAnswer | Failure]]
    endpoints: list[tuple[EndpointRecord, EndpointStatus | Failure]]
