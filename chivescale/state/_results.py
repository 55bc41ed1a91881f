"""Results of applied commands, returned to the proposing host."""

import msgspec

from chivescale.errors import Failure
from chivescale.messages import EndpointRecord, HostRecord, ServiceRecord


class SheetApplied(msgspec.Struct, frozen=True):
    """The uploaded sheet is the current one.

    Attributes
    ----------
    number : int
        Number of the sheet.
    digest : str
        Digest of its content.
    index : int
        Log index at which the sheet became current.
    repeated : bool
        Whether the same sheet was already current.
    """

    number: int
    digest: str
    index: int
    repeated: bool


class HostChanged(msgspec.Struct, frozen=True):
    """An entry host was added or changed, or removed (`record` is None)."""

    host: str
    record: HostRecord | None


class EndpointChanged(msgspec.Struct, frozen=True):
    """An endpoint was added or changed, or removed (`record` is None)."""

    endpoint: str
    record: EndpointRecord | None


class TermBegun(msgspec.Struct, frozen=True):
    """The term is reserved for the host that proposed the command."""

    record: ServiceRecord


class TermEstablished(msgspec.Struct, frozen=True):
    """The term is published."""

    record: ServiceRecord


class BatchApplied(msgspec.Struct, frozen=True):
    """Results of the commands of a batch, in order."""

    results: tuple[HostChanged | EndpointChanged | Failure, ...]


Result = (
    SheetApplied
    | HostChanged
    | EndpointChanged
    | TermBegun
    | TermEstablished
    | BatchApplied
)
