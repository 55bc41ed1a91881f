"""The state that the log replicates."""

import collections.abc
import zlib

from chivescale.catalog import Catalog, CatalogState
from chivescale.coordinator._messages import (
    Command,
    OrderPromotion,
    SnapshotState,
    StoreCatalog,
)
from chivescale.errors import Failure, is_failure
from chivescale.messages import decode, encode

DecodeDocument = collections.abc.Callable[[bytes], Catalog | Failure]


class ReplicatedState:
    """Applies the commands of the log.

    Parameters
    ----------
    decode_document : callable
        Decodes a document that an operator sent; the same on all members.

    Attributes
    ----------
    catalog : CatalogState
        Configuration in force.
    packed : bytes
        Its document, compressed.
    packed_catalog : bytes
        The decoded configuration, compressed, as entry hosts get it.
    """

    def __init__(self, decode_document: DecodeDocument):
        self.decode_document = decode_document
        self.catalog = CatalogState()
        self.packed = b""
        self.packed_catalog = b""

    def apply(self, index: int, data: bytes):
        """Apply one command; return its result."""
        command = decode(data, Command)
        if is_failure(command):
            # All members read the same bytes; one that cannot must not go
            # on with another state than the others.
            raise AssertionError(f"log entry {index}: {command.reason}")
        match command:
            case StoreCatalog(packed):
                return self._store(packed)
            case OrderPromotion():
                return index

    def _store(self, packed: bytes):
        catalog = self.decode_document(zlib.decompress(packed))
        if is_failure(catalog):
            raise AssertionError(f"stored document: {catalog.reason}")
        result = self.catalog.store(catalog)
        if result.changed:
            self.packed = packed
            self.packed_catalog = zlib.compress(encode(catalog))
        return result

    def snapshot(self) -> bytes:
        """Encode the state."""
        return encode(SnapshotState(self.packed))

    def restore(self, data: bytes) -> None:
        """Replace the state."""
        state = decode(data, SnapshotState)
        if is_failure(state):
            raise AssertionError(f"snapshot: {state.reason}")
        self.catalog = CatalogState()
        if state.packed:
            self._store(state.packed)
