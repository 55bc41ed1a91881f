"""State machine of the replicated log."""

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
        Decodes a configuration document; identical on all members.

    Attributes
    ----------
    catalog : CatalogState
        Configuration in force.
    compressed_document : bytes
        Compressed document of the configuration in force.
    compressed_catalog : bytes
        Compressed decoded configuration, as sent to entry hosts.
    """

    def __init__(self, decode_document: DecodeDocument):
        self.decode_document = decode_document
        self.catalog = CatalogState()
        self.compressed_document = b""
        self.compressed_catalog = b""

    def apply(self, index: int, data: bytes):
        """Apply one command and return its result."""
        command = decode(data, Command)
        if is_failure(command):
            # All members read the same bytes. A member that cannot decode
            # them must stop, or its state would diverge.
            raise AssertionError(
                f"cannot decode log entry {index}: {command.reason}"
            )
        match command:
            case StoreCatalog(compressed):
                return self._store(compressed)
            case OrderPromotion():
                return index

    def _store(self, compressed: bytes):
        catalog = self.decode_document(zlib.decompress(compressed))
        if is_failure(catalog):
            raise AssertionError(
                f"cannot decode the stored configuration: {catalog.reason}"
            )
        result = self.catalog.store(catalog)
        if result.changed:
            self.compressed_document = compressed
            self.compressed_catalog = zlib.compress(encode(catalog))
        return result

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(SnapshotState(self.compressed_document))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = decode(data, SnapshotState)
        if is_failure(state):
            raise AssertionError(f"cannot decode the snapshot: {state.reason}")
        self.catalog = CatalogState()
        if state.packed:
            self._store(state.packed)
